// Package config is the configuration of the fleet: defaults, a short list of
// exceptions with a written reason each, and organisations. It is a pure state
// machine; the control role replicates its changes.
package config

import (
	"encoding/json"
	"strconv"
	"time"

	"heatherway.dev/core/wire"
)

// Document is one revision of the configuration. A Document is immutable once
// it has been handed out.
type Document struct {
	Revision uint64 `json:"revision"`
	// Defaults holds the keys that differ from their built-in default.
	Defaults      map[string]string       `json:"defaults"`
	Exceptions    []Exception             `json:"exceptions"`
	Organisations map[string]Organisation `json:"organisations"`

	// owners maps key hashes to organisations; nil in a document put together
	// by hand.
	organisationByKeyHash map[string]string
}

// Organisation is a customer of the fleet.
type Organisation struct {
	// KeyHashes are SHA-256 hashes, in hexadecimal, of the caller keys.
	KeyHashes []string `json:"key_hashes"`
}

// Exception replaces a default for what its selector matches.
type Exception struct {
	ID       string   `json:"id"`
	Key      string   `json:"key"`
	Value    string   `json:"value"`
	Selector Selector `json:"selector"`
	// Reason is required.
	Reason string `json:"reason"`
	// UntilMS ends the exception, in Unix milliseconds; zero never does.
	UntilMS int64 `json:"until_ms,omitempty"`
}

// Selector names what an exception holds for. Empty fields match everything.
type Selector struct {
	Organisation string `json:"organisation,omitempty"`
	Model        string `json:"model,omitempty"`
	Zone         string `json:"zone,omitempty"`
	Upstream     string `json:"upstream,omitempty"`
	Service      string `json:"service,omitempty"`
}

// Scope is what a value is looked up for.
type Scope = Selector

// matches returns how many fields match, or -1 if one does not.
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

// Lookup returns the value in force for a key. The exception with most
// matching fields wins, the later one among equals.
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

func (d *Document) defaultValue(key string) string {
	if v, ok := d.Defaults[key]; ok {
		return v
	}
	return keys[key].Default
}

// Duration returns the value of a duration key.
func (d *Document) Duration(key string, at Scope, now time.Time) time.Duration {
	v, _ := time.ParseDuration(d.Lookup(key, at, now)) // checked when accepted
	return v
}

// Float returns the value of a number key.
func (d *Document) Float(key string, at Scope, now time.Time) float64 {
	v, _ := strconv.ParseFloat(d.Lookup(key, at, now), 64) // checked when accepted
	return v
}

// Int returns the value of an integer key.
func (d *Document) Int(key string, at Scope, now time.Time) int64 {
	v, _ := strconv.ParseInt(d.Lookup(key, at, now), 10, 64) // checked when accepted
	return v
}

// Bool returns the value of a boolean key.
func (d *Document) Bool(key string, at Scope, now time.Time) bool {
	v, _ := strconv.ParseBool(d.Lookup(key, at, now)) // checked when accepted
	return v
}

// Class returns the value of a key that holds a priority class.
func (d *Document) Class(key string, at Scope, now time.Time) wire.Class {
	c, _ := wire.ParseClass(d.Lookup(key, at, now)) // checked when accepted
	return c
}

// OrganisationOf returns the organisation that a key hash belongs to.
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

// index fills owners, so that finding the organisation of a request does not
// depend on the number of organisations.
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

// RateLimitedOrganisations returns how many organisations may have a rate limit: all
// of them when the default sets one, or else one for each exception that does.
// Entries and limit owners must come to the same number, so it depends on the
// document only.
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
