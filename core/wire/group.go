package wire

import "hash/fnv"

// KeyGroup returns the log group, from 1 to groups, that holds the record of a
// key.
func KeyGroup(key string, groups int) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // a hash never fails
	return 1 + h.Sum32()%uint32(groups)
}
