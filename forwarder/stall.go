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
	// minStallTimeout is the shortest time without an event after which a stream counts
	// as stalled.
	minStallTimeout = time.Second
	// A stream counts as stalled after stallLatencyFactor times its latency objective,
	// or stallGapFactor times its gap objective, without an event, whichever is longer.
	stallLatencyFactor = 2
	stallGapFactor     = 4
)

// stallTimeout returns how long a stream of the route may be without an event before it
// is resumed on another target while its caller still waits.
func (r *Route) stallTimeout() time.Duration {
	return max(minStallTimeout, stallLatencyFactor*r.LatencyObjective, stallGapFactor*r.GapObjective)
}

// stallWatch detects that a stream that may be resumed on another target has stalled.
// Only events with content count as progress: a target that sends a byte, a comment or
// an empty event now and then makes none.
type stallWatch struct {
	// mu guards stopped. Once stopped is set, the watch does nothing.
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
	timeout time.Duration
	// lastEventAt is when the last event with content came, as an Instant, zero if none
	// did.
	lastEventAt atomic.Int64
	// stalled is set when the exchange was aborted so that another target can resume
	// the stream.
	stalled atomic.Bool
}

// watchStall starts to watch the stream of an answer. A stream that no other target can
// resume is not watched, however slow it is.
func (f *Forwarder) watchStall(c *call, t *selectedTarget, a *exchanger.Answer) *stallWatch {
	watch := &stallWatch{timeout: c.route.stallTimeout()}
	if !c.route.Resumable || c.runs >= c.route.MaxRuns {
		return watch
	}
	req := f.targetRequirements(c, 1)
	if target, listed := t.sent.Target(); listed {
		req.Pinned, req.Software = true, target.Software
	}
	pool := c.pool
	watch.timer = time.AfterFunc(watch.timeout, func() {
		reporter.Guard(f.log, "look at a stream", func() { f.checkStall(watch, pool, req, a) })
	})
	return watch
}

// checkStall aborts the exchange of a stream that has stalled, if another target has
// capacity for it and the retry budget allows a retry. Otherwise it sets the timer for
// the next check.
func (f *Forwarder) checkStall(watch *stallWatch, pool identifier.Pool, req admitter.Request, a *exchanger.Answer) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	now := clocker.Coarse()
	lastEventAt := identifier.Instant(watch.lastEventAt.Load())
	switch {
	case watch.stopped:
	case lastEventAt == 0:
		// Before its first event a request waits in its target's queue.
		watch.timer.Reset(watch.timeout)
	case now.Sub(lastEventAt) < watch.timeout:
		watch.timer.Reset(watch.timeout - now.Sub(lastEventAt))
	case !f.hasCapacity(now, req) || !f.takeRetry(now, pool):
		watch.timer.Reset(watch.timeout)
	default:
		watch.stalled.Store(true)
		a.Abort()
	}
}

// hasCapacity reports whether a target would be given the request now.
func (f *Forwarder) hasCapacity(now identifier.Instant, req admitter.Request) bool {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.admitter.Choose(now, req).Refused == ""
}

// recordEvent records that an event with content has come.
func (s *stallWatch) recordEvent() { s.lastEventAt.Store(int64(clocker.Coarse())) }

// stop ends the watch. It waits for a check that is in progress.
func (s *stallWatch) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}
