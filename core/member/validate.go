package member

import (
	"cmp"
	"net"
	"strconv"

	"github.com/go-faster/errors"

	"heatherway.dev/core/internal/namecheck"
	"heatherway.dev/core/wire"
)

// Bounds of the fields of an announcement. They are far above the figures of any agent.
const (
	// MaxNames is the maximum number of models, adapters and services of one upstream.
	MaxNames = 4096
	// MaxSlots is the maximum number of slots.
	MaxSlots = 1 << 20
	// MaxIncarnation is the incarnation of a process that starts in the year 2286. A higher
	// one would make all later processes with the same ID look old.
	MaxIncarnation wire.Incarnation = 10_000_000_000_000 << 16
	// maxURLBytes is the maximum length of the URL of cache events.
	maxURLBytes = 2048
	// maxAddrBytes is the maximum length of an address.
	maxAddrBytes = 300
)

// Validate returns the first reason why the announcement of an upstream cannot be used. The
// error has a bounded length.
func Validate(u *wire.Upstream) error {
	if err := cmp.Or(
		namecheck.Validate("id", u.ID, true), namecheck.Validate("zone", u.Zone, false), namecheck.Validate("region", u.Region, false), validateAddr(u.Addr),
	); err != nil {
		return err
	}
	switch {
	case u.Incarnation == 0 || u.Incarnation > MaxIncarnation:
		return errors.Errorf("incarnation %d is out of range", u.Incarnation)
	case u.State > wire.UpstreamLeaving:
		return errors.Errorf("undefined state %d", u.State)
	case u.Slots > MaxSlots:
		return errors.Errorf("%d slots, more than %d", u.Slots, MaxSlots)
	case len(u.EventsURL) > maxURLBytes:
		return errors.Errorf("the URL of cache events has %d bytes, more than %d", len(u.EventsURL), maxURLBytes)
	case len(u.Models)+len(u.Adapters)+len(u.Services) > MaxNames:
		return errors.Errorf("more than %d models, adapters and services", MaxNames)
	}
	for _, list := range [][]string{u.Models, u.Adapters, u.Services} {
		for _, name := range list {
			if err := namecheck.Validate("name of a model, adapter or service", name, true); err != nil {
				return err
			}
		}
	}
	return nil
}

// validateAddr checks that an address is HOST:PORT. The host may be a name, since operators
// configure the address that an agent announces.
func validateAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" || len(addr) > maxAddrBytes {
		return errors.Errorf("address %.64q is not HOST:PORT", addr)
	}
	for _, c := range []byte(host) {
		if c <= ' ' || c > '~' || c == '/' || c == '?' || c == '#' || c == '@' || c == '%' {
			return errors.Errorf("the host of address %.64q contains an invalid character", addr)
		}
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Errorf("the port of address %.64q is not between 1 and 65535", addr)
	}
	return nil
}
