//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

func newAttemptID() string { return fmt.Sprintf("9c41d07b%08x", lastAttempt.Add(1)) }

// answer is what a client got for one attempt.
type answer struct {
	id     string
	status int
	sealed bool
	// complete is set if the answer looks complete: the body has its length or its last chunk.
	complete bool
	// reused is set if the request went over a kept connection.
	reused bool
	events []int
	wrong  bool // an event or the body is not that of the request
	body   string
	// leftEarly is set if the client itself gave the answer up.
	err error
}

// connection is a kept connection of a client to a gateway.
type connection struct {
	addr string
	conn net.Conn
	r    *bufio.Reader
	used int
}

func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn, c.r = nil, nil
	}
}

// send makes one request and reads the whole answer.
func (c *connection) send(method, path string, header map[string]string, deadline time.Duration) answer {
	return c.sendAs(newAttemptID(), method, path, header, deadline, func(string) {})
}

// sendAs makes one request with an id and reads the whole answer. It calls sending before it
// writes the request.
func (c *connection) sendAs(id, method, path string, header map[string]string, deadline time.Duration, sending func(id string)) answer {
	a := answer{id: id}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.r, c.used = conn, bufio.NewReader(conn), 0
	}
	a.reused = c.used > 0
	c.used++
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer key-of-mill\r\n", method, path, a.id, deadline.Milliseconds())
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	body := ""
	if method == http.MethodPost {
		body = "a request of the client"
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	sending(a.id)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		a.err = err
		c.close()
		return a
	}
	res, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.status, a.sealed = res.StatusCode, res.Header.Get("Response-Seal") != ""
	a.complete = true
	if res.Header.Get("Content-Type") == "text/event-stream" {
		a.readEvents(res.Body)
	} else {
		all, err := io.ReadAll(res.Body)
		a.body, a.err, a.complete = string(all), err, err == nil
	}
	if a.err != nil || res.Close {
		c.close()
	}
	return a
}

// readEvents reads a stream to its end.
func (a *answer) readEvents(body io.Reader) {
	id := 0
	for r := bufio.NewReader(body); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			a.complete = errors.Is(err, io.EOF) && line == ""
			if !a.complete {
				a.err = err
			}
			return
		}
		line = strings.TrimRight(line, "\r\n")
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(v)
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			a.events = append(a.events, id)
			a.wrong = a.wrong || v != eventText(a.id, id)
		}
	}
}

func (a *answer) String() string {
	last := 0
	if n := len(a.events); n > 0 {
		last = a.events[n-1]
	}
	return fmt.Sprintf("%s status %d complete %v kept %v events %d last %d body %d error %v", a.id, a.status, a.complete, a.reused, len(a.events), last, len(a.body), a.err)
}

// streamHeader is the header of a generation request.
func streamHeader(n int64) map[string]string {
	return map[string]string{"Model": "m", "Token-Count": "1460,780", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%08x:1260", n)}
}
