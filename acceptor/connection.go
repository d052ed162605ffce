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

// connKey is the context key of a connection's callerConn.
type connKey struct{}

// callerConn is a caller's connection as stored in the context of its requests.
type callerConn struct {
	net.Conn
	// earliestArrival is an instant before which the connection did not arrive.
	earliestArrival identifier.Instant
	// hadRequest reports whether EarliestRequestArrival was called for a request on the
	// connection.
	hadRequest atomic.Bool
}

// WithConnection returns a context for the requests of connection c. earliestArrival is
// an instant before which c did not arrive, or zero if none is known.
func WithConnection(ctx context.Context, c net.Conn, earliestArrival identifier.Instant) context.Context {
	return context.WithValue(ctx, connKey{}, &callerConn{Conn: c, earliestArrival: earliestArrival})
}

// Connection returns the connection of a request, or nil if its context was not made by
// WithConnection.
func Connection(r *http.Request) net.Conn {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		return c.Conn
	}
	return nil
}

// EarliestRequestArrival returns an instant before which a request did not arrive: the
// earliest arrival of its connection for the first request on it, otherwise now. It must
// be called once for each request.
func EarliestRequestArrival(r *http.Request, now identifier.Instant) identifier.Instant {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok || c.hadRequest.Swap(true) || c.earliestArrival == 0 {
		return now
	}
	return min(c.earliestArrival, now)
}

// CallerDisconnected reports whether the caller of a request has closed its connection.
// The server notices that by itself only a moment after it has read the request.
func CallerDisconnected(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c := Connection(r)
	return c != nil && peekInput(c) == closedInput
}

// ResetOnClose makes the connection of a request be reset when it is closed, so that an
// answer without a length does not look complete.
func ResetOnClose(r *http.Request) {
	if c, ok := Connection(r).(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0)
	}
}

// unreadInput is the kind of input that a connection has received but that was not read
// yet.
type unreadInput int

// The kinds of unread input: none, data, or the end of the connection (closed or
// failed).
const (
	noInput unreadInput = iota
	dataInput
	closedInput
)

// peekInput returns the unread input of a connection without reading it. What a Conn has
// buffered is unread too. For a connection without a socket it returns noInput.
func peekInput(c net.Conn) unreadInput {
	if c, ok := c.(*Conn); ok && c.unread.Load() > 0 {
		return dataInput
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return noInput
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return closedInput
	}
	found := noInput
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			found = dataInput
		case err == nil || !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR):
			found = closedInput
		}
	})
	if err != nil {
		return closedInput
	}
	return found
}

// maxDiscarded is how much unread input is discarded at most, in bytes.
const maxDiscarded = 1 << 20

// discardInput reads what a connection has received, without waiting for more.
func discardInput(c syscall.Conn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		var b [4 << 10]byte
		for discarded := 0; discarded < maxDiscarded; {
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_DONTWAIT)
			if n <= 0 && !errors.Is(err, syscall.EINTR) {
				return
			}
			discarded += max(n, 0)
		}
	})
}
