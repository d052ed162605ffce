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
	// most is how many there should be at the most, zero for no bound.
	most int
	mu   sync.Mutex
	// idle holds since when a connection is idle or new, zero while it is in use.
	idle map[net.Conn]identifier.Instant
	// fresh are those on which nothing has come yet.
	fresh map[net.Conn]bool
}

// freshLife is how long a new connection may be without a request before it counts
// as idle: its caller has just opened it to send one.
const freshLife = 250 * time.Millisecond

// NewConnTracker returns a list of at most so many connections, zero for no bound.
func NewConnTracker(most int) *ConnTracker {
	return &ConnTracker{most: most, idle: map[net.Conn]identifier.Instant{}, fresh: map[net.Conn]bool{}}
}

// SetState follows the state of a connection. It is a server's ConnState.
func (s *ConnTracker) SetState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.fresh[c] = true
	} else {
		delete(s.fresh, c)
	}
	switch state {
	case http.StateActive:
		s.idle[c] = 0
	case http.StateNew, http.StateIdle:
		s.idle[c] = clocker.Coarse()
	case http.StateClosed, http.StateHijacked:
		delete(s.idle, c)
	}
}

// Parts of the bound on connections, in percent, from which on callers are asked
// to close theirs, and idle ones are closed.
const (
	askToClose = 50
	closeIdle  = 75
)

// Count returns how many connections there are.
func (s *ConnTracker) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.idle)
}

// NearLimit tells whether callers should close their connections.
func (s *ConnTracker) NearLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over(askToClose) > 0
}

// over returns by how many the connections exceed a part of the bound.
func (s *ConnTracker) over(percent int) int {
	if s.most <= 0 {
		return 0
	}
	return max(0, len(s.idle)-s.most*percent/100)
}

// CloseIdle ends connections that were idle for too long, and those idle for longest
// while there are too many.
func (s *ConnTracker) CloseIdle(now identifier.Instant, limit time.Duration) {
	for _, c := range s.surplus(now, limit) {
		if waiting(c) == nothing {
			hangUp(c)
		}
	}
}

// hangUp lets the server close a connection, unless it has read a request that it
// has not told of yet: reading on is what it may no more.
func hangUp(c net.Conn) { _ = c.SetReadDeadline(longAgo) }

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

func (s *ConnTracker) surplus(now identifier.Instant, limit time.Duration) []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found, idle []net.Conn
	for c, since := range s.idle {
		switch {
		case since == 0 || s.fresh[c] && now.Sub(since) < freshLife:
		case now.Sub(since) > limit:
			found = append(found, c)
		default:
			idle = append(idle, c)
		}
	}
	n := min(s.over(closeIdle)-len(found), len(idle))
	if n <= 0 {
		return found
	}
	sort.Slice(idle, func(i, j int) bool { return s.idle[idle[i]] < s.idle[idle[j]] })
	return append(found, idle[:n]...)
}

// leavePoll is how often a process that ends looks whether callers are gone.
const leavePoll = 20 * time.Millisecond

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
		case <-time.After(leavePoll):
		}
	}
}
