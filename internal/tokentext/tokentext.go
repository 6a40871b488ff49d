// Package tokentext computes the text that a stand-in engine generates. It is a
// pure function of prompt, sampling seed and position, so that a caller can
// check every token that it receives.
package tokentext

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Source computes the tokens of one generation.
type Source struct{ key uint64 }

// New returns the source for a prompt and a sampling seed.
func New(prompt string, seed int64) Source {
	d := xxhash.New()
	_, _ = d.WriteString(prompt) // never returns an error
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(seed))
	_, _ = d.Write(b[:])
	return Source{key: d.Sum64()}
}

const numberBase = 36

// At returns token i, counted from 0. The position is part of the token, so
// that missing and repeated tokens are detected; the checksum depends on the
// source as well, so that tokens of another generation are detected.
func (s Source) At(i int) string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], s.key)
	binary.BigEndian.PutUint64(b[8:], uint64(i))
	return " " + strconv.FormatInt(int64(i), numberBase) + "-" + strconv.FormatUint(xxhash.Sum64(b[:])>>32, numberBase)
}

// Prefix returns the first n tokens as one text.
func (s Source) Prefix(n int) string {
	var b []byte
	for i := range n {
		b = append(b, s.At(i)...)
	}
	return string(b)
}

// At returns token i of the generation for a prompt and a sampling seed.
func At(prompt string, seed int64, i int) string { return New(prompt, seed).At(i) }

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt of a chat: role and content of every message,
// concatenated.
func ChatPrompt(messages []Message) string {
	var b []byte
	for _, m := range messages {
		b = append(b, m.Role...)
		b = append(b, m.Content...)
	}
	return string(b)
}
