package acceptor

import (
	"container/list"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// Listener accepts the connections of callers, of type *Conn. When it closes, it first
// accepts the connections in the accept queue of the kernel, which would be reset otherwise.
type Listener struct {
	*net.TCPListener
	closing atomic.Bool
	backlog backlog
	limits  atomic.Pointer[HeadLimits]
	budget  *HeadBudget
	// maxConns bounds the open connections, zero for no bound.
	maxConns int
	http2    bool
	// initialPhase is what new connections read first.
	initialPhase connPhase

	// mu guards the fields below and the listener's fields of connections.
	mu sync.Mutex
	// open counts the open connections.
	open int
	// waiting holds the connections that have had no request, and idle those that wait for
	// another one, of type *Conn, in the order in which they began to wait. Both are empty
	// without a bound on connections.
	waiting, idle list.List
}

// Config configures a Listener. All fields but Network and Address may be zero.
type Config struct {
	Network string
	Address string
	// Options are those of the socket. Its Control is replaced.
	Options net.ListenConfig
	// Heads bounds the request heads until SetHeadLimits replaces it.
	Heads HeadLimits
	// Budget is shared by the listeners of a process. Nil is a budget without a bound.
	Budget *HeadBudget
	// MaxConns bounds the open connections, zero for no bound. Beyond it, the connection
	// that has waited longest for its first complete head is closed, or else the longest
	// idle one, or else the new one.
	MaxConns int
	// HTTP2 is set if the server accepts HTTP/2 without TLS. Such a connection is passed
	// through after its preface.
	HTTP2 bool
	// TLS is set if the server reads TLS, whose connections are passed through.
	TLS bool
}

// HeadLimits bounds the head of a request. A field that is zero or less has the default.
type HeadLimits struct {
	// MaxBytes is the largest size of a head, in bytes.
	MaxBytes int
	// Timeout is the longest time from the first byte of a head until it is complete.
	Timeout time.Duration
}

// MaxHeadBytes is the largest size of a head that limits may allow, in bytes. It is the
// MaxHeaderBytes of servers, which is a second bound on what they read.
const MaxHeadBytes = 1 << 20

// The limits of heads where none are set.
const (
	DefaultMaxHeadBytes = 64 << 10
	DefaultHeadTimeout  = 10 * time.Second
)

// withDefaults returns the limits with the defaults of fields that are not set.
func (l HeadLimits) withDefaults() *HeadLimits {
	if l.MaxBytes <= 0 {
		l.MaxBytes = DefaultMaxHeadBytes
	}
	l.MaxBytes = min(l.MaxBytes, MaxHeadBytes)
	if l.Timeout <= 0 {
		l.Timeout = DefaultHeadTimeout
	}
	return &l
}

// SetHeadLimits replaces the limits of heads. The timeout applies to heads that begin later.
func (p *Listener) SetHeadLimits(l HeadLimits) { p.limits.Store(l.withDefaults()) }

// headLimits returns the limits of heads in force.
func (p *Listener) headLimits() HeadLimits { return *p.limits.Load() }

const (
	// queueEmptyAfter is how long no connection must arrive for the accept queue to
	// count as empty, and maxQueueDrain how long it is drained at most.
	queueEmptyAfter = 20 * time.Millisecond
	maxQueueDrain   = 500 * time.Millisecond
)

// Listen opens a listener. It fails if the network is not a TCP network. It disables
// Multipath TCP, because only plain TCP sockets accept the socket filter of DrainAndClose.
func Listen(cfg Config) (*Listener, error) {
	cfg.Options.SetMultipathTCP(false)
	cfg.Options.Control = setBuffers
	l, err := cfg.Options.Listen(context.Background(), cfg.Network, cfg.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", cfg.Address)
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close()
		return nil, errors.Errorf("listen for callers on %s: network %q is not TCP", cfg.Address, cfg.Network)
	}
	p := &Listener{TCPListener: t, budget: cfg.Budget, maxConns: cfg.MaxConns, http2: cfg.HTTP2}
	if p.budget == nil {
		p.budget = NewHeadBudget(0)
	}
	if cfg.TLS {
		p.initialPhase = unframed
	}
	p.SetHeadLimits(cfg.Heads)
	return p, nil
}

// The kernel's buffers of a connection, in bytes, which it doubles for its own structures.
// Without these values they grow to several MB each for a caller that sends while its request
// is served, or does not read its answer.
const (
	receiveBuffer = 32 << 10
	sendBuffer    = 64 << 10
)

// setBuffers sets the sizes of the kernel's buffers of a socket and of the connections that
// it accepts.
func setBuffers(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		if sockErr == nil {
			sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
		}
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Accept implements net.Listener. While the listener is closing, it returns the pending
// connections, and then net.ErrClosed.
func (p *Listener) Accept() (net.Conn, error) {
	for {
		if p.closing.Load() {
			_ = p.SetDeadline(time.Now().Add(queueEmptyAfter))
		}
		t, err := p.AcceptTCP()
		if err != nil && p.closing.Load() {
			return nil, net.ErrClosed
		}
		if err != nil {
			return nil, err
		}
		p.backlog.accepted(clocker.Coarse(), p.hasPending)
		if c := (&Conn{TCPConn: t, listener: p, phase: p.initialPhase}); p.add(c) {
			return c, nil
		}
		_ = t.Close()
	}
}

// add counts a new connection. Beyond the bound it closes one that waits, or reports false
// if there is none that may be closed.
func (p *Listener) add(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxConns > 0 && p.open >= p.maxConns {
		p.budget.count(TooManyConnections)
		victim := p.longestWaiting()
		if victim == nil {
			return false
		}
		p.forget(victim)
		victim.closeNow()
	}
	p.open++
	c.counted = true
	p.wait(c)
	return true
}

// maxVictimsTried bounds how many idle connections are looked at for one that may be closed.
const maxVictimsTried = 16

// longestWaiting returns the connection that has waited longest for its first complete
// head, or else the longest idle one, nil if there is none. It spares idle connections on
// which a request is arriving, and looks at maxVictimsTried. The caller must hold mu.
func (p *Listener) longestWaiting() *Conn {
	if e := p.waiting.Front(); e != nil {
		return e.Value.(*Conn)
	}
	e := p.idle.Front()
	for range min(maxVictimsTried, p.idle.Len()) {
		if c := e.Value.(*Conn); peekInput(c) == noInput {
			return c
		}
		e = e.Next()
	}
	return nil
}

// wait adds a connection to those that wait for a complete head. The requests of a TLS
// connection are not seen, so that it is never closed to make room. The caller must hold mu.
func (p *Listener) wait(c *Conn) {
	if p.maxConns > 0 && c.counted && c.waitingEntry == nil && p.initialPhase != unframed {
		c.waitingEntry = p.listOf(c).PushBack(c)
	}
}

// listOf returns the list of connections to which c belongs while it waits. The caller must
// hold mu.
func (p *Listener) listOf(c *Conn) *list.List {
	if c.kept {
		return &p.idle
	}
	return &p.waiting
}

// beginWaiting records that a connection waits for its next request.
func (p *Listener) beginWaiting(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wait(c)
}

// endWaiting records that a connection has a complete head. It reports false if the
// connection was closed before that.
func (p *Listener) endWaiting(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopWaiting(c)
	c.kept = true
	return c.counted
}

// stopWaiting removes a connection from those that wait. The caller must hold mu.
func (p *Listener) stopWaiting(c *Conn) {
	if c.waitingEntry != nil {
		p.listOf(c).Remove(c.waitingEntry)
		c.waitingEntry = nil
	}
}

// remove records that a connection is closed.
func (p *Listener) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(c)
}

// forget stops counting a connection. The caller must hold mu.
func (p *Listener) forget(c *Conn) {
	p.stopWaiting(c)
	if c.counted {
		c.counted = false
		p.open--
	}
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
