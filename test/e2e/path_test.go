package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/wire"
)

// streamTimeout limits the streams of a test, with room for a busy machine.
const streamTimeout = 60 * time.Second

func (cl *cluster) entryStatus(entry int) (r wire.EntryStatusReply, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c := cl.security.NewClient(cl.Internals[entry])
	defer c.Close()
	err = c.Call(ctx, "Entry.Status", wire.EntryStatusArgs{}, &r)
	return r, err
}

// checkUpstreamsKnown returns an error unless the entry sees the given number of
// upstreams as up.
func (cl *cluster) checkUpstreamsKnown(entry, upstreams int) error {
	reply, err := cl.entryStatus(entry)
	if err != nil {
		return err
	}
	up := 0
	for _, u := range reply.Upstreams {
		if u.State == wire.UpstreamUp {
			up++
		}
	}
	if up < upstreams {
		return fmt.Errorf("entry %d knows %d of %d upstreams", entry, up, upstreams)
	}
	return nil
}

// generate runs n generations concurrently by calling each for all of them, and
// returns them when all have ended.
func (cl *cluster) generate(n, tokens int, run func(i int, g *generation) error) []*generation {
	generations := make([]*generation, n)
	var wg sync.WaitGroup
	for i := range n {
		generations[i] = &generation{prompt: fmt.Sprintf("reminder %d for the filter in the kitchen", i), tokens: tokens}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := run(i, generations[i]); err != nil {
				cl.t.Errorf("generation %d after %d tokens: %v", i, generations[i].received, err)
			}
		}()
	}
	wg.Wait()
	return generations
}

func (cl *cluster) streamAndVerify(ctx context.Context, g *generation, i int) error {
	if err := g.stream(ctx, cl.Entries[i%len(cl.Entries)], nil); err != nil {
		return err
	}
	return g.verify()
}

// Guards against tokens that are lost, repeated or delivered to another stream
// on the way from engine to caller through separate processes.
func TestStreamsAcrossProcesses(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 1, entries: 2, engines: 3})
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	cl.generate(60, 80, func(i int, g *generation) error { return cl.streamAndVerify(ctx, g, i) })
}

// postOrder sends an order with an idempotency key and returns the status and
// body of the response.
func postOrder(ctx context.Context, addr, key, body string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/services/orders/orders", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer demo")
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, b, err
}

// runsByKey returns how often the order service ran a call, by idempotency key.
func (cl *cluster) runsByKey() map[string]int {
	cl.t.Helper()
	res, err := http.Get("http://" + cl.Service.Addr + "/journal")
	assert.NilError(cl.t, err)
	defer res.Body.Close()
	var runs []struct {
		Key   string `json:"key"`
		Count int    `json:"count"`
	}
	assert.NilError(cl.t, json.NewDecoder(res.Body).Decode(&runs))
	counts := map[string]int{}
	for _, r := range runs {
		counts[r.Key] += max(r.Count, 1)
	}
	return counts
}

// Guards against an order that runs twice, and against a retried order that gets
// another response than the first one.
func TestOrderRunsOnce(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 1, entries: 2, engines: 0, service: true})
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	code, first, err := postOrder(ctx, cl.Entries[0], "key-1", `{"item":"filter","count":2}`)
	assert.NilError(t, err)
	assert.Equal(t, code, http.StatusCreated, "%s", first)
	for i := range 4 {
		code, again, err := postOrder(ctx, cl.Entries[i%2], "key-1", `{"item":"filter","count":2}`)
		assert.NilError(t, err)
		assert.Equal(t, code, http.StatusCreated, "%s", again)
		assert.Equal(t, string(again), string(first))
	}
	code, _, err = postOrder(ctx, cl.Entries[1], "key-1", `{"item":"wreath","count":9}`)
	assert.NilError(t, err)
	assert.Equal(t, code, http.StatusConflict)
	total := 0
	for _, n := range cl.runsByKey() {
		total += n
	}
	assert.Equal(t, total, 1)
}
