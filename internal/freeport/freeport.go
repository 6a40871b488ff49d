// Package freeport finds loopback ports for processes that tests and
// measurements start.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/go-faster/errors"
)

const (
	// lowest and highest lie below the range from which Linux takes the ports of
	// outgoing connections. A port of that range may be taken by a connection
	// before the process that it was meant for listens on it.
	lowest  = 10240
	highest = 32767
	tries   = 200
)

// Listen binds a free port of 127.0.0.1. The caller closes the listener before
// the process starts.
func Listen() (net.Listener, error) {
	for range tries {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(highest-lowest+1)))
		if err == nil {
			return l, nil
		}
	}
	return nil, errors.Errorf("no free port between %d and %d in %d tries", lowest, highest, tries)
}
