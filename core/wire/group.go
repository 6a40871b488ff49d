package wire

import "hash/fnv"

// KeyGroup returns the log group, from 1 to groups, that stores the record of a
// key. Log group 0 holds the other state that the control instances replicate.
func KeyGroup(key string, groups int) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // writing to a hash never returns an error
	return 1 + h.Sum32()%uint32(groups)
}
