package exchanger

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

// Transport is an http.Transport of HTTP/1.1 that reads answers as a Pool does: a head that is
// malformed fails the exchange, and so does a body whose connection broke, also if the write of
// the request was what met the failure. It keeps the rest of net/http: connections in use
// again, retries of what may be repeated, contexts.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport with the settings of base, which must not be used
// otherwise. Heads that come over TLS are not checked.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(c), nil
	}
	return &Transport{base: base}
}

// clientIdleTimeout is how long a connection of NewClient stays open without a request.
const clientIdleTimeout = 90 * time.Second

// NewClient returns a client with a Transport. Timeout bounds a call with the reading of its
// answer, zero for no bound.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, IdleConnTimeout: clientIdleTimeout})}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*checkedConn); ok {
			c.heads.expect()
		}
	}}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil {
		checkTrailer(resp)
	}
	return resp, err
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// checkedConn is a connection whose reads check the heads that are expected.
type checkedConn struct {
	*answerConn
	heads *headReader
}

func newCheckedConn(c net.Conn) *checkedConn {
	ac := &answerConn{Conn: c}
	return &checkedConn{answerConn: ac, heads: &headReader{r: ac}}
}

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (int, error) { return c.heads.Read(b) }
