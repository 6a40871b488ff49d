package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
)

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// noFlush is the interval of an agent that writes as fast as it can and flushes
// only when its buffer is full.
const noFlush = time.Duration(-1)

// pacedTokens returns a script that sends n tokens at an interval and flushes
// after each.
func pacedTokens(n int, every time.Duration) func(*frameWriter, *wire.GenerateRequest) {
	return func(w *frameWriter, _ *wire.GenerateRequest) {
		w.sendFrame(wire.Frame{Kind: wire.FrameStarted})
		f := wire.Frame{Kind: wire.FrameToken, Attempt: w.req.Attempt, Tokens: 1, Text: " word"}
		var buf []byte
		for i := range n {
			f.Offset = uint64(i)
			buf = wire.AppendFrame(buf[:0], &f)
			_, _ = w.w.Write(buf)
			if every != noFlush {
				_ = http.NewResponseController(w.w).Flush()
				time.Sleep(every)
			}
		}
		w.sendEnd(n)
	}
}

// runConcurrently runs n goroutines and waits for them.
func runConcurrently(b *testing.B, n int, run func() error) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			if err := run(); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
}

// postAndRead posts body and passes the body of the answer to read.
func postAndRead(client *http.Client, url, body string, read func(io.Reader) error) error {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+testAPIKey)
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return read(res.Body)
}

func discardBody(r io.Reader) error {
	_, err := io.Copy(io.Discard, r)
	return err
}

func generateRequestBody() string {
	b, _ := json.Marshal(wire.GenerateRequest{Generation: wire.NewID(), Attempt: 1})
	return string(b)
}

// BenchmarkRelay reports the processor time that the entry adds to each token.
// It compares streams through the entry with the same streams read from the
// agent directly.
func BenchmarkRelay(b *testing.B) {
	const open, tokens = 50, 2000
	for name, every := range map[string]time.Duration{"batched": noFlush, "flushed": 0, "each-alone": time.Millisecond} {
		b.Run(name, func(b *testing.B) {
			a := newFakeAgent(b, "agent-1", pacedTokens(tokens, every))
			f := newFixture(b, a)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: open}}
			var direct, through time.Duration
			for b.Loop() {
				t0 := cpuTime()
				runConcurrently(b, open, func() error {
					return postAndRead(client, "http://"+a.addr+wire.GeneratePath, generateRequestBody(), discardBody)
				})
				t1 := cpuTime()
				runConcurrently(b, open, func() error { return postAndRead(client, f.url+"/v1/completions", streamingBody, discardBody) })
				direct, through = direct+t1-t0, through+cpuTime()-t1
			}
			total := float64(b.N * open * tokens)
			b.ReportMetric(float64(direct.Nanoseconds())/total, "direct-ns/token")
			b.ReportMetric(float64((through-direct).Nanoseconds())/total, "entry-ns/token")
			b.ReportMetric(1e9*total/float64((through-direct).Nanoseconds()), "tokens/s/core")
		})
	}
}

// BenchmarkAddedFirstToken reports the latency that the entry adds to the first
// token with 200 open streams, compared with streams read from the agent
// directly.
func BenchmarkAddedFirstToken(b *testing.B) {
	const open, tokens, every = 200, 100, 20 * time.Millisecond
	const lifetime = tokens * every // starts are spread over it, so that about 200 streams are open
	a := newFakeAgent(b, "agent-1", pacedTokens(tokens, every))
	f := newFixture(b, a)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: open}}
	measure := func(openStream func(func(io.Reader) error) error) []time.Duration {
		var mu sync.Mutex
		var out []time.Duration
		runConcurrently(b, open, func() error {
			time.Sleep(rand.N(lifetime))
			begun := time.Now()
			return openStream(func(r io.Reader) error {
				br := bufio.NewReader(r)
				_, err := br.ReadByte()
				mu.Lock()
				out = append(out, time.Since(begun))
				mu.Unlock()
				return discardAfterFirst(br, err)
			})
		})
		return out
	}
	var direct, through []time.Duration
	for b.Loop() {
		direct = append(direct, measure(func(read func(io.Reader) error) error {
			return postAndRead(client, "http://"+a.addr+wire.GeneratePath, generateRequestBody(), read)
		})...)
		through = append(through, measure(func(read func(io.Reader) error) error {
			return postAndRead(client, f.url+"/v1/completions", streamingBody, read)
		})...)
	}
	slices.Sort(direct)
	slices.Sort(through)
	for _, q := range []int{50, 99} {
		at := len(direct)*q/100 - 1
		b.ReportMetric(float64(direct[at].Microseconds()), fmt.Sprintf("direct-p%d-us", q))
		b.ReportMetric(float64((through[at] - direct[at]).Microseconds()), fmt.Sprintf("added-p%d-us", q))
	}
}

