// Package freeport finds loopback ports for processes that tests and
// measurements start.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// lowest and highest lie below the range from which Linux takes the ports of
	// outgoing connections. A port of that range may be taken by a connection
	// before the process that it was meant for listens on it.
	minPort  = 10240
	maxPort  = 32767
	maxTries = 200
	// shares is the number of parts into which the range is divided, by process
	// id: the port of a closed listener is free until the process that it is meant
	// for binds it, and another test process must not take it meanwhile.
	partitions = 16
)

// given holds the ports handed out by this process; none is handed out twice.
var assigned = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// Listen binds a free port of 127.0.0.1. The caller closes the listener before
// the process starts.
func Listen() (net.Listener, error) {
	for range maxTries {
		port := candidate()
		if !reserve(port) {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return l, nil
		}
	}
	return nil, errors.Errorf("no free port between %d and %d in %d tries", minPort, maxPort, maxTries)
}

// candidate draws a port of this process's share.
func candidate() int {
	const portsPerPartition = (maxPort - minPort + 1) / partitions
	return minPort + os.Getpid()%partitions + partitions*rand.IntN(portsPerPartition)
}

// take tells whether the port has not been handed out before.
func reserve(port int) bool {
	assigned.Lock()
	defer assigned.Unlock()
	if assigned.ports[port] {
		return false
	}
	assigned.ports[port] = true
	return true
}
