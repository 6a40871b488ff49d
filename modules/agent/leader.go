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
	// controlCallTimeout bounds one call to one control instance.
	controlCallTimeout = 500 * time.Millisecond
	// maxControlRounds is how often a call is tried at all control instances.
	maxControlRounds = 2
	// controlRetryDelay is the delay between rounds, which gives an election time to end.
	controlRetryDelay = 200 * time.Millisecond
)

// errNotReceived marks a call that had no effect: each control instance was
// unreachable or refused it.
var errNotReceived = errors.New("no control instance took the call")

// call makes a call that the leader of a group must serve. It tries the control
// instances in turn and follows the leader's address in a not-leader error. An error
// that wraps errNotReceived means that the call had no effect.
func (c *controlClient) call(ctx context.Context, method string, args, reply any) error {
	var last error
	mayHaveTakenEffect := false
	firstIndex := int(c.preferred.Load()) // avoids trying an unresponsive instance first each time
	for round := range maxControlRounds {
		if round > 0 {
			sleep(ctx, controlRetryDelay)
		}
		for i := range c.clients {
			n := (firstIndex + i) % len(c.clients)
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

// callOrFollowLeader calls one instance and, if that instance names another leader,
// that leader. It returns done when the answer is final.
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

// retriable reports whether another instance, or the same one later, may serve a call
// that failed with the code.
func retriable(c result.Code) bool {
	return c == result.NotLeader || c == result.RecordsUnavailable || c == result.ControlUnavailable || c == result.Internal
}

// notReceived reports whether a failed call certainly had no effect.
func notReceived(err error) bool {
	var e *result.Error
	return errors.Is(err, peer.ErrUnreachable) || errors.As(err, &e) && e.Ran == result.NotRun
}

func (c *controlClient) callOnce(ctx context.Context, cl *peer.Client, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	return cl.Call(ctx, method, args, reply)
}

// clientFor returns the client for an address. A leader may have an address that is
// not in the configured list.
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
