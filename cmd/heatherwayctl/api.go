package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/heatherway/internal/failure"
	"heatherway.dev/heatherway/internal/response"
	"heatherway.dev/kernel/result"
)

const (
	// apiTimeout bounds one call. It is slightly longer than the time limit of the
	// server.
	apiTimeout = 35 * time.Second
	// maxAnswerBytes bounds an answer. A configuration with 20,000 organisations
	// takes about 3 MB.
	maxAnswerBytes = 64 << 20
	defaultURL     = "http://127.0.0.1:8090"
	apiPath        = "/admin/v1"
)

// api is a client of the administration API.
type api struct {
	url           string
	ca, cert, key string
	output        string

	client *http.Client
	out    io.Writer
	err    io.Writer
}

func (a *api) register(flags *flag.FlagSet) {
	flags.StringVar(&a.url, "url", defaultURL, "base URL of the administration API")
	flags.StringVar(&a.ca, "ca", "", "file of the certificate authority that signed the server's certificate")
	flags.StringVar(&a.cert, "cert", "", "file of the operator's certificate")
	flags.StringVar(&a.key, "key", "", "file of the key of --cert")
	flags.StringVar(&a.output, "output", outputTable, "form of the output: table or json")
}

// open checks the flags and loads the TLS files.
func (a *api) open() error {
	if a.output != outputTable && a.output != outputJSON {
		return result.New(result.Usage, "--output %q is neither table nor json", a.output)
	}
	u, err := url.Parse(a.url)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return result.New(result.Usage, "--url %q is not of the form https://ADDRESS:PORT", a.url)
	}
	a.url = strings.TrimSuffix(a.url, "/")
	cfg, err := a.tls()
	if err != nil {
		return result.Wrap(result.TLSFiles, err, "cannot load --ca, --cert or --key; make them with heatherwayctl certs")
	}
	a.client = &http.Client{Transport: response.NewTransport(&http.Transport{TLSClientConfig: cfg}), Timeout: apiTimeout}
	return nil
}

func (a *api) tls() (*tls.Config, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS13}
	if a.ca != "" {
		pem, err := os.ReadFile(a.ca)
		if err != nil {
			return nil, err
		}
		cfg.RootCAs = x509.NewCertPool()
		if !cfg.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("no certificate in %s", a.ca)
		}
	}
	if a.cert == "" && a.key == "" {
		return cfg, nil
	}
	pair, err := tls.LoadX509KeyPair(a.cert, a.key)
	if err != nil {
		return nil, err
	}
	cfg.Certificates = []tls.Certificate{pair}
	return cfg, nil
}

// request is one call of the administration API.
type request struct {
	method string
	// path holds the unescaped path segments below apiPath.
	path  []string
	query url.Values
	body  any
}

// do sends a call and returns the JSON of the answer.
func (a *api) do(ctx context.Context, r request) ([]byte, error) {
	req, err := a.build(ctx, r)
	if err != nil {
		return nil, err
	}
	res, err := a.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "no answer; check --url, and --ca, --cert and --key for https")
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the answer")
	}
	if res.StatusCode >= http.StatusBadRequest {
		return nil, answerError(res.Status, b)
	}
	return b, nil
}

func (a *api) build(ctx context.Context, r request) (*http.Request, error) {
	target := a.url + apiPath
	for _, segment := range r.path {
		target += "/" + url.PathEscape(segment)
	}
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	if r.body == nil {
		return http.NewRequestWithContext(ctx, r.method, target, nil)
	}
	b, err := json.Marshal(r.body)
	if err != nil {
		return nil, errors.Wrap(err, "encode the call")
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(b))
	if err == nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, err
}

// get decodes one resource into v and also returns its JSON.
func (a *api) get(ctx context.Context, v any, path ...string) ([]byte, error) {
	b, err := a.do(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(b, v); err != nil {
		return nil, errors.Wrap(err, "decode the answer")
	}
	return b, nil
}

// answerError converts an error answer into an error with a hint on what to do
// next.
func answerError(status string, body []byte) error {
	var f failure.Failure
	if err := json.Unmarshal(body, &f); err != nil || f.Problem.Code == 0 {
		return errors.Errorf("the server answered %s; check that --url names the role admin", status)
	}
	code, text := result.Code(f.Problem.Code), f.Problem.Message
	if hint, ok := hints[code]; ok {
		text += "; " + hint
	}
	return result.New(code, "%s", text)
}

// hints describe what to do next after a failure.
var hints = map[result.Code]string{
	result.RoleForbidden:      "give --cert and --key of a certificate with the role operator",
	result.RevisionConflict:   "look at heatherwayctl config history, then run the command again",
	result.ChangeRefused:      "heatherwayctl config keys lists what a value may be, and member list who has a vote",
	result.ObjectUnknown:      "check the name with heatherwayctl status, config show or quarantine list",
	result.ControlUnavailable: "heatherwayctl status shows the control members; the command may be run again with the same --change-id",
	result.FenceStale:         "heatherwayctl order list shows what was issued",
	result.RouteUnknown:       "the server may run another version of heatherway",
}
