// Package rendezvous hashes texts for choices that every process makes alike and that one
// name more or less hardly changes.
package rendezvous

import (
	"hash/fnv"
	"io"
)

// Hash returns a number that is as good as drawn for each text.
func Hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, text) // writing to a hash cannot fail
	return Mix(h.Sum64())
}

// Weight returns a number that is as good as drawn for each pair of texts.
func Weight(reader, name string) uint64 { return Mix(Hash(reader) ^ Hash(name)) }

// Mix is the finaliser of MurmurHash3: the upper bits of an FNV hash hardly depend on the
// last bytes written.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
