package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherway.dev/heatherway/internal/tokentext"
)

const (
	calmDuration    = 5 * time.Second
	crashesDuration = 15 * time.Second
	soundInterval   = 50 * time.Millisecond
	// crashInterval is short enough that new crashes may keep all engines down.
	crashInterval = 100 * time.Millisecond
	// chatTimeout is how long the caller of a chat waits for the whole answer, which
	// takes one second. Sound chats end this long before the crashing ones, so that the
	// end of the crashes does not help the last of them.
	chatTimeout = 3 * time.Second
	// shortRestartDelay leaves engines for sound chats unless new crashes end them.
	shortRestartDelay = time.Second
)

// chatAttempt is one chat request that its caller has sent once.
type chatAttempt struct {
	sent  time.Time
	begun bool
}

// sendChats sends one chat per interval, alternating between the entries, and returns all
// attempts. The chats share every message but the last one.
func (cl *cluster) sendChats(duration, interval time.Duration, document string) []chatAttempt {
	var attempts []chatAttempt
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), chatTimeout)
			defer cancel()
			g := &generation{tokens: 200, messages: []tokentext.Message{
				{Role: "system", Content: "answer briefly"},
				{Role: "user", Content: document},
				{Role: "assistant", Content: "understood"},
				{Role: "user", Content: fmt.Sprintf("question %d", i)},
			}}
			a := chatAttempt{sent: time.Now()}
			_ = g.stream(ctx, cl.Entries[i%len(cl.Entries)], nil) // only the first token counts here
			a.begun = g.received > 0
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, a)
		}()
		time.Sleep(interval)
	}
	wg.Wait()
	return attempts
}

// begunShare returns how many of the attempts sent from one time until another began to
// be answered, and how many there were.
func begunShare(attempts []chatAttempt, from, to time.Time) (begun, sent int) {
	for _, a := range attempts {
		if !a.sent.Before(from) && a.sent.Before(to) {
			sent++
			if a.begun {
				begun++
			}
		}
	}
	return begun, sent
}

// crashTimes kills all engines and returns, in order, when requests with the crash marker
// reached an engine, and when engines crashed. Requests that reach an engine within one
// decode step cause one crash.
func (cl *cluster) crashTimes() (reached, crashes []time.Time) {
	for _, e := range cl.Engines {
		p := cl.processes[e.Name+"-engine"]
		p.kill() // the log is complete once the process has ended
		down := false
		for line := range strings.Lines(p.log.String()) {
			var entry struct {
				Time time.Time
				Kind string
			}
			_ = json.Unmarshal([]byte(line), &entry) // other lines have no kind
			switch entry.Kind {
			case "die":
				reached = append(reached, entry.Time)
				if !down {
					crashes = append(crashes, entry.Time)
				}
				down = true
			case "resume":
				down = false
			}
		}
	}
	slices.SortFunc(reached, time.Time.Compare)
	slices.SortFunc(crashes, time.Time.Compare)
	return reached, crashes
}

// Guards against a message that many chats share, not the last one, and that crashes each
// engine which begins an answer on it. No two of these requests are alike, so a guard that
// knows whole requests ends one engine after the other, and sound chats, which share the
// organisation and the other messages, find no engine.
func TestMessageSharedByChatsCrashesEngines(t *testing.T) {
	cl := startCluster(t, clusterSpec{control: 1, entries: 3, engines: 6, engineRestartDelay: shortRestartDelay})
	var sound []chatAttempt
	var wg sync.WaitGroup
	start := time.Now()
	wg.Add(1)
	go func() {
		defer wg.Done()
		sound = cl.sendChats(calmDuration+crashesDuration-chatTimeout, soundInterval, "a sound document")
	}()
	time.Sleep(calmDuration)
	crashesStart := time.Now()
	cl.sendChats(crashesDuration, crashInterval, "a document with "+crashPrompt)
	wg.Wait()
	reached, crashes := cl.crashTimes()
	assert.Assert(t, len(crashes) >= 5, "%d engines crashed, so the fault was not played", len(crashes))
	fifth := crashes[4]
	late := 0
	for _, at := range reached {
		if at.After(fifth.Add(3 * time.Second)) {
			late++
		}
	}
	calmBegun, calmSent := begunShare(sound, start, crashesStart)
	begun, sent := begunShare(sound, fifth.Add(6*time.Second), crashesStart.Add(crashesDuration))
	t.Logf("%d crashes, the fifth after %v; %d requests with the message reached engines, %d later than 3 s after the fifth crash; sound chats begun: %d of %d before, %d of %d from 6 s after it",
		len(crashes), fifth.Sub(crashesStart).Round(time.Millisecond), len(reached), late, calmBegun, calmSent, begun, sent)
	assert.Check(t, late <= 3, "%d requests with the message reached engines later than 3 s after the fifth crash, want at most 3", late)
	assert.Check(t, calmBegun > 0 && sent > 0, "no sound chats to compare: %d begun before, %d sent from 6 s after the fifth crash", calmBegun, sent)
	assert.Check(t, 2*begun*calmSent >= calmBegun*sent, "%d of %d sound chats began from 6 s after the fifth crash, %d of %d before; want at least half the share", begun, sent, calmBegun, calmSent)
}
