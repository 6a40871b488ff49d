package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/core/wire"
	"heatherway.dev/kernel/result"
)

// controlCallTimeout bounds a call to one control instance.
const controlCallTimeout = time.Second

// control calls the control instances one after the other until one answers. It
// starts with the one that answered the most recent call.
func (m *Module) control(ctx context.Context, method string, args, reply any) error {
	first := int(m.lastControl.Load())
	var last error
	for i := range m.Control {
		n := (first + i) % len(m.Control)
		err := m.callControl(ctx, m.Control[n], method, args, reply)
		if err == nil || !mayRetryElsewhere(err) {
			m.lastControl.Store(int32(n))
			return err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return result.Wrap(result.ControlUnavailable, last, "no control instance answered")
}

func (m *Module) callControl(ctx context.Context, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	return m.pool.client(addr).Call(ctx, wire.ControlService+"."+method, args, reply)
}

// mayRetryElsewhere reports whether another control instance may answer a call
// that failed with err.
func mayRetryElsewhere(err error) bool {
	var known *result.Error
	if !errors.As(err, &known) {
		return true
	}
	switch known.Code {
	case result.NotLeader, result.ControlUnavailable, result.RecordsUnavailable, result.Internal:
		return true
	}
	return false
}
