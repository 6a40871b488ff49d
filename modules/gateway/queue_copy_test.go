package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/queue"
	"heatherway.dev/heatherway/modules/registry"
)

// Guards against a stream that forgets the copy of its KV cache when its upstream goes down: the
// update of the copy failed before the stream did, and the prompt was read anew.
func TestCopyIsKeptWhenItsUpdateIsNotAnswered(t *testing.T) {
	const maxEvents = 100 // an update is due after ten
	var copies, events atomic.Int32
	run := startUpstream(t, "u1", "model", "z0", func(w http.ResponseWriter, r *http.Request, _ int) {
		if r.URL.Path == "/v1/kv-move" {
			if copies.Add(1) > 1 {
				abort()
			}
			_, _ = w.Write([]byte(`{"Handle":"copy-1"}`))
			return
		}
		for id := 0; id < maxEvents && copies.Load() < 2; id++ {
			writeEvent(w, id)
			events.Add(1)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond) // until the gateway knows that the update has failed
		abort()
	})
	holder := startUpstream(t, "u2", "model", "z1", func(w http.ResponseWriter, _ *http.Request, _ int) {
		writeEvent(w, int(events.Load()))
	})
	other := startUpstream(t, "u3", "model", "z0", answerThree)
	owner := startOwner(t, func(e registry.QueueEvent) []queue.Decision {
		if e.Kind == queue.Submitted {
			return []queue.Decision{{Action: queue.Place, Upstream: "u1", CopyHolder: "u2"}}
		}
		return nil
	})
	f := newQueueFixture(t, owner, run, holder, other)
	c := configuration()
	c.Version, c.Services[0].Engine.BackupTTL = 2, time.Second
	f.setConfiguration(c)
	response := f.doStream()
	assert.DeepEqual(t, receivedIDs(response.body), eventIDs(int(events.Load())))
	assert.Equal(t, len(holder.requests()), 1)
	assert.Equal(t, holder.requests()[0].header.Get("Kv-From"), run.Addr+"/copy-1")
	assert.Equal(t, len(other.requests()), 0)
}
