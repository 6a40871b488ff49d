package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// request holds the attributes of one generation or call of a plain service.
type request struct {
	id           string
	organisation string
	class        wire.Class
	weight       float64
	snap         *snapshot
	startedAt    time.Time
	deadline     time.Time
	key          string
	fingerprint  string
	service      string

	// The fields below are set for generations only.
	kind         wire.Kind
	model        string
	body         json.RawMessage
	generation   wire.ID
	stream       bool
	includeUsage bool
	resume       *wire.EventID
	// generatedSeed is set when the caller gave no sampling seed, so that the
	// entry derives one from the generation id.
	generatedSeed bool
	// parts are the keys of the messages, partTrial is set while the request may run once
	// although they are held.
	partsOnce sync.Once
	parts     []string
	partTrial atomic.Bool
}

// callerHeaders are the request headers that the methods have in common; nil
// stands for an absent header.
type callerHeaders struct {
	key, class, lastEvent *string
	deadlineMS            *int64
}

// newRequest makes a request from the headers and the configuration. timeoutKey
// is the configuration key of the deadline that applies when the caller sets
// none.
func newRequest(s *requestState, h callerHeaders, scope config.Scope, timeoutKey string) (*request, *result.Error) {
	if s.authError != nil {
		return nil, s.authError
	}
	s.recorded = true
	doc := s.snap.config
	r := &request{id: s.requestID, organisation: s.organisation, snap: s.snap, startedAt: s.receivedAt}
	scope.Organisation = s.organisation
	if err := r.setClass(h.class, doc, scope); err != nil {
		return r, err
	}
	if s.snap.behind {
		return r, result.New(result.ConfigurationBehind, "this entry cannot fetch the newest configuration")
	}
	r.weight = doc.Float("organisation.weight", scope, s.receivedAt)
	timeout := doc.Duration(timeoutKey, scope, s.receivedAt)
	if h.deadlineMS != nil {
		timeout = clampDeadline(*h.deadlineMS)
	}
	r.deadline = s.receivedAt.Add(timeout)
	if h.key != nil {
		r.key = recordKey(s.organisation, *h.key)
	}
	return r, nil
}

// clampDeadline limits the deadline that a caller may ask for, which also
// prevents an overflow in the conversion to a duration.
func clampDeadline(ms int64) time.Duration {
	const maxDeadline = 24 * time.Hour
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
}

func (r *request) setClass(requested *string, doc *config.Document, scope config.Scope) *result.Error {
	r.class = doc.Class("organisation.class", scope, r.startedAt)
	if requested == nil {
		return nil
	}
	c, err := wire.ParseClass(*requested)
	if err != nil {
		return result.New(result.InvalidHeader, "%v", err)
	}
	if limit := doc.Class("organisation.class_limit", scope, r.startedAt); c < limit {
		return result.New(result.ClassForbidden, "the organisation may use class %s at most", limit)
	}
	r.class = c
	return nil
}

// recordKey qualifies an Idempotency-Key by its organisation, since different
// organisations may use the same key.
func recordKey(organisation, key string) string { return organisation + "/" + key }

// remainingMS returns the time until the deadline in milliseconds, at least 1.
// Peers treat 0 as an absent deadline.
func (r *request) remainingMS(now time.Time) int64 { return max(r.deadline.Sub(now).Milliseconds(), 1) }

// canonicalBody returns the body with its fields sorted and without those that
// affect only the format of the answer.
func canonicalBody(raw []byte) []byte {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v map[string]any
	if err := d.Decode(&v); err != nil {
		return raw
	}
	delete(v, "stream")
	delete(v, "stream_options")
	b, err := json.Marshal(v)
	if err != nil {
		return raw
	}
	return b
}

// fingerprint identifies equal requests of an organisation, in crash reports
// and when a generation is resumed. Each part is preceded by its length, so
// that different parts never hash alike.
func fingerprint(organisation, model string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(organisation), []byte(model), body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// bodyOptions are the fields of a generation body that the entry uses although
// the API does not declare them.
type bodyOptions struct {
	Seed          *json.Number `json:"seed"`
	StreamOptions *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// setBody stores the body and adds a sampling seed to it if there is none, so
// that a later attempt samples as the first one did. The seed is derived from
// the generation id, so that an entry which resumes the generation uses the same
// seed.
func (r *request) setBody(raw []byte) *result.Error {
	var o bodyOptions
	if err := json.Unmarshal(raw, &o); err != nil {
		return result.New(result.InvalidField, "stream_options: %v", err)
	}
	r.includeUsage = o.StreamOptions != nil && o.StreamOptions.IncludeUsage
	r.fingerprint = fingerprint(r.organisation, r.model, canonicalBody(raw))
	if r.generation == "" {
		r.generation = wire.NewID()
	}
	r.body = raw
	r.generatedSeed = o.Seed == nil
	r.applySeed()
	return nil
}

// applySeed sets the seed of the current generation id in the body unless the
// caller gave one.
func (r *request) applySeed() {
	if r.generatedSeed {
		r.body = withSeed(r.body, seedFor(r.generation))
	}
}

// seedBits is the size of a seed. 31 bits fit the integer type of every JSON
// parser.
const seedBits = 31

func seedFor(id wire.ID) uint64 {
	b, err := hex.DecodeString(string(id))
	if err != nil || len(b) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b) >> (64 - seedBits)
}

// withSeed returns the body with its seed set; a null seed is replaced.
func withSeed(raw []byte, seed uint64) []byte {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return raw
	}
	fields["seed"] = json.RawMessage(strconv.FormatUint(seed, 10))
	b, err := json.Marshal(fields)
	if err != nil {
		return raw
	}
	return b
}

// setResume sets the point to resume from, as given by Last-Event-ID.
func (r *request) setResume(id *string) *result.Error {
	if id == nil {
		return nil
	}
	e, err := wire.ParseEventID(strings.TrimSpace(*id))
	if err != nil {
		return result.New(result.BadResumePoint, "Last-Event-ID: %v", err)
	}
	if !r.stream {
		return result.New(result.BadResumePoint, "Last-Event-ID needs stream: true")
	}
	r.resume, r.generation = &e, e.Generation
	return nil
}

// promptOf returns the part of the body whose prefix an engine may have cached:
// the prompt, or the messages of a chat.
func promptOf(r *request) string {
	var b struct {
		Prompt   string          `json:"prompt"`
		Messages json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(r.body, &b); err != nil {
		return ""
	}
	if r.kind == wire.Chat {
		return string(b.Messages)
	}
	return b.Prompt
}
