package agent

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"heatherway.dev/kernel/peer"
	"heatherway.dev/kernel/result"
)

const (
	// controlCallLimit bounds one call to one control instance.
	controlCallTimeout = 500 * time.Millisecond
	// controlRounds is how often a call goes around all control instances.
	maxControlRounds = 2
	// controlPause lies between rounds, so that an election can end.
	controlRetryDelay = 200 * time.Millisecond
)

// errNotReceived marks a call that certainly reached no control instance, or
// was refused by each that it reached.
var errNotReceived = errors.New("no control instance took the call")

// call makes a call to the leader that serves it: it tries the instances in
// turn and follows the address in a not-leader answer. An error that wraps
// errNotReceived means that the call has had no effect.
func (c *controlClient) call(ctx context.Context, method string, args, reply any) error {
	var last error
	mayHaveTakenEffect := false
	first := int(c.preferred.Load()) // an instance that answered, so that a silent one is not tried each time
	for round := range maxControlRounds {
		if round > 0 {
			sleep(ctx, controlRetryDelay)
		}
		for i := range c.clients {
			n := (first + i) % len(c.clients)
			done, err := c.callOrFollowLeader(ctx, c.clients[n], method, args, reply)
			if done {
				c.preferred.Store(int32(n))
				return err
			}
			last = err
			mayHaveTakenEffect = mayHaveTakenEffect || !notReceived(err)
		}
	}
	if last == nil {
		last = errors.New("no control address is set")
	}
	if mayHaveTakenEffect {
		return last
	}
	return errors.Join(errNotReceived, last)
}

// follow calls one instance, and the leader that it names. Done is set when
// the answer is final.
func (c *controlClient) callOrFollowLeader(ctx context.Context, cl *peer.Client, method string, args, reply any) (done bool, err error) {
	err = c.callOnce(ctx, cl, method, args, reply)
	if result.Is(err, result.NotLeader) {
		addr := result.From(err).Message
		if _, _, bad := net.SplitHostPort(addr); bad != nil || addr == cl.Addr() {
			return false, err
		}
		err = c.callOnce(ctx, c.clientFor(addr), method, args, reply)
	}
	if err == nil {
		return true, nil
	}
	var e *result.Error
	if !errors.As(err, &e) || retriable(e.Code) {
		return false, err
	}
	return true, err
}

// retriable codes say that another instance, or the same one later, may serve
// the call.
func retriable(c result.Code) bool {
	return c == result.NotLeader || c == result.RecordsUnavailable || c == result.ControlUnavailable || c == result.Internal
}

func notReceived(err error) bool {
	var e *result.Error
	return errors.Is(err, peer.ErrUnreachable) || errors.As(err, &e) && e.Ran == result.NotRun
}

func (c *controlClient) callOnce(ctx context.Context, cl *peer.Client, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	return cl.Call(ctx, method, args, reply)
}

// client returns the connection to an address, which a leader may have outside
// of the configured list.
func (c *controlClient) clientFor(addr string) *peer.Client {
	for _, cl := range c.clients {
		if cl.Addr() == addr {
			return cl
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderClients[addr] == nil {
		c.leaderClients[addr] = c.security.NewClient(addr)
	}
	return c.leaderClients[addr]
}
