package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// oddBodies are announcements of another writer.
func oddBodies() []string {
	announcement := func(field, value string) string {
		fields := map[string]string{"Service": `"model"`, "Addr": `"127.0.0.1:9"`, "Zone": `"z0"`, "Slots": "64", "State": `"ready"`, "Seq": "9007199254740992", "born": "9999999999999"}
		fields[field] = value
		var parts []string
		for name, v := range fields {
			parts = append(parts, fmt.Sprintf("%q:%s", name, v))
		}
		return "{" + strings.Join(parts, ",") + "}"
	}
	deep := strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000)
	return []string{
		announcement("Models", deep), deep, strings.Repeat(`{"Addr":`, 7_000), announcement("Addr", `"127.0.0.1:0"`), announcement("Addr", `"127.0.0.1:65536"`),
		announcement("Addr", `"127.0.0.1:99999999999"`), announcement("Addr", `"0.0.0.0:80"`), announcement("Addr", `"[::1"`), announcement("Addr", `"[fe80::1%x\r\nTenant: y]:80"`),
		announcement("Addr", `"upstream.example:80"`), announcement("Slots", "1e999"), announcement("Slots", "9223372036854775808"), announcement("Slots", "1000000000000000000"),
		announcement("Slots", "-1"), announcement("Seq", "9223372036854775807"), announcement("born", "9223372036854775807"), announcement("born", "-1"),
		announcement("ColdLeftMs", "1e300"), announcement("State", `"lost"`), announcement("State", "{}"), announcement("Service", `"`+strings.Repeat("s", 60_000)+`"`),
		announcement("Zone", "null"), "[" + announcement("Zone", `"z0"`) + "]", "null", "\xff\xfe", "", strings.Repeat(" ", 1<<20),
	}
}

// Guards against processes that end, end again after a restart, or stop following the list
// of servers because of odd entries among those of the servers, and against odd entries in
// the list.
func TestOddEntries(t *testing.T) {
	sys := newTestSystem(t, 1, 3, 2, 6)
	client := &http.Client{Timeout: time.Second}
	sys.eventually("first configuration", 20*time.Second, func() bool { return sys.replaceConfiguration(client, sys.registries[0].addr(operatorPort)) })
	sys.eventually("gateways ready", 20*time.Second, sys.gatewaysReady)
	sys.disableBootstrap()
	sys.startCallers(6, allPaths...)
	post := func(p *process, path, body string) int {
		res, err := client.Post("http://"+p.addr(operatorPort)+path, "application/json", strings.NewReader(body))
		if err != nil {
			return 0
		}
		defer res.Body.Close()
		_, _ = io.Copy(io.Discard, res.Body)
		return res.StatusCode
	}
	for range 3 {
		for i, body := range oddBodies() {
			status := post(sys.registries[i%3], "/v1/instances/odd/heartbeat", body)
			assert.Check(t, status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge, "%.60s: status %d", body, status)
		}
		for _, id := range []string{"a\r\nTenant: x", "\x00", "\xff", " ", strings.Repeat("i", 50_000)} {
			status := post(sys.registries[0], "/v1/instances/"+url.PathEscape(id)+"/heartbeat", oddBodies()[0])
			assert.Check(t, status == http.StatusBadRequest, "id %.20q: status %d", id, status)
		}
	}
	sys.mu.Lock()
	sys.sentVersion++
	version := sys.sentVersion
	sys.mu.Unlock()
	odd := strings.ReplaceAll(configurationJSON(version), `"MaxAttempts":`, `"MaxAttempts":109951162777`)
	sys.eventually("a configuration with many attempts", 10*time.Second, func() bool { return post(sys.registries[1], "/v1/config/replace", odd) == http.StatusOK })
	sys.checkServedWithoutFailure("after odd entries")

	for _, p := range sys.registries {
		p.kill()
		path := filepath.Join(p.folder, "data", "registry", "directory.json")
		saved, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Assert(t, json.Valid(saved) && !bytes.Contains(saved, []byte(`"odd"`)), "an odd entry was saved")
		saved = bytes.Replace(saved, []byte("["), []byte(`[{"ID":"odd","Slots":9223372036854775808},{"ID":"odd","Addr":"127.0.0.1:0","State":9},null,`), 1)
		assert.NilError(t, os.WriteFile(path, saved, 0o600))
	}
	for _, p := range sys.registries {
		p.start()
	}
	sys.eventually("a read after the restart", 20*time.Second, func() bool {
		res, err := client.Get("http://" + sys.registries[2].addr(operatorPort) + "/v1/config/get")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	time.Sleep(2 * time.Second)
	sys.checkServedWithoutFailure("after the restart")
	for _, p := range sys.processes() {
		assert.Check(t, p.checkLogLines(), p.host)
		log, err := os.ReadFile(filepath.Join(p.folder, "log.jsonl"))
		assert.NilError(t, err)
		assert.Check(t, !bytes.Contains(log, []byte("panic")) && !bytes.Contains(log, []byte("unexpected failure")), "%s has panicked", p.host)
		for line := range bytes.Lines(log) {
			assert.Check(t, len(line) < 4<<10, "%s: a line of %d bytes: %.200s", p.host, len(line), line)
		}
	}
	assert.Equal(t, len(sys.violations), 0, "%v", sys.violations)
}

// checkServedWithoutFailure checks that all processes run and that requests are served.
func (sys *testSystem) checkServedWithoutFailure(when string) {
	sys.t.Helper()
	before := [3]int64{sys.outcomeCounts[0].Load(), sys.outcomeCounts[1].Load(), sys.outcomeCounts[2].Load()}
	time.Sleep(2 * time.Second)
	servedCount := sys.outcomeCounts[served].Load() - before[served]
	others := sys.outcomeCounts[refused].Load() - before[refused] + sys.outcomeCounts[failed].Load() - before[failed]
	assert.Check(sys.t, servedCount >= 20 && others*20 <= servedCount, "%s: %d requests served, %d not", when, servedCount, others)
	for _, p := range sys.processes() {
		select {
		case <-p.done:
			sys.t.Fatalf("%s: process %s has ended", when, p.host)
		default:
		}
	}
}
