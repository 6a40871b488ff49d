package crash

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// maxMessageKeys limits the messages of one request that are tracked, the latest. The first
// messages of a long chat were in its earlier requests, which have proved them.
const maxMessageKeys = 1024

// MessageKeys returns the keys under which the messages of a chat are tracked, in their
// order and each once: all messages but the last, which other requests rarely share. body is
// the request of the caller. A body that is no chat has none.
//
// A key depends on the model and on the content of the message, but not on its position or
// the form of its JSON. Other models may answer on the message without a crash.
func MessageKeys(model string, body []byte) (keys []string) {
	var chat struct {
		Messages []json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(body, &chat); err != nil || len(chat.Messages) < 2 {
		return nil
	}
	shared := chat.Messages[:len(chat.Messages)-1]
	seen := map[string]bool{}
	for _, raw := range shared[max(len(shared)-maxMessageKeys, 0):] {
		message, ok := canonicalMessage(raw)
		if !ok {
			continue
		}
		if key := messageKey(model, message); !seen[key] {
			seen[key] = true
			keys = append(keys, key)
		}
	}
	return keys
}

// messageKey hashes the model and a message. The length of the model precedes it, so that
// different pairs never hash alike.
func messageKey(model string, message []byte) string {
	h := sha256.New()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(model)))
	h.Write(slices.Concat(n[:], []byte(model), message))
	return PartKey(hex.EncodeToString(h.Sum(nil)))
}

// canonicalMessage returns the JSON of a message with sorted fields, and with a content that
// is a list of one text replaced by the text.
func canonicalMessage(raw []byte) ([]byte, bool) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var message map[string]any
	if err := d.Decode(&message); err != nil || message == nil {
		return nil, false
	}
	if text, ok := singleText(message["content"]); ok {
		message["content"] = text
	}
	b, err := json.Marshal(message)
	return b, err == nil
}

// singleText returns the text of a content that is a list of one text.
func singleText(content any) (text string, ok bool) {
	list, ok := content.([]any)
	if !ok || len(list) != 1 {
		return "", false
	}
	item, ok := list[0].(map[string]any)
	if !ok || len(item) != 2 || item["type"] != "text" {
		return "", false
	}
	text, ok = item["text"].(string)
	return text, ok
}
