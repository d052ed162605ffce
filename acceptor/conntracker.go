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

// ConnTracker tracks the open connections of callers and since when they are idle. It is
// safe for concurrent use.
type ConnTracker struct {
	// maxConns is the highest number of connections there should be, or zero for no
	// bound.
	maxConns int
	mu       sync.Mutex
	// idleSince holds since when a connection is idle or new, or zero while it is in
	// use.
	idleSince map[net.Conn]identifier.Instant
	// newConns holds the connections on which nothing has been received yet.
	newConns map[net.Conn]bool
	// unread holds the connections that are not read any more, so that the server closes
	// them.
	unread map[net.Conn]bool
}

// newConnGrace is how long a new connection may be without a request before it counts as
// idle: its caller has just opened it to send one.
const newConnGrace = 250 * time.Millisecond

// NewConnTracker returns a tracker that aims at no more than maxConns connections, or
// has no bound if maxConns is zero. It does not refuse connections; see NearLimit and
// CloseIdle.
func NewConnTracker(maxConns int) *ConnTracker {
	return &ConnTracker{maxConns: maxConns, idleSince: map[net.Conn]identifier.Instant{}, newConns: map[net.Conn]bool{}, unread: map[net.Conn]bool{}}
}

// SetState records the state of a connection. It is used as the ConnState hook of an
// http.Server. A connection on which a request was read is read again until the request has
// its answer, even if CloseIdle has begun to close it.
func (s *ConnTracker) SetState(c net.Conn, state http.ConnState) {
	SetState(c, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.newConns[c] = true
	} else {
		delete(s.newConns, c)
	}
	defer delete(s.unread, c)
	switch state {
	case http.StateActive:
		s.idleSince[c] = 0
		if s.unread[c] {
			_ = c.SetReadDeadline(time.Time{})
		}
	case http.StateNew, http.StateIdle:
		s.idleSince[c] = clocker.Coarse()
	case http.StateClosed, http.StateHijacked:
		delete(s.idleSince, c)
	}
}

// Thresholds in percent of maxConns. Above nearLimitPercent, callers are asked to close
// their connections; above closeIdlePercent, idle connections are closed.
const (
	nearLimitPercent = 50
	closeIdlePercent = 75
)

// Count returns the number of open connections.
func (s *ConnTracker) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.idleSince)
}

// NearLimit reports whether callers should be asked to close their connections.
func (s *ConnTracker) NearLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.excess(nearLimitPercent) > 0
}

// excess returns by how many the connections exceed a percentage of maxConns. The caller
// must hold s.mu.
func (s *ConnTracker) excess(percent int) int {
	if s.maxConns <= 0 {
		return 0
	}
	return max(0, len(s.idleSince)-s.maxConns*percent/100)
}

// CloseIdle closes connections that have been idle for longer than idleTimeout and,
// while there are too many, those that have been idle for longest. It spares those that
// have received anything that was not read.
func (s *ConnTracker) CloseIdle(now identifier.Instant, idleTimeout time.Duration) {
	for _, c := range s.idleToClose(now, idleTimeout) {
		s.stopReading(c)
	}
}

// stopReading makes the server close a connection by expiring its read deadline, unless
// something has arrived on it meanwhile. If the server has already read a request that it
// has not reported by ConnState yet, it can still answer it. It takes an expired deadline
// for the end of the connection once it serves a request, so that both happen in turn.
func (s *ConnTracker) stopReading(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idleSince[c] == 0 || peekInput(c) != noInput {
		return
	}
	s.unread[c] = true
	_ = c.SetReadDeadline(pastDeadline)
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// idleToClose returns the connections that CloseIdle should close: those idle for longer
// than idleTimeout, then the longest idle ones down to closeIdlePercent of maxConns.
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

// drainPollInterval is how often Drain closes idle connections and checks whether any
// are left.
const drainPollInterval = 20 * time.Millisecond

// Drain closes connections as they become idle, until there are none or ctx ends. A
// connection on which a request has arrived that was not read yet is still served. The
// error of an ended ctx states how many connections are left.
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
