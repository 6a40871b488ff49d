package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// refusal returns a refusal with the given id, or without one if the id is empty. The
// id comes last, so that a part of the refusal may lack it.
func refusal(id string) string {
	head := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nDate: Sat, 05 Dec 2026 04:00:00 GMT\r\nContent-Length: 4\r\n"
	if id != "" {
		head += "Attempt-Id: " + id + "\r\n"
	}
	return head + "\r\nfull"
}

func sealedAnswer(id string) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok"
}

func sealedStream(id string) string {
	body := "id: 0\ndata: x\n\nid: 1\ndata: x\n\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// refusingUpstream is a faulty upstream that repeats refusals. It counts the runs of
// each request.
type refusingUpstream struct {
	*upstream
	mu   sync.Mutex
	runs map[string]int
}

// connRequest is a request together with what its connection has carried before.
type connRequest struct {
	*http.Request
	id string
	// earlier lists the ids that the connection carried before.
	earlier []string
	// write writes to the connection.
	write func(string)
}

// startRefusingUpstream starts an upstream that calls handle for each request of a
// caller. It answers reports itself.
func startRefusingUpstream(t *testing.T, service string, handle func(u *refusingUpstream, r connRequest)) *refusingUpstream {
	u := &refusingUpstream{runs: map[string]int{}}
	u.upstream = startRawUpstream(t, func(c net.Conn) {
		defer c.Close()
		reader, earlier := bufio.NewReader(c), []string(nil)
		var mu sync.Mutex
		write := func(text string) {
			mu.Lock()
			defer mu.Unlock()
			_, _ = io.WriteString(c, text)
		}
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if strings.HasPrefix(request.URL.Path, "/v1/") {
				write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(emptyReport), emptyReport))
				continue
			}
			id := request.Header.Get("Attempt-Id")
			handle(u, connRequest{Request: request, id: id, earlier: earlier, write: write})
			earlier = append(earlier, id)
		}
	})
	u.Service = service
	return u
}

// run runs a request and sends its answer.
func (u *refusingUpstream) run(r connRequest) { u.runAfter(r, "") }

// runAfter starts to run a request, sends a stray response, and then sends its answer.
func (u *refusingUpstream) runAfter(r connRequest, stray string) {
	u.mu.Lock()
	u.runs[r.id]++
	u.mu.Unlock()
	r.write(stray)
	time.Sleep(10 * time.Millisecond)
	if strings.HasPrefix(r.URL.Path, "/letters/") {
		r.write(sealedStream(r.id))
		return
	}
	r.write(sealedAnswer(r.id))
}

