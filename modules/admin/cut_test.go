package admin_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// operator is a caller of the administration API with one connection, which it uses until the
// process says that it closes it.
type operator struct {
	t      *testing.T
	conn   *tls.Conn
	reader *bufio.Reader
}

func (s *server) dial() *operator {
	s.t.Helper()
	pair, err := tls.LoadX509KeyPair(filepath.Join(s.folder, "anna.pem"), filepath.Join(s.folder, "anna-key.pem"))
	assert.NilError(s.t, err)
	c, err := tls.Dial("tcp", s.addr, &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: s.roots, Certificates: []tls.Certificate{pair}})
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	return &operator{s.t, c, bufio.NewReader(c)}
}

func (o *operator) send(text string) {
	o.t.Helper()
	_, err := io.WriteString(o.conn, text)
	assert.NilError(o.t, err)
}

func (o *operator) expect(status int) *http.Response {
	o.t.Helper()
	_ = o.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	res, err := http.ReadResponse(o.reader, nil)
	assert.NilError(o.t, err)
	b, err := io.ReadAll(res.Body)
	assert.NilError(o.t, err)
	assert.Equal(o.t, res.StatusCode, status, "%s", b)
	return res
}

// Guards against an operator's change that ends without an answer because the process stops
// while the change arrives on a kept connection.
func TestStopAnswersArrivingChange(t *testing.T) {
	s := start(t)
	o := s.dial()
	o.send("GET /admin/v1/configuration HTTP/1.1\r\nHost: h\r\n\r\n")
	o.expect(200)
	change := setLimit("c1", "200", "test", 1)
	o.send(fmt.Sprintf("POST /admin/v1/configuration/changes HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", len(change)))
	time.Sleep(50 * time.Millisecond)
	s.stop()
	time.Sleep(100 * time.Millisecond)
	o.send("\r\n" + change)
	res := o.expect(200)
	assert.Assert(t, res.Close)
}

// Guards against calls that end without an answer, or with a refusal, because the timeout for
// reading a request passes while control instances that never answer are asked first.
func TestSilentControlInstancesAreSkipped(t *testing.T) {
	var silent []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts the connections
		assert.NilError(t, err)
		defer l.Close()
		silent = append(silent, l.Addr().String())
	}
	s := start(t, silent...)
	change := setLimit("c1", "200", "test", 1)
	o := s.dial()
	o.send(fmt.Sprintf("POST /admin/v1/configuration/changes HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(change), change))
	o.expect(200)
}
