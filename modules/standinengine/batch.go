package standinengine

import (
	"slices"
	"strings"
	"sync"
	"time"

	"heatherway.dev/heatherway/internal/fault"
	"heatherway.dev/heatherway/internal/tokentext"
	"heatherway.dev/kernel/stats"
)

// job is one generation. The batch only counts the produced tokens; the HTTP
// handler derives their text from the count and writes it as fast as the client
// reads.
type job struct {
	model     string
	prompt    string
	seed      int64
	priority  int
	maxTokens int
	// prefixText and prefixTokens describe the output that the caller already
	// has when it resumes a generation.
	prefixText   string
	prefixTokens int

	source       tokentext.Source
	promptTokens int
	progressed   chan struct{} // capacity 1

	// The fields below are protected by batch.mu.
	cachedTokens int
	produced     int
	prefillEnd   time.Time
	cancelled    bool
	lost         bool
}

// prepare sets the fields that are derived from the request. As with a real
// model, a prefix that this engine would not have generated changes the text
// that follows it.
func (j *job) prepare() {
	j.source = tokentext.New(j.prompt, j.seed)
	if j.prefixText != j.source.Prefix(j.prefixTokens) {
		j.source = tokentext.New(j.prompt+j.prefixText, j.seed)
	}
	j.promptTokens = (len(j.prompt) + charsPerToken - 1) / charsPerToken
	j.produced = j.prefixTokens
	j.progressed = make(chan struct{}, 1)
}

func (j *job) notify() {
	select {
	case j.progressed <- struct{}{}:
	default:
	}
}

// Load is the response body of GET /load.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`

	at time.Time
}

// batch implements continuous batching: each step decodes one token of every
// running job.
type batch struct {
	settings Settings
	fault    func(fault.Kind)
	// prefilled counts the prompt and prefix tokens that were not in the prefix
	// cache.
	prefilled stats.Counter

	mu      sync.Mutex
	waiting []*job // ordered by priority, then by arrival
	running []*job
	cache   *cache
	loads   []Load // samples, oldest first; the first one is load_lag old
}

func newBatch(s Settings) *batch {
	return &batch{settings: s, prefilled: stats.New().Counter("prefill_tokens"), cache: newCache(s.PrefixCacheBlocks, s.EventLoss, s.RandomSeed)}
}

func (b *batch) add(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].priority > j.priority {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, j)
}

// cancel marks a job; the next step removes it.
func (b *batch) cancel(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j.cancelled = true
}

// progress is a snapshot of the job state that the HTTP handler needs.
type progress struct {
	produced     int
	cachedTokens int
	lost         bool
}

func (b *batch) progress(j *job) progress {
	b.mu.Lock()
	defer b.mu.Unlock()
	return progress{j.produced, j.cachedTokens, j.lost}
}

// step runs one decode step and returns the number of tokens produced.
func (b *batch) step(now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	finished := func(j *job) bool { return j.cancelled || j.produced >= j.maxTokens }
	b.waiting = slices.DeleteFunc(b.waiting, func(j *job) bool { return j.cancelled })
	b.running = slices.DeleteFunc(b.running, finished)
	for len(b.running) < b.settings.Slots && len(b.waiting) > 0 {
		j := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.start(j, now)
	}
	var tokens int64
	for _, j := range b.running {
		if now.Before(j.prefillEnd) {
			continue
		}
		j.produced = min(j.produced+1, j.maxTokens)
		tokens++
		j.notify()
	}
	b.sampleLoad(now)
	return tokens
}

func (b *batch) start(j *job, now time.Time) {
	for kind, text := range map[fault.Kind]string{fault.Die: b.settings.CrashOn, fault.Pause: b.settings.HangOn} {
		if text != "" && strings.Contains(j.prompt, text) {
			b.fault(kind)
		}
	}
	cachedTokens := b.cache.lookupAndInsert(BlockHashes(j.prompt+j.prefixText), now) * blockChars / charsPerToken
	j.cachedTokens = min(cachedTokens, j.promptTokens)
	uncachedTokens := max(j.promptTokens+j.prefixTokens-cachedTokens, 0)
	b.prefilled.Add(int64(uncachedTokens))
	j.prefillEnd = now.Add(time.Duration(uncachedTokens) * b.settings.PrefillPerToken)
	b.running = append(b.running, j)
}

func (b *batch) sampleLoad(now time.Time) {
	b.loads = append(b.loads, b.currentLoad(now))
	cutoff := now.Add(-b.settings.LoadLag)
	for len(b.loads) > 1 && !b.loads[1].at.After(cutoff) {
		b.loads = b.loads[1:]
	}
}

func (b *batch) currentLoad(now time.Time) Load {
	return Load{Slots: b.settings.Slots, Running: len(b.running), Waiting: len(b.waiting), at: now}
}

// load returns the load as of load_lag ago.
func (b *batch) load() Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.loads) == 0 {
		return Load{Slots: b.settings.Slots}
	}
	return b.loads[0]
}

func (b *batch) events(after uint64, now time.Time) []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cache.eventsAfter(after, now.Add(-b.settings.EventLag))
}

// dropAll drops all jobs and the prefix cache, as a restart would.
func (b *batch) dropAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range slices.Concat(b.waiting, b.running) {
		j.lost = true
		j.notify()
	}
	b.waiting, b.running, b.loads = nil, nil, nil
	b.cache.clear()
}
