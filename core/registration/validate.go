package registration

import (
	"cmp"
	"net/netip"

	"github.com/go-faster/errors"

	"heatherway.dev/core/internal/namecheck"
)

// Bounds of the fields of an announcement. They are far above the figures of any upstream
// and keep sums and products of them within range.
const (
	// MaxNameBytes is the maximum length of an ID, a service name and a zone name. Records
	// are sent together in one message, whose size is limited.
	MaxNameBytes = namecheck.MaxBytes
	// MaxRecords is the maximum number of records in a directory. All of them with names of
	// the maximum length, and a configuration, fit into one message between processes.
	MaxRecords = 16384
	// MaxSlots is the maximum number of slots.
	MaxSlots = 1 << 20
	// MaxStartedMS is the latest start time, in the year 2286. A start time in microseconds
	// is above it. Start times are not compared with the clock of the reader, since upstreams
	// use clocks of their own.
	MaxStartedMS = 10_000_000_000_000
	// MaxSeq is the highest sequence number, which any JSON implementation represents exactly.
	MaxSeq = 1 << 53
	// MaxColdMS is the longest warm-up time, one day.
	MaxColdMS = 24 * 60 * 60 * 1000
)

// Validate returns the first reason why an announcement cannot be used. The error has a
// bounded length. An upstream that left needs only an ID.
func (u *Upstream) Validate() error {
	if !u.State.Valid() {
		return errors.Errorf("undefined state %d", u.State)
	}
	required := u.State != Left
	if err := cmp.Or(
		namecheck.Validate("id", u.ID, true), namecheck.Validate("service", u.Service, required), namecheck.Validate("zone", u.Zone, false),
		namecheck.Validate("version", u.Version, false),
		validateRange("slots", int64(u.Slots), MaxSlots), validateRange("start time", u.StartedMS, MaxStartedMS),
		validateRange("sequence number", u.Seq, MaxSeq), validateRange("warm-up time", u.ColdMS, MaxColdMS),
	); err != nil {
		return err
	}
	if u.Addr == "" && !required {
		return nil
	}
	_, err := ParseAddr(u.Addr)
	return err
}

// ParseAddr parses IP:PORT and checks that it can be the address of an upstream on another
// machine. An unspecified address would connect the reader to itself, and an IPv6 zone is
// valid only on the machine that named it.
func ParseAddr(addr string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return a, errors.Errorf("address %.64q is not IP:PORT", addr)
	}
	a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	broadcast := netip.AddrFrom4([4]byte{255, 255, 255, 255})
	if ip := a.Addr(); a.Port() == 0 || ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast {
		return a, errors.Errorf("address %.64q cannot be connected to", addr)
	}
	return a, nil
}

func validateRange(field string, n, limit int64) error {
	if n < 0 || n > limit {
		return errors.Errorf("%s %d is not between 0 and %d", field, n, limit)
	}
	return nil
}
