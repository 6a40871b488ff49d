// Package freeport finds loopback ports for processes that tests and
// measurements start.
package freeport

import (
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// minPort and maxPort lie below the ephemeral port range of Linux. A port of
	// that range may be used by an outgoing connection before the process that it
	// was chosen for listens on it.
	minPort  = 10240
	maxPort  = 32767
	maxTries = 200
	// partitions is the number of parts into which the range is divided by process
	// id. The port of a closed listener is free until the process that it was
	// chosen for binds it; in that time no other test process may choose it.
	partitions = 16
)

// assigned holds the ports that this process has chosen; none is chosen twice.
var assigned = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// Listen binds a free port of 127.0.0.1. The caller closes the listener before
// the process starts.
func Listen() (net.Listener, error) { return ListenOn("127.0.0.1") }

// ListenOn is Listen for another loopback address.
func ListenOn(host string) (net.Listener, error) {
	for range maxTries {
		port := candidate()
		if !reserve(port) {
			continue
		}
		l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if err == nil {
			return l, nil
		}
	}
	return nil, errors.Errorf("no free port between %d and %d in %d tries", minPort, maxPort, maxTries)
}

// candidate returns a random port of this process's partition.
func candidate() int {
	const portsPerPartition = (maxPort - minPort + 1) / partitions
	return minPort + os.Getpid()%partitions + partitions*rand.IntN(portsPerPartition)
}

// reserve marks a port as assigned, and returns false if it already was.
func reserve(port int) bool {
	assigned.Lock()
	defer assigned.Unlock()
	if assigned.ports[port] {
		return false
	}
	assigned.ports[port] = true
	return true
}
