package response

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an HTTP transport that returns an error for a malformed response, and for the end
// of a response without a length whose upload has not succeeded.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that uses t, which must not be used otherwise.
func NewTransport(t *http.Transport) Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
	return Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	upload := NewUpload()
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := info.Conn
			if secure, ok := conn.(*tls.Conn); ok {
				conn = secure.NetConn()
			}
			if c, ok := conn.(*Conn); ok {
				c.Begin(upload)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { upload.End(info.Err) },
	}
	res, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(res); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}