func discardAfterFirst(r io.Reader, err error) error {
	if err != nil {
		return err
	}
	return discardBody(r)
}

// BenchmarkResume reports the longest pause between two tokens that a caller
// sees when the agent resets the connection and when the connection goes silent.
func BenchmarkResume(b *testing.B) {
	for name, lose := range map[string]func(*frameWriter){
		"reset":   func(w *frameWriter) { w.abortConnection() },
		"silence": func(w *frameWriter) { <-w.ctx.Done() },
	} {
		b.Run(name, func(b *testing.B) {
			const open = 100
			var resumed atomic.Int32
			var pauses []time.Duration
			for b.Loop() {
				good := newFakeAgent(b, "agent-1", func(w *frameWriter, r *wire.GenerateRequest) {
					resumed.Add(int32(r.Attempt - 1))
					w.sendTokens(int(r.PrefixTokens), 10)
					w.sendEnd(10)
				})
				bad := newFakeAgent(b, "agent-2", func(w *frameWriter, r *wire.GenerateRequest) {
					if !r.Attach {
						w.sendTokens(0, 5)
						lose(w)
					}
					<-w.ctx.Done()
				})
				f := newFixture(b, good, bad)
				var mu sync.Mutex
				runConcurrently(b, open, func() error {
					return postAndRead(http.DefaultClient, f.url+"/v1/completions", streamingBody, func(r io.Reader) error {
						p, err := longestPause(r)
						mu.Lock()
						pauses = append(pauses, p)
						mu.Unlock()
						return err
					})
				})
				f.stop()
			}
			slices.Sort(pauses)
			pauses = pauses[len(pauses)-int(resumed.Load()):] // the pauses of the resumed streams
			b.ReportMetric(float64(len(pauses)), "resumed")
			b.ReportMetric(float64(pauses[len(pauses)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(pauses[(len(pauses)-1)*99/100].Microseconds())/1000, "p99-ms")
		})
	}
}

// longestPause reads an event stream to its end, which must be [DONE], and
// returns the longest time between two events.
func longestPause(r io.Reader) (longest time.Duration, err error) {
	last := time.Now()
	s := bufio.NewScanner(r)
	done := false
	for s.Scan() {
		if data, ok := strings.CutPrefix(s.Text(), "data: "); ok {
			now := time.Now()
			longest, last, done = max(longest, now.Sub(last)), now, data == "[DONE]"
		}
	}
	if !done {
		err = fmt.Errorf("the stream ended without [DONE]")
	}
	return longest, err
}

// BenchmarkOpenStream reports the memory that the entry uses for an open stream.
// Agent and caller run in this process too, so their memory is measured without
// the entry and subtracted.
func BenchmarkOpenStream(b *testing.B) {
	const open = 500
	a := newFakeAgent(b, "agent-1", func(w *frameWriter, _ *wire.GenerateRequest) {
		w.sendTokens(0, 2)
		<-w.ctx.Done()
	})
	f := newFixture(b, a)
	idle := runtime.NumGoroutine()
	measure := func(url, body string) float64 {
		f.waitUntil(func() bool { return runtime.NumGoroutine() < idle+open/10 })
		before := memoryInUse()
		var conns []io.Closer
		for range open {
			req, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
			req.Header.Set("Authorization", "Bearer "+testAPIKey)
			res, err := http.DefaultClient.Do(req)
			assert.NilError(b, err)
			conns = append(conns, res.Body)
		}
		used := float64(memoryInUse()-before) / open
		for _, c := range conns {
			c.Close()
		}
		return used
	}
	var direct, through []float64
	for b.Loop() {
		direct = append(direct, measure("http://"+a.addr+wire.GeneratePath, generateRequestBody()))
		through = append(through, measure(f.url+"/v1/completions", streamingBody))
	}
	slices.Sort(direct)
	slices.Sort(through)
	d, t := direct[len(direct)/2], through[len(through)/2]
	b.ReportMetric(d/1024, "direct-KiB")
	b.ReportMetric((t-d)/1024, "entry-KiB")
}

// memoryInUse returns the size of the heap and the stacks after garbage
// collection.
func memoryInUse() uint64 {
	for range 6 { // stacks shrink by half at each garbage collection
		runtime.GC()
	}
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapInuse + s.StackInuse
}
