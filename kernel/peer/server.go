package peer

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// ReadHeaderTimeout is how long a peer, a scraper or a readiness check may take to send
	// its headers.
	ReadHeaderTimeout = 5 * time.Second
	// MaxHeaderBytes limits these headers. They have a few hundred bytes; those of many
	// connections that send without end must fit into the memory of the smallest instance,
	// and parsed headers of short lines take thirty times their size.
	MaxHeaderBytes = 16 << 10
)

// NewServer returns an HTTP server for an internal listener: calls between processes,
// metrics and readiness checks. Calls and the connections of Handler end with ctx.
func NewServer(ctx context.Context, h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: ReadHeaderTimeout, MaxHeaderBytes: MaxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return ctx }}
}
