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

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	// earliestArrival is when it came at the earliest.
	earliestArrival identifier.Instant
	// hadRequest tells that a request has come on it.
	hadRequest atomic.Bool
}

// WithConnection puts a connection that came no sooner than an instant into the context of its
// requests.
func WithConnection(ctx context.Context, c net.Conn, earliestArrival identifier.Instant) context.Context {
	return context.WithValue(ctx, connKey{}, &callerConn{Conn: c, earliestArrival: earliestArrival})
}

// Connection returns the connection of a request, nil if it was not remembered.
func Connection(r *http.Request) net.Conn {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		return c.Conn
	}
	return nil
}

// EarliestRequestArrival returns an instant before which a request did not come: for the first one of
// a connection when that came at the earliest, otherwise now. It is asked once for each
// request.
func EarliestRequestArrival(r *http.Request, now identifier.Instant) identifier.Instant {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok || c.hadRequest.Swap(true) || c.earliestArrival == 0 {
		return now
	}
	return min(c.earliestArrival, now)
}

// CallerDisconnected tells whether the caller of a request has closed its connection. The
// server notices that by itself only a moment after it has read the request.
func CallerDisconnected(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c := Connection(r)
	return c != nil && peekInput(c) == closedInput
}

// unreadInput is what a connection has unreadInput that was not read.
type unreadInput int

// What a connection may have received.
const (
	noInput unreadInput = iota
	dataInput
	closedInput
)

// peekInput looks what a connection has received, and reads nothing.
func peekInput(c net.Conn) unreadInput {
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
