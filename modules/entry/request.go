package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"heatherway.dev/core/config"
	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// request is what an entry knows about one request, whatever its kind.
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

	// The rest belongs to generations.
	kind         wire.Kind
	model        string
	body         json.RawMessage
	generation   wire.ID
	stream       bool
	includeUsage bool
	resume       *wire.EventID
	// generatedSeed is set when the caller gave no sampling seed.
	generatedSeed bool
}

// callerHeaders are the headers shared by all methods.
type callerHeaders struct {
	key, class, lastEvent *string
	deadlineMS            *int64
}

// newRequest checks the headers against the configuration.
func newRequest(s *requestState, h callerHeaders, scope config.Scope, timeoutKey string) (*request, *result.Error) {
	if s.authError != nil {
		return nil, s.authError
	}
	s.recorded = true
	doc := s.snap.doc
	r := &request{id: s.requestID, organisation: s.organisation, snap: s.snap, startedAt: s.receivedAt}
	scope.Organisation = s.organisation
	if err := r.setClass(h.class, doc, scope); err != nil {
		return r, err
	}
	if s.snap.behind {
		return r, result.New(result.ConfigurationBehind, "this entry cannot fetch the newest configuration")
	}
	r.weight = doc.Float("organisation.weight", scope, s.receivedAt)
	limit := doc.Duration(timeoutKey, scope, s.receivedAt)
	if h.deadlineMS != nil {
		limit = clampDeadline(*h.deadlineMS)
	}
	r.deadline = s.receivedAt.Add(limit)
	if h.key != nil {
		r.key = recordKey(s.organisation, *h.key)
	}
	return r, nil
}

// clampDeadline bounds what a caller may ask for, which also keeps the
// arithmetic from overflowing.
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

// recordKey keeps the Idempotency-Keys of organisations apart.
func recordKey(organisation, key string) string { return organisation + "/" + key }

// remainingMS returns the time until the deadline in milliseconds, at least 1.
func (r *request) remainingMS(now time.Time) int64 { return max(r.deadline.Sub(now).Milliseconds(), 1) }

// canonicalBody returns the body with its fields in order and without those that
// only choose the form of the answer.
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

// fingerprint identifies a request in crash reports and on resume.
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

// bodyOptions are the fields of a generation body that the entry acts on and that
// the API does not list.
type bodyOptions struct {
	Seed          *json.Number `json:"seed"`
	StreamOptions *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// setBody keeps the body and fixes the sampling seed, so that a later attempt
// samples as the first one did. The seed follows from the generation id, which
// lets another entry find it too.
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

// applySeed sets the seed that belongs to the generation id.
func (r *request) applySeed() {
	if r.generatedSeed {
		r.body = withSeed(r.body, seedFor(r.generation))
	}
}

// seedBits keeps the seed in the range that every JSON reader can hold.
const seedBits = 31

func seedFor(id wire.ID) uint64 {
	b, err := hex.DecodeString(string(id))
	if err != nil || len(b) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b) >> (64 - seedBits)
}

// withSeed puts the seed in front of the body's fields; a null seed behind it
// is removed first.
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

// setResume reads Last-Event-ID.
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

// promptOf returns the text whose prefix an engine may have cached.
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
