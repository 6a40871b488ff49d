// Package plain implements the adapter for plain HTTP services.
package plain

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"heatherway.dev/core/wire"
	"heatherway.dev/heatherway/modules/adapter"
	"heatherway.dev/kernel"
	"heatherway.dev/kernel/result"
	"heatherway.dev/kernel/settings"
)

func init() {
	kernel.Register(kernel.ModuleInfo{ID: "adapter.plain", New: func() any {
		return &Service{Slots: defaultSlots, AnswerLimit: defaultAnswerLimit, Health: "/health"}
	}})
}

const (
	defaultSlots       = 16
	maxSlots           = 4096
	defaultAnswerLimit = 1 << 20
	maxAnswerLimit     = 16 << 20
)

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// Service is a plain HTTP service and the settings of its adapter.
type Service struct {
	// URL is the base address of the service.
	URL string `yaml:"url"`
	// Services are the names under which callers address the service.
	Services []string `yaml:"services"`
	// Slots is the number of calls that may run at once.
	Slots int `yaml:"slots"`
	// AnswerLimit is the largest accepted response body in bytes.
	AnswerLimit int64 `yaml:"answer_limit"`
	// Health is the path of the health check.
	Health string `yaml:"health"`

	adapter.SignalReader `yaml:"-"`

	client      *http.Client
	probeClient *http.Client
}

// Validate implements kernel.Validator.
func (s *Service) Validate() error {
	u, err := url.Parse(s.URL)
	if err != nil || u.Host == "" {
		return settings.Field("url", "%q is not an http address", s.URL)
	}
	if len(s.Services) == 0 {
		return settings.Field("services", "must name at least one service")
	}
	return settings.First(
		settings.InRange("slots", s.Slots, 1, maxSlots),
		settings.InRange("answer_limit", s.AnswerLimit, 1, maxAnswerLimit),
	)
}

// Provision implements kernel.Provisioner.
func (s *Service) Provision(*kernel.Context) error {
	s.URL = strings.TrimRight(s.URL, "/")
	s.client = adapter.NewClient(s.WrapTransport(adapter.Transport()))
	s.probeClient = &http.Client{Transport: s.WrapTransport(adapter.Transport())}
	return nil
}

// Info implements adapter.Upstream.
func (s *Service) Info() adapter.Info { return adapter.Info{Services: s.Services, Slots: s.Slots} }

// Probe implements adapter.Upstream.
func (s *Service) Probe(ctx context.Context) error {
	return adapter.ProbeURL(ctx, s.probeClient, s.URL+s.Health)
}

// Call implements adapter.Caller.
func (s *Service) Call(ctx context.Context, args *wire.CallArgs) (*wire.CallReply, error) {
	req, err := s.request(ctx, args)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // prevents the transport from resending the call
	res, err := s.client.Do(req)
	if err != nil {
		return nil, adapter.TransportError(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, s.AnswerLimit+1))
	if err != nil {
		return nil, adapter.TransportError(err)
	}
	if int64(len(body)) > s.AnswerLimit {
		return nil, result.New(result.AnswerTooLarge, "the answer exceeds %d bytes", s.AnswerLimit)
	}
	return &wire.CallReply{Status: res.StatusCode, Headers: responseHeaders(res.Header), Body: body}, nil
}

func (s *Service) request(ctx context.Context, args *wire.CallArgs) (*http.Request, error) {
	target := s.URL + "/" + strings.TrimLeft(args.Path, "/")
	req, err := http.NewRequestWithContext(ctx, args.Method, target, bytes.NewReader(args.Body))
	if err != nil {
		return nil, result.Wrap(result.InvalidField, err, "method or path").WithRan(result.NotRun)
	}
	for _, h := range args.Headers {
		req.Header.Add(h.Key, h.Value)
	}
	for _, h := range hopByHopHeaders {
		req.Header.Del(h)
	}
	return req, nil
}

func responseHeaders(from http.Header) []wire.Header {
	for _, h := range hopByHopHeaders {
		from.Del(h)
	}
	var out []wire.Header
	for k, values := range from {
		for _, v := range values {
			out = append(out, wire.Header{Key: k, Value: v})
		}
	}
	return out
}
