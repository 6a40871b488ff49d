package measure

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a missed target that is reported as met.
func TestTargets(t *testing.T) {
	var r Result
	r.add("low", 1, "ms").atMost(1)
	r.add("high", 2, "ms").atMost(1)
	r.addWithBaseline("share", 0.9, 1, "share").atLeast(0.95)
	r.add("plain", 3, "ms")
	var out bytes.Buffer
	assert.NilError(t, r.WriteTable(&out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")[2:]
	for i, want := range []string{"yes", "no", "no", "ms"} {
		fields := strings.Fields(lines[i])
		assert.Equal(t, fields[len(fields)-1], want)
	}
}

// Guards against a process that outlives the measurement, and against figures
// read from the wrong fields of /proc.
func TestProcess(t *testing.T) {
	p := &process{name: "sleeper", settings: "/dev/null"}
	assert.NilError(t, p.start("/bin/cat"))
	// cat rejects the flag -config and exits by itself; its end must be noticed
	// without a kill.
	select {
	case <-p.done:
	case <-time.After(5 * time.Second):
		t.Fatal("the end of the process was not noticed")
	}
	p.kill()

	self := &process{name: "self", cmd: p.cmd}
	self.cmd.Process.Pid = os.Getpid()
	used, err := self.cpu()
	assert.NilError(t, err)
	assert.Assert(t, used < time.Hour)
	resident, err := self.resident()
	assert.NilError(t, err)
	assert.Assert(t, resident > mib && resident < 4096*mib, "%v bytes", resident)
}