func (u *refusingUpstream) runCount(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// Guards against a request that is reported as not run, or sent to another upstream,
// because its upstream repeats an earlier refusal on a kept connection while it runs the
// request.
func TestRepeatedRefusalOfAnotherRequest(t *testing.T) {
	const first = "first"
	for name, stray := range map[string]string{
		"with its id":                       refusal(first),
		"twice":                             refusal(first) + refusal(first),
		"without an id":                     refusal(""),
		"with its id, then without":         refusal(first) + refusal(""),
		"without the id, up to a field":     refusal("")[:strings.Index(refusal(""), "Sat,")],
		"without the id, within a field":    refusal("")[:strings.Index(refusal(""), "Dec")],
		"up to the reason of the status":    "HTTP/1.1 503 ",
		"within the reason of the status":   "HTTP/1.1 503 Service",
		"up to a line":                      refusal("")[:strings.Index(refusal(""), "Date")],
		"up to half of a line end":          refusal("")[:strings.Index(refusal(""), "Date")-1],
		"up to the id":                      refusal(first)[:strings.Index(refusal(first), first)],
		"within the id":                     refusal(first)[:strings.Index(refusal(first), first)+2],
		"without its body":                  refusal(first)[:len(refusal(first))-4],
		"without a part of its body":        refusal(first)[:len(refusal(first))-2],
		"status 200 with Not-Run and an id": strings.Replace(refusal(first), "503 Service Unavailable", "200 OK", 1),
		"informational response":            "HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\n\r\n" + refusal(first),
	} {
		for _, delay := range []time.Duration{-1, 0, 5 * time.Millisecond} {
			for _, path := range []string{"/book/x", "/look/x", "/letters/x"} {
				t.Run(fmt.Sprint(name, delay, path), func(t *testing.T) {
					service := "desk"
					if path == "/letters/x" {
						service = "model"
					}
					u := startRefusingUpstream(t, service, func(u *refusingUpstream, r connRequest) {
						switch {
						case r.id == first && delay < 0:
							r.write(refusal(first) + stray) // in one piece
						case r.id == first && delay > 0:
							r.write(refusal(first))
							time.AfterFunc(delay, func() { r.write(stray) })
						case r.id == first:
							r.write(refusal(first))
						default:
							if len(r.earlier) > 0 && delay == 0 {
								u.runAfter(r, stray)
								return
							}
							u.run(r)
						}
					})
					other := startRefusingUpstream(t, service, func(u *refusingUpstream, r connRequest) { u.run(r) })
					other.ID = "u2"
					conf := configuration()
					for i := range conf.Routes {
						conf.Routes[i].Timeout, conf.Routes[i].MaxAttempts = 300*time.Millisecond, 1
					}
					f := newFixture(t, conf, u.upstream)
					assert.Equal(t, f.do(f.request("POST", path, "x", "Attempt-Id", first)).status, http.StatusServiceUnavailable)
					conf.Version++
					for i := range conf.Routes {
						conf.Routes[i].MaxAttempts = 3
					}
					f.setConfiguration(conf)
					f.announce(other.Upstream)
					for i := range 3 {
						id := fmt.Sprint("next-", i)
						res := f.do(f.request("POST", path, "x", "Attempt-Id", id))
						runs := u.runCount(id) + other.runCount(id)
						assert.Assert(t, res.status != http.StatusServiceUnavailable || runs == 0, "reported as not run, ran %d times", runs)
						if path == "/book/x" {
							assert.Assert(t, runs <= 1, "ran %d times", runs)
						}
						if res.status == http.StatusOK && res.err == nil {
							assert.Equal(t, res.header.Get("Not-Run"), "")
							assert.Equal(t, res.header.Get("Attempt-Id"), id)
						}
					}
				})
			}
		}
	}
}

// Guards against a repeated refusal of the same request: it was refused at this upstream
// before and was then sent there again, on the connection that carried the refusal or on
// another kept one.
func TestRepeatedRefusalOfTheSameRequest(t *testing.T) {
	for _, path := range []string{"/book/x", "/look/x"} {
		for _, sameConnection := range []bool{true, false} {
			t.Run(fmt.Sprint(path, " same connection=", sameConnection), func(t *testing.T) {
				var mu sync.Mutex
				refused := map[string]bool{}
				u := startRefusingUpstream(t, "desk", func(u *refusingUpstream, r connRequest) {
					if strings.HasPrefix(r.id, "open") {
						u.run(r)
						return
					}
					mu.Lock()
					again := refused[r.id]
					refused[r.id] = true
					mu.Unlock()
					if !again {
						text := refusal(r.id)
						if !sameConnection {
							text = strings.Replace(text, "Not-Run", "Connection: close\r\nNot-Run", 1)
						}
						r.write(text)
						return
					}
					carried := false
					for _, id := range r.earlier {
						carried = carried || id == r.id
					}
					if carried && sameConnection || !carried && len(r.earlier) > 0 {
						u.runAfter(r, refusal(r.id))
						return
					}
					u.run(r)
				})
				conf := configuration()
				conf.Routes[1].MaxAttempts, conf.Routes[2].MaxAttempts = 2, 2
				f := newFixture(t, conf, u.upstream)
				if !sameConnection { // the connection of the first refusal is not kept, but others are
					var wg sync.WaitGroup
					for i := range 8 {
						r := f.request("POST", "/book/x", "x", "Attempt-Id", fmt.Sprint("open-", i))
						wg.Add(1)
						go func() { defer wg.Done(); f.do(r) }()
					}
					wg.Wait()
				}
				for i := range 5 {
					id := fmt.Sprint("request-", i)
					res := f.do(f.request("POST", path, "x", "Attempt-Id", id))
					assert.Assert(t, res.status != http.StatusServiceUnavailable || u.runCount(id) == 0, "reported as not run, ran %d times", u.runCount(id))
					if path == "/book/x" {
						assert.Assert(t, u.runCount(id) <= 1, "ran %d times", u.runCount(id))
					}
				}
			})
		}
	}
}

// Guards against believing a refusal without an id that need not be the response to the
// request: it follows another response, or arrives on a connection that was kept.
func TestRefusalWithoutID(t *testing.T) {
	for name, c := range map[string]struct {
		stray string
		// checked requests a connection that was kept after a health check; other
		// connections are opened for the request.
		checked  bool
		believed bool
	}{
		"first response on a new connection":             {refusal(""), false, true},
		"after a response to another request":            {refusal("other") + refusal(""), false, false},
		"after an answer to another request":             {sealedAnswer("other") + refusal(""), false, false},
		"first response on a connection of a check":      {refusal(""), true, false},
		"after another response on a checked connection": {refusal("other") + refusal(""), true, false},
	} {
		for _, path := range []string{"/book/x", "/look/x"} {
			t.Run(name+path, func(t *testing.T) {
				u := startRefusingUpstream(t, "desk", func(u *refusingUpstream, r connRequest) {
					if c.believed {
						r.write(c.stray)
						return
					}
					u.runAfter(r, c.stray)
				})
				conf := configuration()
				conf.Routes[1].MaxAttempts, conf.Routes[2].MaxAttempts = 1, 1
				f := newFixture(t, conf, u.upstream)
				if c.checked {
					assert.NilError(t, f.connections.check(t.Context(), u.Addr, u.ID))
				}
				res := f.do(f.request("POST", path, "x", "Attempt-Id", "request"))
				if c.believed {
					assert.Equal(t, res.status, http.StatusServiceUnavailable)
					return
				}
				assert.Equal(t, u.runCount("request"), 1)
				assert.Assert(t, res.status != http.StatusServiceUnavailable, "reported as not run, ran once")
			})
		}
	}
}

// Guards against a refusal of another request that is believed for a request without an
// id, which no response can be matched to.
func TestRequestWithoutID(t *testing.T) {
	for name, stray := range map[string]string{"with an id": refusal("first"), "without an id": refusal("")} {
		t.Run(name, func(t *testing.T) {
			u := startRefusingUpstream(t, "desk", func(u *refusingUpstream, r connRequest) {
				if r.id == "first" {
					r.write(refusal("first"))
					return
				}
				if len(r.earlier) > 0 {
					u.runAfter(r, stray)
					return
				}
				u.run(r)
			})
			f := newFixture(t, configuration(), u.upstream)
			assert.Equal(t, f.do(f.request("POST", "/book/x", "x", "Attempt-Id", "first")).status, http.StatusServiceUnavailable)
			r := f.request("POST", "/book/x", "x")
			r.Header.Del("Attempt-Id")
			res := f.do(r)
			assert.Equal(t, u.runCount(""), 1)
			assert.Assert(t, res.status != http.StatusServiceUnavailable, "reported as not run, ran once")
		})
	}
}

// Guards against an idempotent request that is reported as not run because one attempt
// was refused, while another attempt may have run it.
func TestRefusalBesideAnAttemptThatMayHaveRun(t *testing.T) {
	for name, order := range map[string][2]string{
		"refused, then lost":             {"refuse", "lose"},
		"lost, then refused":             {"lose", "refuse"},
		"refused, then without a seal":   {"refuse", "unsealed"},
		"without a seal, then refused":   {"unsealed", "refuse"},
		"hedge lost, then refused":       {"refuse late", "lose"},
		"hedge refused, then lost":       {"lose late", "refuse"},
		"refused, then an error":         {"refuse", "error"},
		"an error, then refused":         {"error", "refuse"},
		"refused twice":                  {"refuse", "refuse"},
		"lost twice":                     {"lose", "lose"},
		"refused, then Not-Run with 200": {"refuse", "contradict"},
		"Not-Run with 200":               {"contradict", "contradict"},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			attempts, runs := 0, 0
			handle := func(c net.Conn) {
				defer c.Close()
				request, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				id := request.Header.Get("Attempt-Id")
				mu.Lock()
				action, late := strings.CutSuffix(order[min(attempts, 1)], " late")
				attempts++
				if action != "refuse" {
					runs++
				}
				mu.Unlock()
				if late {
					time.Sleep(150 * time.Millisecond)
				}
				switch action {
				case "refuse":
					_, _ = io.WriteString(c, refusal(id))
				case "unsealed":
					_, _ = io.WriteString(c, strings.Replace(sealedAnswer(id), "Response-Seal: s\r\n", "", 1))
				case "error":
					_, _ = io.WriteString(c, strings.Replace(sealedAnswer(id), "200 OK", "500 Error", 1))
				case "contradict":
					_, _ = io.WriteString(c, strings.Replace(sealedAnswer(id), "Response-Seal", "Not-Run: 1\r\nResponse-Seal", 1))
				}
			}
			first, second := startRawUpstream(t, handle), startRawUpstream(t, handle)
			second.ID = "u2"
			f := newFixture(t, configuration(), first, second)
			res := f.do(f.request("GET", "/look/x", ""))
			assert.NilError(t, res.err)
			mu.Lock()
			defer mu.Unlock()
			assert.Equal(t, attempts, 2)
			if runs == 0 {
				assert.Equal(t, res.status, http.StatusServiceUnavailable)
				return
			}
			assert.Assert(t, res.status == http.StatusBadGateway || res.status == http.StatusInternalServerError, "status %d", res.status)
		})
	}
}

