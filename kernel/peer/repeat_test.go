package peer

import (
	"bufio"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"heatherway.dev/kernel/result"
)

// repeatingServer refuses the first call on a connection and answers the others. Before
// each response it sends all earlier ones again.
func repeatingServer(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	if _, err := http.ReadRequest(r); err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.0 200 Connected to Go RPC\r\n\r\n")
	in, out := gob.NewDecoder(r), gob.NewEncoder(c)
	var sent []func()
	for {
		var request rpc.Request
		var arg string
		if in.Decode(&request) != nil || in.Decode(&arg) != nil {
			return
		}
		refuse := len(sent) == 0
		sent = append(sent, func() {
			response := rpc.Response{ServiceMethod: request.ServiceMethod, Seq: request.Seq}
			if refuse {
				response.Error = EncodeError(result.New(result.QueueFull, "full")).Error()
				_, _ = out.Encode(response), out.Encode(struct{}{})
				return
			}
			_, _ = out.Encode(response), out.Encode(arg)
		})
		for _, send := range sent {
			send()
		}
		time.Sleep(time.Millisecond)
		sent[0]() // late
	}
}

// Guards against a repeated refusal, or another call's answer, that is taken for the answer
// to a call: a call that runs would be reported as not run.
func TestRepeatedResponses(t *testing.T) {
	s, _ := newEchoServer(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go repeatingServer(c)
		}
	}()
	client := s.NewClient(l.Addr().String())
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for i := range 30 {
		reply, want := "", fmt.Sprint("call ", i)
		err := client.Call(ctx, "Echo.Say", want, &reply)
		var refusal *result.Error
		if i == 0 {
			assert.Assert(t, errors.As(err, &refusal) && refusal.Ran == result.NotRun, "%v", err)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, reply, want)
	}
}
