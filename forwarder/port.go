package forwarder

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// port is where callers connect. When it closes, it first hands on the connections
// that wait in the kernel's queue, which would be cut off otherwise.
type port struct {
	*net.TCPListener
	closing atomic.Bool
}

const (
	// queueQuiet is how long no connection has to come for the queue to be empty, and
	// queueMost how long it is emptied at the most.
	queueQuiet = 20 * time.Millisecond
	queueMost  = 500 * time.Millisecond
)

// listen opens the callers' port. Probes of the connections that it takes would
// cost four system calls each; idle ones are closed, and others have a time limit.
func listen(address string) (*port, error) {
	cfg := net.ListenConfig{KeepAlive: -1}
	l, err := cfg.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &port{TCPListener: l.(*net.TCPListener)}, nil
}

// Accept implements net.Listener. Once the port is closing it hands on what waits,
// and then says that the port is closed.
func (p *port) Accept() (net.Conn, error) {
	if p.closing.Load() {
		_ = p.SetDeadline(time.Now().Add(queueQuiet))
	}
	c, err := p.TCPListener.Accept()
	if err != nil && p.closing.Load() {
		return nil, net.ErrClosed
	}
	return c, err
}

// leave closes the port once its queue is empty.
func (p *port) leave(served <-chan struct{}) error {
	p.closing.Store(true)
	if err := p.SetDeadline(time.Now().Add(queueQuiet)); err != nil {
		return errors.Wrap(err, "stop taking connections")
	}
	select {
	case <-served:
	case <-time.After(queueMost):
	}
	return errors.Wrap(p.Close(), "close the callers' port")
}
