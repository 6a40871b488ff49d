package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/response"
	"heatherway.dev/heatherway/internal/response/responsetest"
)

const (
	// uploadBytes is below the default limit of a request's body.
	uploadBytes = 900 << 10
	// answersBetween is the number of sound answers between two odd ones.
	answersBetween = 3
)

// serveForms answers, at the address of the order service, a path /status/STATUS with the status
// and /early/N with the form of an early answer of that number.
func (cl *cluster) serveForms(forms []responsetest.EarlyAnswer) {
	cl.processes[cl.Service.Name+"-service"].kill()
	l, err := net.Listen("tcp", cl.Service.Addr)
	assert.NilError(cl.t, err)
	cl.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveForm(c, forms)
		}
	}()
}

func serveForm(c net.Conn, forms []responsetest.EarlyAnswer) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	n := 0
	if _, err := fmt.Sscanf(r.URL.Path, "/early/%d", &n); err == nil {
		forms[n].Answer(c, r, "HTTP/1.1 200 OK\r\n", "part")
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	status, ok := strings.CutPrefix(r.URL.Path, "/status/")
	if !ok {
		status = "200"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Status\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody", status)
}

// callForm sends an upload to a path of the order service.
func callForm(ctx context.Context, addr, path string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/services/orders"+path, strings.NewReader(strings.Repeat("u", uploadBytes)))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer demo")
	req.Header.Set("Content-Type", "application/octet-stream")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// answerWell calls the service until it has answered as often as keeps its circuit breaker closed.
func (cl *cluster) answerWell(ctx context.Context) {
	for range answersBetween {
		eventually(cl.t, startTimeout, "the service answers", func() error {
			status, body, err := callForm(ctx, cl.Entries[0], "/status/200")
			if err == nil && status != http.StatusOK {
				err = fmt.Errorf("status %d, %s", status, body)
			}
			return err
		})
	}
}

// Guards against a service's malformed status, or a part of an early answer whose connection broke
// during the upload, that reaches the caller as an answer through separate processes.
func TestOddAnswersOfAService(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 1, entries: 1, service: true})
	var names []string
	var forms []responsetest.EarlyAnswer
	for name, form := range responsetest.EarlyAnswers(rand.New(rand.NewPCG(responsetest.Seed, 0))) {
		names, forms = append(names, name), append(forms, form)
	}
	cl.serveForms(forms)
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	calls := 0
	call := func(path string) (int, string) {
		cl.answerWell(ctx)
		calls++ // a call that is repeated after its service has failed would be suspected of the failure
		status, body, err := callForm(ctx, cl.Entries[0], fmt.Sprint(path, "?call=", calls))
		assert.NilError(t, err, path)
		return status, body
	}
	for _, status := range []int{0, 20, 99, 101, 600, 999, 200, 404, 500, 599} {
		want := status
		if !response.IsFinal(status) {
			want = http.StatusBadGateway
		}
		got, body := call(fmt.Sprintf("/status/%03d", status))
		assert.Check(t, got == want, "%03d: status %d, body %q", status, got, body)
	}
	for i, form := range forms {
		for range 3 {
			got, body := call(fmt.Sprintf("/early/%d", i))
			if form.Whole {
				assert.Check(t, got == http.StatusOK && body == "part", "%s: status %d, body %q", names[i], got, body)
				continue
			}
			assert.Check(t, got == http.StatusBadGateway, "%s: status %d, body %q", names[i], got, body)
		}
	}
}
