package exchanger

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// Config configures a Pool.
type Config struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// AckTimeout is how long sent data may stay unacknowledged before the kernel drops
	// the connection (TCP_USER_TIMEOUT).
	AckTimeout time.Duration
	// MaxIdle bounds the number of idle connections to one address.
	MaxIdle int
	// MaxConns bounds the open connections to all addresses, zero for no bound.
	MaxConns int
	// Identify returns the id of the request that an answer belongs to, or an empty
	// string if the answer carries none. It is nil if answers never carry one.
	Identify func(http.Header) string
}

const (
	// defaultIdleTimeout is how long a connection is kept idle if the target does not
	// state its own timeout in a Keep-Alive header.
	defaultIdleTimeout = 3 * time.Second
	// keepAliveInterval is the idle time before the first TCP keep-alive probe and the
	// time between two probes.
	keepAliveInterval = time.Second
	// keepAliveProbes is how many keep-alive probes may stay unanswered before the
	// connection is dropped.
	keepAliveProbes = 2
	// idleMargin is how much earlier than the target the pool closes an idle connection.
	idleMargin = 500 * time.Millisecond
)

// Pool holds reusable connections to targets. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer
	mu     sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle map[string][]*conn
	// opened counts the connections opened since the pool was created, and open those that
	// are open or being opened.
	opened uint64
	open   int
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	p := &Pool{cfg: cfg, idle: map[string][]*conn{}}
	p.dialer = net.Dialer{
		Timeout:         cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setAckTimeout(raw, cfg.AckTimeout)
		},
	}
	return p
}

// setAckTimeout makes the kernel drop a connection whose peer has not acknowledged sent
// data for the given timeout.
func setAckTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Opened returns the number of connections opened since the pool was created.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// acquire returns a usable idle connection to the address of c, or opens a new one. Idle
// connections that are closed or have received bytes are closed and discarded.
func (p *Pool) acquire(ctx context.Context, c Call) (*conn, error) {
	for {
		k := p.popIdle(c)
		if k == nil {
			return p.dial(ctx, c.Address)
		}
		if k.usable() {
			k.reused = true
			return k, nil
		}
		k.close()
	}
}

// popIdle removes and returns the most recently used idle connection to the address of
// c, or nil if there is none or it has been idle for too long. A request that is not
// repeatable may use only half of the idle timeout, so that it does not use a connection
// that the target may be about to close.
func (p *Pool) popIdle(c Call) *conn {
	now := clocker.Coarse()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.Address]
	n := len(list)
	if n == 0 {
		return nil
	}
	k := list[n-1]
	idleTimeout := k.idleTimeout
	if !c.Repeatable {
		idleTimeout /= 2
	}
	if now.Sub(k.idleSince) > idleTimeout {
		return nil
	}
	list[n-1] = nil
	p.idle[c.Address] = list[:n-1]
	return k
}

// ErrRefused means that an address refuses connections, as that of a process that has
// ended does.
var ErrRefused = errors.New("connection refused")

// Probe finds out whether an address accepts connections: it returns nil if an idle
// connection is usable or one can be opened, ErrRefused if the address refuses it, and
// another error if neither is known. An opened connection is kept for the next exchange.
func (p *Pool) Probe(ctx context.Context, address string) error {
	for {
		k := p.popIdle(Call{Address: address, Repeatable: true})
		if k == nil {
			break
		}
		if k.usable() {
			p.addIdle(address, k)
			return nil
		}
		k.close()
	}
	k, err := p.dial(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrRefused
	}
	if err != nil {
		return err
	}
	p.putIdle(address, k)
	return nil
}

// dial opens a connection. It returns ErrTooManyConnections if MaxConns are in use.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	if !p.reserve() {
		return nil, ErrTooManyConnections
	}
	nc, err := p.dialer.DialContext(ctx, "tcp4", address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.open--
		return nil, err
	}
	p.opened++
	k := newConn(nc)
	k.pool = p
	return k, nil
}

// ErrTooManyConnections means that a pool has as many connections in use as it may have. It
// is no evidence about a target.
var ErrTooManyConnections = errors.New("too many connections to targets")

// reserve counts a connection that is about to be opened. If there are MaxConns, it closes
// an idle one for it, or reports false if none is idle.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cfg.MaxConns > 0 && p.open >= p.cfg.MaxConns && !p.closeAnyIdle() {
		return false
	}
	p.open++
	return true
}

// closeAnyIdle closes the longest idle connection to some address, and reports false if
// there is none. The caller must hold mu.
func (p *Pool) closeAnyIdle() bool {
	for address, list := range p.idle {
		if len(list) == 0 {
			continue
		}
		p.idle[address] = list[1:]
		p.forget(list[0])
		go list[0].close()
		return true
	}
	return false
}

// forget stops counting a connection. The caller must hold mu.
func (p *Pool) forget(k *conn) {
	if !k.forgotten {
		k.forgotten = true
		p.open--
	}
}

// closed records that a connection was closed.
func (p *Pool) closed(k *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(k)
}

// putIdle returns a connection to the pool that is idle from now on.
func (p *Pool) putIdle(address string, k *conn) {
	k.idleSince = clocker.Coarse()
	p.addIdle(address, k)
}

// addIdle adds an idle connection and closes it if there are MaxIdle already.
func (p *Pool) addIdle(address string, k *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= p.cfg.MaxIdle {
		go k.close()
		return
	}
	p.idle[address] = append(p.idle[address], k)
}

// CloseExpired closes the connections that have been idle for longer than their idle
// timeout.
func (p *Pool) CloseExpired(now identifier.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, k := range list {
			if now.Sub(k.idleSince) > k.idleTimeout {
				go k.close()
				continue
			}
			kept = append(kept, k)
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// CloseIdle closes the idle connections to an address, for example when its target has
// left.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.idle[address] {
		go k.close()
	}
	delete(p.idle, address)
}
