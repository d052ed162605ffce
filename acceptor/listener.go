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

// Listener accepts the connections of callers. When it closes, it first accepts the
// connections in the accept queue of the kernel, which would be reset otherwise.
type Listener struct {
	*net.TCPListener
	closing atomic.Bool
	backlog backlog
}

const (
	// queueEmptyAfter is how long no connection must arrive for the accept queue to
	// count as empty, and maxQueueDrain how long it is drained at most.
	queueEmptyAfter = 20 * time.Millisecond
	maxQueueDrain   = 500 * time.Millisecond
)

// Listen opens a listener with the options of cfg. It fails if network is not a TCP
// network. It disables Multipath TCP, because only plain TCP sockets accept the socket
// filter of DrainAndClose.
func Listen(cfg net.ListenConfig, network, address string) (*Listener, error) {
	cfg.SetMultipathTCP(false)
	l, err := cfg.Listen(context.Background(), network, address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", address)
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close()
		return nil, errors.Errorf("listen for callers on %s: network %q is not TCP", address, network)
	}
	return &Listener{TCPListener: t}, nil
}

// Accept implements net.Listener. While the listener is closing, it returns the pending
// connections, and then net.ErrClosed.
func (p *Listener) Accept() (net.Conn, error) {
	if p.closing.Load() {
		_ = p.SetDeadline(time.Now().Add(queueEmptyAfter))
	}
	c, err := p.AcceptTCP()
	if err != nil && p.closing.Load() {
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	p.backlog.accepted(clocker.Coarse(), p.hasPending)
	return &acceptedConn{c}, nil
}

// EarliestArrival returns since when the accept queue has been continuously non-empty,
// or when a connection was last accepted if none is pending. The connection accepted
// last is taken to have arrived no sooner.
func (p *Listener) EarliestArrival() identifier.Instant {
	return identifier.Instant(p.backlog.earliestArrival.Load())
}

// hasPending reports whether connections are waiting to be accepted.
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

// DrainAndClose closes the listener once its accept queue is empty, or after
// maxQueueDrain. serveDone is closed when the server has accepted its last connection. A
// socket filter keeps new connections out of the queue meanwhile: those that arrived
// after the queue was last drained would be reset by the close. Where the kernel accepts
// no filter, connections are accepted until none arrives.
func (p *Listener) DrainAndClose(serveDone <-chan struct{}) error {
	_ = p.attachFilter(dropNewConnections)
	p.closing.Store(true)
	if err := p.SetDeadline(time.Now().Add(queueEmptyAfter)); err != nil {
		return errors.Wrap(err, "set the accept deadline of the callers' port")
	}
	select {
	case <-serveDone:
	case <-time.After(maxQueueDrain):
	}
	// A server closes the listener itself when it has accepted its last connection.
	if err := p.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "close the callers' port")
	}
	return nil
}

// dropNewConnections is a filter of TCP segments that drops those that request a new
// connection (SYN without ACK) and passes all others, so that handshakes that have begun
// are completed. See bpf(4) and RFC 9293, section 3.1.
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
	tcpSYN         = 0x02
	tcpACK         = 0x10
	// passSegment is the return value that passes a segment untruncated: the number of
	// bytes to keep.
	passSegment = 1 << 16
)

// attachFilter attaches a socket filter to the listening socket. A caller whose SYN is
// dropped retransmits it after its kernel's timeout (one second), and is refused if the
// listener is closed by then.
func (p *Listener) attachFilter(instructions []unix.SockFilter) error {
	raw, err := p.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access the socket of the callers' port")
	}
	program := unix.SockFprog{Len: uint16(len(instructions)), Filter: &instructions[0]}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err != nil {
		return errors.Wrap(err, "access the socket of the callers' port")
	}
	return errors.Wrap(sockErr, "attach the socket filter of the callers' port")
}
