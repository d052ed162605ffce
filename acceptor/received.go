package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"buckthorndrum/identifier"
)

// connKey is the key of what is remembered in the context of a connection's requests.
type connKey struct{}

// remembered is a caller's connection.
type remembered struct {
	net.Conn
	// since is when it came at the earliest.
	since identifier.Instant
	// used tells that a request has come on it.
	used atomic.Bool
}

// WithConnection puts a connection that came no sooner than an instant into the context of its
// requests.
func WithConnection(ctx context.Context, c net.Conn, since identifier.Instant) context.Context {
	return context.WithValue(ctx, connKey{}, &remembered{Conn: c, since: since})
}

// Connection returns the connection of a request, nil if it was not remembered.
func Connection(r *http.Request) net.Conn {
	if c, ok := r.Context().Value(connKey{}).(*remembered); ok {
		return c.Conn
	}
	return nil
}

// EarliestRequestArrival returns an instant before which a request did not come: for the first one of
// a connection when that came at the earliest, otherwise now. It is asked once for each
// request.
func EarliestRequestArrival(r *http.Request, now identifier.Instant) identifier.Instant {
	c, ok := r.Context().Value(connKey{}).(*remembered)
	if !ok || c.used.Swap(true) || c.since == 0 {
		return now
	}
	return min(c.since, now)
}

// CallerDisconnected tells whether the caller of a request has closed its connection. The
// server notices that by itself only a moment after it has read the request.
func CallerDisconnected(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c := Connection(r)
	return c != nil && waiting(c) == anEnd
}

// received is what a connection has received that was not read.
type received int

// What a connection may have received.
const (
	nothing received = iota
	bytesOf
	anEnd
)

// waiting looks what a connection has received, and reads nothing.
func waiting(c net.Conn) received {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nothing
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return anEnd
	}
	found := nothing
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			found = bytesOf
		case err == nil || !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR):
			found = anEnd
		}
	})
	if err != nil {
		return anEnd
	}
	return found
}
