package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/kernel/result"
)

// Guards against a request without an answer because its handler panics.
func TestUnexpectedFailureIsAnswered(t *testing.T) {
	f := newCutFixture(t)
	table := &routeTable{fixed: map[fixedRoute]http.Handler{
		{http.MethodGet, "/panic"}: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("handler") }),
	}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.module.serveRequest(table, w, r) }))
	defer server.Close()
	res, err := http.Get(server.URL + "/panic")
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusInternalServerError)
	assert.Equal(t, f.module.openRequests.Load(), int64(0))
}

// Guards against a panic on one attempt, call or message that ends the process with all its
// requests.
func TestPanicIsConfined(t *testing.T) {
	f := newCutFixture(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	d := &driver{module: f.module, events: make(chan connEvent, 1)}
	d.ctx, d.cancel = context.WithCancel(ctx)
	c := &conn{id: 1, driver: d, cancel: func() {}}
	c.confine(ctx, func() { panic("attempt") })
	event := <-d.events
	assert.Assert(t, event.lost && event.agentReached)
	assert.Equal(t, event.err.Code, result.Internal)
	outcome := f.module.confineCall(func() callOutcome { panic("call") })
	assert.Assert(t, outcome.answerLost)
	f.module.owner.send(panickingMessage{})
	assert.Equal(t, f.request(http.MethodGet, fastCall, "").status, http.StatusOK)
}

// panickingMessage is a message to the owner that panics.
type panickingMessage struct{}

func (panickingMessage) apply(*owner, time.Time) { panic("message") }
