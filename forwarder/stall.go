package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/exchanger"
	"buckthorndrum/identifier"
	"buckthorndrum/reporter"
)

const (
	// stallLeast is the least time without an event after which a stream counts as
	// stalled.
	stallLeast = time.Second
	// stallAims and stallPauses are how many times its aim and its longest pause on
	// time a stream may be without an event.
	stallAims   = 2
	stallPauses = 4
)

// stallAfter returns how long a stream of the route may be without an event before
// it goes on elsewhere, while its caller still waits.
func (r *Route) stallAfter() time.Duration {
	return max(stallLeast, stallAims*r.LatencyObjective, stallPauses*r.GapObjective)
}

// stall watches whether a stream that may go on at another target has stalled: a
// target that sends a byte, a comment or an empty event now and then makes no
// progress.
type stall struct {
	// mu guards ended, after which nothing is done any more.
	mu    sync.Mutex
	ended bool
	timer *time.Timer
	after time.Duration
	// last is when the last event came that carries something, as an Instant.
	last atomic.Int64
	// stalled tells that the exchange was ended for another target to go on.
	stalled atomic.Bool
}

// watchStall begins to watch the stream of an answer. A slow stream is left alone
// where no other target can go on with it.
func (f *Forwarder) watchStall(c *call, a *exchanger.Answer) *stall {
	s := &stall{after: c.route.stallAfter()}
	if !c.route.Resumable || c.runs >= c.route.MaxRuns {
		return s
	}
	q := f.targetRequirements(c, 1)
	p := c.pool
	s.timer = time.AfterFunc(s.after, func() {
		reporter.Guard(f.log, "look at a stream", func() { f.lookAtStall(s, p, q, a) })
	})
	return s
}

// lookAtStall ends the exchange of a stream that has stalled, if another target has
// room and the retry budget allows it.
func (f *Forwarder) lookAtStall(s *stall, p identifier.Pool, q admitter.Ask, a *exchanger.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clocker.Coarse()
	last := identifier.Instant(s.last.Load())
	switch {
	case s.ended:
	case last == 0:
		// Before its first event a request waits in its target's queue.
		s.timer.Reset(s.after)
	case now.Sub(last) < s.after:
		s.timer.Reset(s.after - now.Sub(last))
	case !f.hasRoom(now, q) || !f.takeRetry(now, p):
		s.timer.Reset(s.after)
	default:
		s.stalled.Store(true)
		a.Abort()
	}
}

// hasRoom tells whether a target would take a request.
func (f *Forwarder) hasRoom(now identifier.Instant, q admitter.Ask) bool {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.admitter.Choose(now, q).Refused == ""
}

// progress notes that an event has come.
func (s *stall) progress() { s.last.Store(int64(clocker.Coarse())) }

// stop ends the watch, also if it is just looking.
func (s *stall) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.timer != nil {
		s.timer.Stop()
	}
}
