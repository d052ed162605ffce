package acceptor

import (
	"context"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// ConnTracker are the open connections of callers.
type ConnTracker struct {
	// maxConns is how many there should be at the maxConns, zero for no bound.
	maxConns int
	mu   sync.Mutex
	// idleSince holds since when a connection is idleSince or new, zero while it is in use.
	idleSince map[net.Conn]identifier.Instant
	// newConns are those on which nothing has come yet.
	newConns map[net.Conn]bool
}

// newConnGrace is how long a new connection may be without a request before it counts
// as idle: its caller has just opened it to send one.
const newConnGrace = 250 * time.Millisecond

// NewConnTracker returns a list of at most so many connections, zero for no bound.
func NewConnTracker(maxConns int) *ConnTracker {
	return &ConnTracker{maxConns: maxConns, idleSince: map[net.Conn]identifier.Instant{}, newConns: map[net.Conn]bool{}}
}

// SetState follows the state of a connection. It is a server's ConnState.
func (s *ConnTracker) SetState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.newConns[c] = true
	} else {
		delete(s.newConns, c)
	}
	switch state {
	case http.StateActive:
		s.idleSince[c] = 0
	case http.StateNew, http.StateIdle:
		s.idleSince[c] = clocker.Coarse()
	case http.StateClosed, http.StateHijacked:
		delete(s.idleSince, c)
	}
}

// Parts of the bound on connections, in percent, from which on callers are asked
// to close theirs, and idle ones are closed.
const (
	nearLimitPercent = 50
	closeIdlePercent  = 75
)

// Count returns how many connections there are.
func (s *ConnTracker) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.idleSince)
}

// NearLimit tells whether callers should close their connections.
func (s *ConnTracker) NearLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.excess(nearLimitPercent) > 0
}

// excess returns by how many the connections exceed a part of the bound.
func (s *ConnTracker) excess(percent int) int {
	if s.maxConns <= 0 {
		return 0
	}
	return max(0, len(s.idleSince)-s.maxConns*percent/100)
}

// CloseIdle ends connections that were idle for too long, and those idle for longest
// while there are too many.
func (s *ConnTracker) CloseIdle(now identifier.Instant, idleTimeout time.Duration) {
	for _, c := range s.idleToClose(now, idleTimeout) {
		if peekInput(c) == noInput {
			stopReading(c)
		}
	}
}

// stopReading lets the server close a connection, unless it has read a request that it
// has not told of yet: reading on is what it may no more.
func stopReading(c net.Conn) { _ = c.SetReadDeadline(pastDeadline) }

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

func (s *ConnTracker) idleToClose(now identifier.Instant, idleTimeout time.Duration) []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var closing, idle []net.Conn
	for c, since := range s.idleSince {
		switch {
		case since == 0 || s.newConns[c] && now.Sub(since) < newConnGrace:
		case now.Sub(since) > idleTimeout:
			closing = append(closing, c)
		default:
			idle = append(idle, c)
		}
	}
	n := min(s.excess(closeIdlePercent)-len(closing), len(idle))
	if n <= 0 {
		return closing
	}
	sort.Slice(idle, func(i, j int) bool { return s.idleSince[idle[i]] < s.idleSince[idle[j]] })
	return append(closing, idle[:n]...)
}

// drainPollInterval is how often a process that ends looks whether callers are gone.
const drainPollInterval = 20 * time.Millisecond

// Drain closes connections as they become idle, until there are none or ctx ends.
// One on which a request has come that was not read yet is still served.
func (s *ConnTracker) Drain(ctx context.Context) error {
	for {
		s.CloseIdle(clocker.Now(), 0)
		n := s.Count()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d connections are left", n)
		case <-time.After(drainPollInterval):
		}
	}
}
