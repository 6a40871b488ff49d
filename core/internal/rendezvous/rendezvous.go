// Package rendezvous implements rendezvous hashing: all processes make the same
// choice among a set of names, and adding or removing one name changes few
// choices.
package rendezvous

import (
	"hash/fnv"
	"io"
)

// Hash returns a uniformly distributed hash of the text.
func Hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, text) // writing to a hash never returns an error
	return Mix(h.Sum64())
}

// Weight returns a uniformly distributed hash of the pair of texts.
func Weight(reader, name string) uint64 { return Mix(Hash(reader) ^ Hash(name)) }

// Mix is the finaliser of MurmurHash3. It is needed because the upper bits of
// an FNV hash hardly depend on the last bytes of the input.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
