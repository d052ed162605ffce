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
	// minStallTimeout is the least time without an event after which a stream counts as
	// stalled.
	minStallTimeout = time.Second
	// stallLatencyFactor and stallPauses are how many times its aim and its longest pause on
	// time a stream may be without an event.
	stallLatencyFactor   = 2
	stallGapFactor = 4
)

// stallTimeout returns how long a stream of the route may be without an event before
// it goes on elsewhere, while its caller still waits.
func (r *Route) stallTimeout() time.Duration {
	return max(minStallTimeout, stallLatencyFactor*r.LatencyObjective, stallGapFactor*r.GapObjective)
}

// stallWatch watches whether a stream that may go on at another target has stalled: a
// target that sends a byte, a comment or an empty event now and then makes no
// progress.
type stallWatch struct {
	// mu guards ended, after which nothing is done any more.
	mu    sync.Mutex
	stopped bool
	timer *time.Timer
	timeout time.Duration
	// lastEventAt is when the lastEventAt event came that carries something, as an Instant.
	lastEventAt atomic.Int64
	// stalled tells that the exchange was ended for another target to go on.
	stalled atomic.Bool
}

// watchStall begins to watch the stream of an answer. A slow stream is left alone
// where no other target can go on with it.
func (f *Forwarder) watchStall(c *call, a *exchanger.Answer) *stallWatch {
	watch := &stallWatch{timeout: c.route.stallTimeout()}
	if !c.route.Resumable || c.runs >= c.route.MaxRuns {
		return watch
	}
	req := f.targetRequirements(c, 1)
	pool := c.pool
	watch.timer = time.AfterFunc(watch.timeout, func() {
		reporter.Guard(f.log, "look at a stream", func() { f.checkStall(watch, pool, req, a) })
	})
	return watch
}

// checkStall ends the exchange of a stream that has stalled, if another target has
// room and the retry budget allows it.
func (f *Forwarder) checkStall(watch *stallWatch, pool identifier.Pool, req admitter.Ask, a *exchanger.Answer) {
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

// hasCapacity tells whether a target would take a request.
func (f *Forwarder) hasCapacity(now identifier.Instant, req admitter.Ask) bool {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.admitter.Choose(now, req).Refused == ""
}

// recordEvent notes that an event has come.
func (s *stallWatch) recordEvent() { s.lastEventAt.Store(int64(clocker.Coarse())) }

// stop ends the watch, also if it is just looking.
func (s *stallWatch) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}
