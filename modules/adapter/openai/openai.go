// Package openai implements the adapter for engines with an OpenAI-compatible API over
// HTTP and server-sent events.
package openai

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
)

func init() {
	kernel.Register(kernel.ModuleInfo{ID: "adapter.openai", New: func() any {
		return &Engine{Slots: defaultSlots, Resume: resumeFields}
	}})
}

const (
	defaultSlots = 8
	maxSlots     = 4096
	// maxErrorBody bounds how much of an error response's body is read.
	maxErrorBody = 4 << 10
)

// Values of the setting resume.
const (
	resumeFields = "fields"
	resumeConcat = "concat"
)

// Engine is a model server and the settings of its adapter.
type Engine struct {
	// URL is the engine's base URL, without /v1.
	URL string `yaml:"url"`
	// Models are the names of the models that the engine serves. They apply until the
	// engine has returned its own list.
	Models []string `yaml:"models"`
	// Adapters are the names of the loaded LoRA adapters.
	Adapters []string `yaml:"adapters"`
	// Slots is the number of requests that the engine runs at once.
	Slots int `yaml:"slots"`
	// Resume selects how the engine is asked to continue a text: "fields" sends
	// resume_text and resume_tokens, "concat" appends the text to the prompt.
	Resume string `yaml:"resume"`
	// Events is the URL at which the engine publishes KV cache events.
	Events string `yaml:"events"`

	adapter.SignalReader `yaml:"-"`

	client       *http.Client
	probeClient  *http.Client
	listedModels atomic.Pointer[[]string]
}

// Validate implements kernel.Validator.
func (e *Engine) Validate() error {
	u, err := url.Parse(e.URL)
	if err != nil || u.Host == "" {
		return settings.Field("url", "%q is not an http address", e.URL)
	}
	if e.Resume != resumeFields && e.Resume != resumeConcat {
		return settings.Field("resume", "%q is neither fields nor concat", e.Resume)
	}
	if len(e.Models) == 0 {
		return settings.Field("models", "must name at least one model")
	}
	return settings.InRange("slots", e.Slots, 1, maxSlots)
}

// Provision implements kernel.Provisioner.
func (e *Engine) Provision(*kernel.Context) error {
	e.URL = strings.TrimRight(e.URL, "/")
	e.client = adapter.NewClient(e.WrapTransport(adapter.Transport()))
	e.probeClient = &http.Client{Transport: e.WrapTransport(adapter.Transport())}
	return nil
}

// Info implements adapter.Upstream.
func (e *Engine) Info() adapter.Info {
	return adapter.Info{Models: e.models(), Adapters: e.Adapters, Slots: e.Slots, EventsURL: e.Events}
}

// Probe implements adapter.Upstream.
func (e *Engine) Probe(ctx context.Context) error {
	return adapter.ProbeURL(ctx, e.probeClient, e.URL+"/health")
}

// Generate implements adapter.Generator.
func (e *Engine) Generate(ctx context.Context, job *adapter.Job, emit func(adapter.Event) error) error {
	body, done, err := buildBody(job, e.Resume)
	if err != nil {
		return err
	}
	if done {
		return emit(adapter.Event{Finish: finishLength})
	}
	res, err := e.post(ctx, completionPath(job.Kind), body)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return readStream(res.Body, job.PrefixTokens, emit)
}

func completionPath(k wire.Kind) string {
	if k == wire.Chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

func (e *Engine) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "engine request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	res, err := e.client.Do(req)
	if err != nil {
		return nil, adapter.TransportError(err)
	}
	if res.StatusCode == http.StatusOK && isEventStream(res.Header) {
		return res, nil
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusOK {
		return nil, result.New(result.UpstreamMalformed, "the engine answered with the content type %q", res.Header.Get("Content-Type"))
	}
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBody))
	return nil, statusError(res, string(text))
}

// isEventStream reports whether a response is a stream of events. Other content, such as
// an error page, may contain lines that look like an event.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// statusError maps the status of an engine's error response to a result code. The engine
// has not run the request, except possibly with a 5xx status other than 503.
func statusError(res *http.Response, text string) error {
	switch status := res.StatusCode; {
	case status == http.StatusNotFound:
		return result.New(result.ModelUnknown, "the engine does not know the model")
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return result.New(result.QueueFull, "the engine answered %d", status).After(adapter.RetryAfter(res.Header))
	case status >= 400 && status < 500:
		return result.New(result.InvalidField, "the engine refused the request with %d: %s", status, text)
	default:
		return result.New(result.UpstreamFailed, "the engine answered %d", status)
	}
}
