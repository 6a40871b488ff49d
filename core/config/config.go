// Package config is the configuration of the fleet: defaults, a short list of
// exceptions that each state a reason, and organisations. It is a state machine
// without I/O; the control module replicates its changes.
package config

import (
	"encoding/json"
	"strconv"
	"time"

	"heatherway.dev/core/wire"
)

// Document is one revision of the configuration. It is immutable once a State
// has returned it.
type Document struct {
	Revision uint64 `json:"revision"`
	// Defaults holds the values of keys that override the built-in defaults.
	Defaults      map[string]string       `json:"defaults"`
	Exceptions    []Exception             `json:"exceptions"`
	Organisations map[string]Organisation `json:"organisations"`

	// organisationByKeyHash indexes Organisations; it is nil in a document that
	// was constructed without buildIndex.
	organisationByKeyHash map[string]string
}

// Organisation is a customer that uses the fleet.
type Organisation struct {
	// KeyHashes are the SHA-256 hashes of the API keys of its callers, in
	// hexadecimal.
	KeyHashes []string `json:"key_hashes"`
}

// Exception overrides a default where its selector matches.
type Exception struct {
	ID       string   `json:"id"`
	Key      string   `json:"key"`
	Value    string   `json:"value"`
	Selector Selector `json:"selector"`
	// Reason is required.
	Reason string `json:"reason"`
	// UntilMS is when the exception expires, in Unix milliseconds; zero means
	// never.
	UntilMS int64 `json:"until_ms,omitempty"`
}

// Selector selects what an exception applies to. Empty fields match everything.
type Selector struct {
	Organisation string `json:"organisation,omitempty"`
	Model        string `json:"model,omitempty"`
	Zone         string `json:"zone,omitempty"`
	Upstream     string `json:"upstream,omitempty"`
	Service      string `json:"service,omitempty"`
}

// Scope describes the request, upstream or service that a value is looked up for.
// It has the fields of a Selector, but an empty field means that the property is
// not known. Key.Scopes instead names the selector fields that a key permits.
type Scope = Selector

// matches returns the number of set fields that match, or -1 if one does not.
func (s Selector) matches(at Scope) int {
	n := 0
	for _, f := range [...]struct{ want, have string }{
		{s.Organisation, at.Organisation}, {s.Model, at.Model}, {s.Zone, at.Zone},
		{s.Upstream, at.Upstream}, {s.Service, at.Service},
	} {
		if f.want == "" {
			continue
		}
		if f.want != f.have {
			return -1
		}
		n++
	}
	return n
}

// Lookup returns the effective value of a key. The exception with the most
// matching fields takes precedence, and the later one if several match equally.
func (d *Document) Lookup(key string, at Scope, now time.Time) string {
	value, best := d.defaultValue(key), -1
	for i := range d.Exceptions {
		e := &d.Exceptions[i]
		if e.Key != key || e.UntilMS != 0 && now.UnixMilli() >= e.UntilMS {
			continue
		}
		if n := e.Selector.matches(at); n >= 0 && n >= best {
			value, best = e.Value, n
		}
	}
	return value
}

// defaultValue returns the value of a key without exceptions.
func (d *Document) defaultValue(key string) string {
	if v, ok := d.Defaults[key]; ok {
		return v
	}
	return keys[key].Default
}

// Duration returns the value of a duration key.
func (d *Document) Duration(key string, at Scope, now time.Time) time.Duration {
	v, _ := time.ParseDuration(d.Lookup(key, at, now)) // validated when the change was accepted
	return v
}

// Float returns the value of a number key.
func (d *Document) Float(key string, at Scope, now time.Time) float64 {
	v, _ := strconv.ParseFloat(d.Lookup(key, at, now), 64) // validated when the change was accepted
	return v
}

// Int returns the value of an integer key.
func (d *Document) Int(key string, at Scope, now time.Time) int64 {
	v, _ := strconv.ParseInt(d.Lookup(key, at, now), 10, 64) // validated when the change was accepted
	return v
}

// Bool returns the value of a boolean key.
func (d *Document) Bool(key string, at Scope, now time.Time) bool {
	v, _ := strconv.ParseBool(d.Lookup(key, at, now)) // validated when the change was accepted
	return v
}

// Class returns the value of a priority class key.
func (d *Document) Class(key string, at Scope, now time.Time) wire.Class {
	c, _ := wire.ParseClass(d.Lookup(key, at, now)) // validated when the change was accepted
	return c
}

// OrganisationOf returns the organisation that the hash of an API key belongs to.
func (d *Document) OrganisationOf(keyHash string) (string, bool) {
	if d.organisationByKeyHash != nil {
		name, ok := d.organisationByKeyHash[keyHash]
		return name, ok
	}
	for name, o := range d.Organisations {
		for _, h := range o.KeyHashes {
			if h == keyHash {
				return name, true
			}
		}
	}
	return "", false
}

// buildIndex fills organisationByKeyHash, so that the time to find the
// organisation of a request does not depend on the number of organisations.
func (d *Document) buildIndex() {
	d.organisationByKeyHash = make(map[string]string, len(d.Organisations))
	for name, o := range d.Organisations {
		for _, h := range o.KeyHashes {
			d.organisationByKeyHash[h] = name
		}
	}
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Document) UnmarshalJSON(b []byte) error {
	type plain Document
	p := plain(*emptyDocument())
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	*d = Document(p)
	d.buildIndex()
	return nil
}

// RateLimitedOrganisations returns an estimate of the number of organisations
// with a rate limit: all of them when a default sets a limit, otherwise one for
// each exception that sets one. Entries and the control instances that grant
// them shares of a limit must get the same number, so it depends on the document
// only.
func (d *Document) RateLimitedOrganisations() int {
	n := 0
	for _, key := range [...]string{"organisation.rate", "organisation.requests"} {
		if v, _ := strconv.ParseFloat(d.defaultValue(key), 64); v > 0 {
			return len(d.Organisations)
		}
		for i := range d.Exceptions {
			if d.Exceptions[i].Key == key {
				n++
			}
		}
	}
	return n
}
