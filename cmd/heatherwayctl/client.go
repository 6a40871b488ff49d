package main

import (
	"flag"
	"strings"
)

// client holds the flags for calling the API of an entry or engine.
type client struct {
	urls urlList
	key  string
}

func (c *client) register(flags *flag.FlagSet) {
	flags.Var(&c.urls, "url", "base URL; repeat it or separate by commas for several")
	flags.StringVar(&c.key, "key", "", "key of the caller")
}

// urlList is a flag that holds base URLs. A trailing slash is removed.
type urlList []string

// String implements flag.Value.
func (l *urlList) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *urlList) Set(s string) error {
	for u := range strings.SplitSeq(s, ",") {
		*l = append(*l, strings.TrimSuffix(u, "/"))
	}
	return nil
}