// Guards against a second run of an at-most-once request, or a wrong report that it has
// not run, because of a Not-Run header in a response that is no refusal.
func TestNotRunWithoutRefusal(t *testing.T) {
	for _, status := range []string{"200 OK", "204 No Content", "302 Found", "404 Not Found", "500 Error", "502 Bad Gateway", "504 Gateway Timeout"} {
		for _, path := range []string{"/book/x", "/letters/x"} {
			t.Run(status+path, func(t *testing.T) {
				service := "desk"
				if path == "/letters/x" {
					service = "model"
				}
				var ups []*upstream
				var servers []*refusingUpstream
				for i := range 2 {
					u := startRefusingUpstream(t, service, func(u *refusingUpstream, r connRequest) {
						u.mu.Lock()
						u.runs[r.id]++
						u.mu.Unlock()
						r.write("HTTP/1.1 " + status + "\r\nNot-Run: 1\r\nAttempt-Id: " + r.id + "\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n")
					})
					u.ID = fmt.Sprint("u", i)
					servers, ups = append(servers, u), append(ups, u.upstream)
				}
				conf := configuration()
				conf.Routes[0].Resumable, conf.Routes[1].MaxAttempts = false, 2
				f := newFixture(t, conf, ups...)
				res := f.do(f.request("POST", path, "x", "Attempt-Id", "request"))
				assert.NilError(t, res.err)
				assert.Equal(t, res.status, http.StatusBadGateway)
				assert.Equal(t, res.header.Get("Not-Run"), "")
				assert.Equal(t, servers[0].runCount("request")+servers[1].runCount("request"), 1)
			})
		}
	}
	for _, status := range []string{"400 Bad Request", "421 Misdirected Request", "429 Too Many Requests", "503 Service Unavailable"} {
		u := startRefusingUpstream(t, "desk", func(_ *refusingUpstream, r connRequest) {
			r.write(strings.Replace(refusal(r.id), "503 Service Unavailable", status, 1))
		})
		f := newFixture(t, configuration(), u.upstream)
		assert.Equal(t, f.do(f.request("POST", "/book/x", "x")).status, http.StatusServiceUnavailable, status)
	}
}

