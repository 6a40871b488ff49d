package limit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/go-faster/errors"
)

// Every entry sends up to MaxLeaseRequestsPerSecond messages a second, so
// messages have a compact encoding: amounts are 4-byte floats and are omitted
// when zero. A sender rounds amounts to that precision before it accounts for
// them, always in the direction that admits less.

func (a Amount) roundDown() Amount { return Amount{round(a.Tokens, -1), round(a.Requests, -1)} }

func (a Amount) roundUp() Amount { return Amount{round(a.Tokens, 1), round(a.Requests, 1)} }

// round returns the nearest 4-byte float that is at most x if side is negative,
// and at least x if side is positive.
func round(x float64, side int) float64 {
	f := float32(x)
	if side < 0 && float64(f) > x || side > 0 && float64(f) < x {
		f = math.Nextafter32(f, float32(math.Inf(side)))
	}
	return float64(f)
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendAmounts appends a byte with one bit for each nonzero component, followed
// by those components.
func appendAmounts(b []byte, amounts ...Amount) []byte {
	mask := len(b)
	b = append(b, 0)
	for i, a := range amounts {
		for j, x := range [...]float64{a.Tokens, a.Requests} {
			if x != 0 {
				b[mask] |= 1 << (2*i + j)
				b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(x)))
			}
		}
	}
	return b
}

// MarshalBinary implements encoding.BinaryMarshaler, which gob calls.
func (a LeaseRequest) MarshalBinary() ([]byte, error) {
	b := appendString(nil, a.Organisation)
	b = appendString(b, a.Entry)
	b = binary.AppendUvarint(b, a.Number)
	b = appendAmounts(b, a.Demand, a.Want, a.Need, a.Unused)
	b = binary.AppendUvarint(b, a.Lease)
	return binary.AppendUvarint(b, a.Unapplied), nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (a *LeaseRequest) UnmarshalBinary(b []byte) error {
	d := decoder{b: b}
	*a = LeaseRequest{Organisation: d.string(), Entry: d.string(), Number: d.uvarint()}
	d.amounts(&a.Demand, &a.Want, &a.Need, &a.Unused)
	a.Lease, a.Unapplied = d.uvarint(), d.uvarint()
	return d.end("ask")
}

// MarshalBinary implements encoding.BinaryMarshaler. It rounds Wait up to whole
// milliseconds.
func (g Grant) MarshalBinary() ([]byte, error) {
	b := appendString(nil, g.Organisation)
	b = appendString(b, g.Entry)
	b = binary.AppendUvarint(b, g.Number)
	b = appendAmounts(b, g.Amount)
	ms := (max(g.Wait, 0) + time.Millisecond - 1) / time.Millisecond
	return binary.AppendUvarint(b, uint64(ms)), nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (g *Grant) UnmarshalBinary(b []byte) error {
	d := decoder{b: b}
	*g = Grant{Organisation: d.string(), Entry: d.string(), Number: d.uvarint()}
	d.amounts(&g.Amount)
	g.Wait = time.Duration(min(d.uvarint(), uint64(maxWait.Milliseconds()))) * time.Millisecond
	return d.end("grant")
}

// decoder reads values from b and records whether any of them was truncated or
// out of range.
type decoder struct {
	b       []byte
	invalid bool
}

func (d *decoder) bytes(n uint64) []byte {
	if d.invalid || n > uint64(len(d.b)) {
		d.invalid = true
		return nil
	}
	part := d.b[:n]
	d.b = d.b[n:]
	return part
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.invalid = true
		return 0
	}
	d.bytes(uint64(n))
	return v
}

func (d *decoder) string() string { return string(d.bytes(d.uvarint())) }

func (d *decoder) amounts(amounts ...*Amount) {
	present := d.bytes(1)
	for i, a := range amounts {
		for j, x := range [...]*float64{&a.Tokens, &a.Requests} {
			if d.invalid || present[0]&(1<<(2*i+j)) == 0 {
				continue
			}
			if part := d.bytes(4); !d.invalid {
				*x = float64(math.Float32frombits(binary.BigEndian.Uint32(part)))
				d.invalid = !(*x >= 0) || math.IsInf(*x, 0)
			}
		}
	}
}

func (d *decoder) end(kind string) error {
	if d.invalid || len(d.b) > 0 {
		return errors.Errorf("malformed lease %s", kind)
	}
	return nil
}
