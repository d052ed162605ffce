package exchanger

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// Config sets up a pool.
type Config struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// AckTimeout is when a connection whose peer acknowledges nothing is lost.
	AckTimeout time.Duration
	// MaxIdle bounds the idle connections to one address.
	MaxIdle int
	// Identify returns the id of the request that an answer belongs to, empty if
	// the answer does not tell. Nil if answers never do.
	Identify func(http.Header) string
}

const (
	// defaultIdleTimeout is how long a connection is kept idle whose peer does not say
	// how long it keeps it.
	defaultIdleTimeout = 3 * time.Second
	// keepAliveInterval is the time between two probes of a silent connection.
	keepAliveInterval = time.Second
	// keepAliveProbes is how many keepAliveProbes may stay unanswered.
	keepAliveProbes = 2
	// idleMargin is how much earlier than its peer the pool closes a connection.
	idleMargin = 500 * time.Millisecond
)

// Pool keeps connections to targets. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer
	mu     sync.Mutex
	// idle holds the idle connections by address, the latest used last.
	idle map[string][]*conn
	// opened counts the connections opened.
	opened uint64
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

// setAckTimeout lets the kernel drop a connection whose peer acknowledges
// nothing for that long.
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

// Opened returns how many connections were opened.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// acquire returns an idle connection to the address, or a new one.
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

// popIdle takes the idle connection that was used last, if it may still be used.
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

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(nc), nil
}

// putIdle keeps a connection whose answer was read to its end.
func (p *Pool) putIdle(address string, k *conn) {
	k.idleSince = clocker.Coarse()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= p.cfg.MaxIdle {
		go k.close()
		return
	}
	p.idle[address] = append(p.idle[address], k)
}

// CloseExpired closes the connections that have been idle for too long.
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

// CloseIdle closes the idle connections to an address, as when its target has left.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.idle[address] {
		go k.close()
	}
	delete(p.idle, address)
}
