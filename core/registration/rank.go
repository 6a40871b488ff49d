package registration

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
)

// Rank orders names by how well they suit a reader, the best first. Each reader has an
// order of its own, so that readers which take the best spread evenly, and one name more or
// less moves only the readers concerned (rendezvous hashing).
func Rank(reader string, names []string) []string {
	type ranked struct {
		name   string
		weight uint64
	}
	list := make([]ranked, 0, len(names))
	for _, n := range names {
		list = append(list, ranked{n, weight(reader, n)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	out := make([]string, 0, len(list))
	for _, r := range list {
		out = append(out, r.name)
	}
	return out
}

// weight is a number that is as good as drawn for each pair of texts.
func weight(reader, name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, reader) // writing to a hash cannot fail
	_, _ = h.Write([]byte{0})
	_, _ = io.WriteString(h, name)
	return mix(h.Sum64())
}

// mix spreads the differences between similar texts over the high bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
