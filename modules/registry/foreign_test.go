package registry

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/core/registration"
)

// foreignHeartbeat is the announcement of another writer: its service is named by no
// configuration, and its address is that of i-1.
const foreignHeartbeat = `{"Service":"mailer","Addr":"10.0.0.9:80","Zone":"z","Slots":4,"State":"ready","Seq":7,"born":5000}`

// watchStates reports each state of i-1 that a gateway is sent, until the test ends.
func (f *fleet) watchStates(n *node) <-chan registration.State {
	states := make(chan registration.State, 100)
	client := n.security.NewClient(n.addr)
	f.t.Cleanup(client.Close)
	go func() {
		args := &WatchArgs{}
		for f.t.Context().Err() == nil {
			reply := &WatchReply{}
			if client.Call(f.t.Context(), ServiceName+".Watch", args, reply) != nil {
				return
			}
			args.Version, args.Epoch, args.Change = reply.Version, reply.Epoch, reply.Change
			for _, u := range reply.Upstreams {
				if u.ID == "i-1" {
					states <- u.State
				}
			}
		}
	}()
	return states
}

// Guards against an announcement of another writer that ends a running upstream for gateways: at
// once, when a configuration names its service later, when one no longer names that of the upstream,
// or when the instances restart with what they have saved.
func TestForeignAnnouncementEndsNoUpstream(t *testing.T) {
	withMailer := strings.Replace(body(5, ""), `[{"Name":"s"}]`, `[{"Name":"s"},{"Name":"mailer"}]`, 1)
	withoutService := strings.ReplaceAll(body(9, ""), `"s"`, `"mailer"`)
	for name, during := range map[string]func(f *fleet, announce func()){
		"nothing else":          func(f *fleet, announce func()) { announce() },
		"service named later":   func(f *fleet, announce func()) { announce(); f.send(withMailer) },
		"service taken out":     func(f *fleet, announce func()) { announce(); f.send(withoutService) },
		"named, then taken out": func(f *fleet, announce func()) { announce(); f.send(withMailer); f.send(withoutService) },
		"instances restart": func(f *fleet, announce func()) {
			announce()
			f.eventually("saved", func() bool {
				list, err := f.nodes[0].directory.saver.read()
				return err == nil && len(list) > 0
			})
			f.kill(f.nodes...)
			for _, n := range f.nodes {
				f.start(n)
			}
		},
		"an instance returns without its disk": func(f *fleet, announce func()) {
			f.kill(f.nodes[0])
			assert.NilError(f.t, os.RemoveAll(f.nodes[0].folder))
			f.start(f.nodes[0])
			announce()
		},
	} {
		for _, id := range []string{"i-1", "job-1"} {
			t.Run(name+", under "+id, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 3)
				f.replace(f.nodes[0], 1, "first")
				seq := 0
				beat := func() {
					seq++
					for _, n := range f.nodes {
						_, _ = n.call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", seq))
					}
				}
				beat()
				during(f, func() {
					for _, n := range f.nodes {
						status, text := n.call(t, "POST", "/v1/instances/"+id+"/heartbeat", foreignHeartbeat)
						assert.Equal(t, status, http.StatusOK, text)
					}
				})
				states := f.watchStates(f.nodes[1])
				for range 15 {
					beat()
					time.Sleep(f.nodes[0].AnnounceInterval / 2)
					_, _ = f.nodes[2].call(t, "POST", "/v1/instances/"+id+"/heartbeat", strings.Replace(foreignHeartbeat, "7", fmt.Sprint(7+seq), 1))
				}
				for len(states) > 0 {
					assert.Equal(t, <-states, registration.Ready)
				}
				for _, n := range f.nodes {
					assert.Equal(t, n.state("i-1"), registration.Ready)
				}
			})
		}
	}
}

// send sends a configuration until it is acknowledged.
func (f *fleet) send(body string) {
	f.t.Helper()
	f.eventually("configuration acknowledged", func() bool {
		status, _ := f.nodes[0].call(f.t, "POST", "/v1/config/replace", body)
		return status == http.StatusOK
	})
}

// Guards against an address that is really used again, by an upstream of the same or of another
// service, and is not taken over at once.
func TestUsedAddressIsTakenOver(t *testing.T) {
	for _, service := range []string{"s", "other"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3)
			f.send(strings.Replace(body(1, ""), `[{"Name":"s"}]`, `[{"Name":"s"},{"Name":"other"}]`, 1))
			f.nodes[0].call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", 1))
			known := func(id string, want registration.State) func() bool {
				return func() bool {
					for _, n := range f.nodes {
						if u, ok := n.record(id); !ok || u.State != want {
							return false
						}
					}
					return true
				}
			}
			f.eventually("known", known("i-1", registration.Ready))
			f.eventually("the configuration is everywhere", func() bool {
				return f.nodes[1].configuration.current().version == 1 && f.nodes[2].configuration.current().version == 1
			})
			f.nodes[1].call(t, "POST", "/v1/instances/i-2/heartbeat", strings.Replace(foreignHeartbeat, "mailer", service, 1))
			begin := time.Now()
			f.eventually("replaced", known("i-1", registration.Left))
			f.nodes[2].call(t, "POST", "/v1/instances/i-1/heartbeat", heartbeat("ready", 2))
			assert.Assert(t, known("i-1", registration.Left)(), "a late announcement of the one that is gone")
			assert.Assert(t, known("i-2", registration.Ready)())
			assert.Assert(t, time.Since(begin) < f.nodes[0].AnnounceInterval, "took %v", time.Since(begin))
		})
	}
}
