package acceptor

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"github.com/pkg/errors"
)

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// Remember puts a connection into the context of its requests.
func Remember(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Connection returns the connection of a request, nil if it was not remembered.
func Connection(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}

// HasLeft tells whether the caller of a request has closed its connection. The
// server notices that by itself only a moment after it has read the request.
func HasLeft(r *http.Request) bool {
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
