package control

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

// Guards against a failure that is reported as "not run" although the command
// may have reached the log, and against an error returned too early while a
// leader is being elected.
func TestFailedCommandReportsWhetherStored(t *testing.T) {
	s := &service{c: &Control{log: newMemoryLog(nil)}, forward: true}
	unavailable := result.New(result.ControlUnavailable, "no quorum")
	for _, tc := range []struct {
		name string
		errs []error
		code result.Code
		ran  result.Ran
	}{
		{"never reached the log", []error{result.New(result.NotLeader, ""), peer.ErrUnreachable}, result.ControlUnavailable, result.NotRun},
		{"outcome unknown once", []error{unavailable, result.New(result.NotLeader, "")}, result.ControlUnavailable, result.Unknown},
		{"connection broken", []error{errors.New("reset")}, result.ControlUnavailable, result.Unknown},
		{"leader elected in time", []error{unavailable, nil}, 0, result.NotRun},
		{"refused", []error{result.New(result.KeyReused, "")}, result.KeyReused, result.NotRun},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 4*leaderRetryInterval+leaderRetryInterval/2)
		tries := 0
		err := s.callLeader(ctx, 1, "Start", nil, nil, func(context.Context) error {
			tries++
			return tc.errs[min(tries, len(tc.errs))-1]
		})
		cancel()
		if tc.code == 0 {
			assert.NilError(t, err, tc.name)
			continue
		}
		e := result.From(err)
		assert.Equal(t, e.Code, tc.code, tc.name)
		assert.Equal(t, e.Ran, tc.ran, tc.name)
	}
}