// Guards against refusals that are believed although a stray response cannot be ruled
// out, in a random mix of refusals and stray bytes under concurrent requests.
func TestRefusalsAmongStrayBytes(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var mu sync.Mutex
			rng := rand.New(rand.NewPCG(seed, 1))
			random := func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.IntN(n) }
			// stray returns an earlier refusal: of the connection, of the same request at
			// this upstream, or without an id, in part or as a whole.
			var refusedIDs sync.Map
			stray := func(u *refusingUpstream, r connRequest) string {
				ids := append([]string{""}, r.earlier...)
				if _, ok := refusedIDs.Load(u.ID + r.id); ok && len(r.earlier) > 0 {
					ids = append(ids, r.id)
				}
				text := refusal(ids[random(len(ids))])
				if random(3) == 0 {
					return text[:random(len(text))]
				}
				return text
			}
			handle := func(u *refusingUpstream, r connRequest) {
				if random(3) == 0 {
					r.write(refusal(r.id))
					refusedIDs.Store(u.ID+r.id, true)
					switch random(4) {
					case 0:
						r.write(stray(u, r))
					case 1:
						time.AfterFunc(time.Duration(random(20))*time.Millisecond, func() { r.write(stray(u, r)) })
					}
					return
				}
				if len(r.earlier) > 0 && random(2) == 0 {
					r.write(stray(u, r))
				}
				u.run(r)
			}
			var ups []*upstream
			var refusing []*refusingUpstream
			for i := range 4 {
				u := startRefusingUpstream(t, []string{"desk", "model"}[i%2], handle)
				u.ID = fmt.Sprint("u", i)
				refusing, ups = append(refusing, u), append(ups, u.upstream)
			}
			conf := configuration()
			for i := range conf.Routes {
				conf.Routes[i].MaxAttempts, conf.Routes[i].Timeout = 4, 300*time.Millisecond
			}
			f := newFixture(t, conf, ups...)
			var wg sync.WaitGroup
			for i := range 120 {
				path := []string{"/book/x", "/look/x", "/letters/x"}[i%3]
				id := fmt.Sprint("request-", i)
				r := f.request("POST", path, "x", "Attempt-Id", id)
				wg.Add(1)
				go func() {
					defer wg.Done()
					res, runs := f.do(r), 0
					for _, u := range refusing {
						runs += u.runCount(id)
					}
					if res.status == http.StatusServiceUnavailable && runs > 0 {
						t.Errorf("%s %s: reported as not run, ran %d times", path, id, runs)
					}
					if path == "/book/x" && runs > 1 {
						t.Errorf("%s %s: ran %d times", path, id, runs)
					}
				}()
				if i%12 == 11 {
					wg.Wait()
				}
			}
			wg.Wait()
		})
	}
}
