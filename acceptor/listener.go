package acceptor

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// Listener is where callers connect. When it closes, it first hands on the connections
// that wait in the kernel's queue, which would be cut off otherwise.
type Listener struct {
	*net.TCPListener
	closing atomic.Bool
	backlog backlog
}

const (
	// queueEmptyAfter is how long no connection has to come for the queue to be empty, and
	// queueMost how long it is emptied at the most.
	queueEmptyAfter = 20 * time.Millisecond
	maxQueueDrain  = 500 * time.Millisecond
)

// Listen opens a port with some options. It is a plain TCP port, as others take no
// filter.
func Listen(cfg net.ListenConfig, network, address string) (*Listener, error) {
	cfg.SetMultipathTCP(false)
	l, err := cfg.Listen(context.Background(), network, address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", address)
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close()
		return nil, errors.Errorf("listen for callers on %s: %s is no TCP", address, network)
	}
	return &Listener{TCPListener: t}, nil
}

// Accept implements net.Listener. Once the port is closing it hands on what waits,
// and then says that the port is closed.
func (p *Listener) Accept() (net.Conn, error) {
	if p.closing.Load() {
		_ = p.SetDeadline(time.Now().Add(queueEmptyAfter))
	}
	c, err := p.TCPListener.Accept()
	if err != nil && p.closing.Load() {
		return nil, net.ErrClosed
	}
	if err == nil {
		p.backlog.accepted(clocker.Coarse(), p.hasPending)
	}
	return c, err
}

// EarliestArrival returns since when connections have waited to be taken without a pause, or when one
// was last taken if none waits. The one that was taken last came no sooner.
func (p *Listener) EarliestArrival() identifier.Instant { return identifier.Instant(p.backlog.earliestArrival.Load()) }

// hasPending tells whether connections wait to be taken.
func (p *Listener) hasPending() bool {
	raw, err := p.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	_ = raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return n > 0
}

// DrainAndClose closes the port once its queue is empty. The channel is closed when the
// server has taken its last connection. Nothing new comes into the queue
// meanwhile: what came after it was last emptied would be reset by the close. Where
// the kernel takes no filter, connections go on to be accepted until none comes.
func (p *Listener) DrainAndClose(serveDone <-chan struct{}) error {
	_ = p.attachFilter(dropNewConnections)
	p.closing.Store(true)
	if err := p.SetDeadline(time.Now().Add(queueEmptyAfter)); err != nil {
		return errors.Wrap(err, "stop taking connections")
	}
	select {
	case <-serveDone:
	case <-time.After(maxQueueDrain):
	}
	// A server closes the port itself when it has taken its last connection.
	if err := p.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "close the callers' port")
	}
	return nil
}

// dropNewConnections is a filter of TCP segments that drops those that ask for a new
// connection (SYN without ACK) and passes all others, so that handshakes that have
// begun come to their end. See bpf(4) and RFC 9293, section 3.1.
var dropNewConnections = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSYN | tcpACK},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: 0, Jf: 1, K: tcpSYN},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: passSegment},
}

const (
	// tcpFlagsOffset is the offset of the flags in a TCP header, in bytes.
	tcpFlagsOffset = 13
	tcpSYN     = 0x02
	tcpACK     = 0x10
	// passSegment passes a segment uncut, in bytes.
	passSegment = 1 << 16
)

// attachFilter has the kernel apply a attachFilter to what comes to the port. A caller whose
// request for a connection is dropped asks again after its kernel's time (a second),
// and is refused by the closed port.
func (p *Listener) attachFilter(instructions []unix.SockFilter) error {
	raw, err := p.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "reach the callers' port")
	}
	program := unix.SockFprog{Len: uint16(len(instructions)), Filter: &instructions[0]}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err != nil {
		return errors.Wrap(err, "reach the callers' port")
	}
	return errors.Wrap(sockErr, "set the filter of the callers' port")
}
