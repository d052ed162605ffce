package forwarder

import (
	"math/rand/v2"
	runtimemetrics "runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
	"buckthorndrum/reporter"
)

const (
	// strainTick is how often the process looks how late it is.
	strainTick = 50 * time.Millisecond
	// strainLate is how long ready work may wait for the processor in a process
	// that has time for all it is given.
	strainLate = 20 * time.Millisecond
	// lateQuantile is the part of the ready work that waited no longer.
	lateQuantile = 0.8
	// lateWeight is the weight of one look.
	lateWeight = 0.4
	// strainRise and strainFall change the share of requests that is refused, at
	// each look.
	strainRise = 0.08
	strainFall = 0.03
	// strainMost is the most that is refused: nearly all, as what is taken in late
	// is not given up in time either. servedLeast is what is served all the same, of
	// those that ask for least.
	strainMost  = 1
	servedLeast = 0.02
	// spareBelow is the share below which only requests beyond their workspace's
	// share are refused.
	spareBelow = 0.6
	// strainedFrom is the share from which the router counts as strained, until
	// nothing is refused any more.
	strainedFrom = 0.3
	// leadFactor bounds how much faster the share rises when the process is late
	// by more than strainLate.
	leadFactor = 4
	// turnedAway is how long after a router has said that it is not ready its
	// callers' new connections go elsewhere.
	turnedAway = 2500 * time.Millisecond
	// comeBackSpread is over how long refused callers are spread, so that they do
	// not come back all at once.
	comeBackSpread = 500 * time.Millisecond
)

// strain tells whether the process gets less processor time than its work needs,
// from how long ready goroutines wait, and which part of the requests it has to
// leave to other routers.
type strain struct {
	// looked is when it was last looked, as an Instant.
	looked atomic.Int64
	// mu guards late and seen.
	mu   sync.Mutex
	late time.Duration
	// seen is the runtime's histogram at the last look.
	seen []uint64
	// share is the part of requests to refuse, in thousandths.
	share atomic.Int64
	// turns shares what is served among workspaces.
	turns turns
	// since is since when the process is strained, as an Instant, zero if it is not.
	since atomic.Int64
}

// look takes in how long ready work waited. The caller holds mu, or is alone.
func (s *strain) look(now identifier.Instant, late time.Duration) {
	s.late += time.Duration(lateWeight * float64(late-s.late))
	share := float64(s.share.Load()) / 1000
	if s.late > strainLate {
		lead := min(leadFactor, float64(s.late)/float64(strainLate))
		share = min(strainMost, share+strainRise*lead)
	} else {
		share = max(0, share-strainFall)
	}
	s.share.Store(int64(share * 1000))
	s.turns.work(max(servedLeast, 1-within(share)))
	switch {
	case share >= strainedFrom && s.since.Load() == 0:
		s.since.Store(int64(now))
	case s.share.Load() == 0:
		s.since.Store(0)
	}
}

// within returns the part of the requests of workspaces within their share that is
// refused.
func within(share float64) float64 { return max(0, share-spareBelow) / (1 - spareBelow) }

// refuses decides whether a request of workspace w, which has this standing, is
// refused.
func (s *strain) refuses(w identifier.Workspace, standing float64) bool {
	share := float64(s.share.Load()) / 1000
	if share == 0 {
		return false
	}
	served := s.turns.note(w)
	if standing < 1 && rand.Float64() < share {
		return true
	}
	return rand.Float64() >= served
}

// high tells whether the process is strained.
func (s *strain) high() bool { return s.since.Load() != 0 }

// sendsAway tells whether callers that connect anew reach other routers, so that
// they are asked to. Before that they would only come back at a higher price.
func (s *strain) sendsAway(now identifier.Instant) bool {
	since := identifier.Instant(s.since.Load())
	return since != 0 && now.Sub(since) > turnedAway
}

// comeBack returns when a caller that is refused for want of processor time may
// come back: once its new connections reach other routers.
func (s *strain) comeBack(now identifier.Instant) time.Duration {
	left := time.Duration(0)
	if since := identifier.Instant(s.since.Load()); since != 0 {
		left = max(0, turnedAway-now.Sub(since))
	}
	return left + minRetryAfter + time.Duration(rand.Float64()*float64(comeBackSpread))
}

// watchStrain looks how late the process is until the forwarder stops.
func (f *Forwarder) watchStrain() {
	ticks := time.NewTicker(strainTick)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			reporter.Guard(f.log, "look at the processor", func() { f.lookIfDue(clocker.Coarse()) })
		case <-f.ctx.Done():
			return
		}
	}
}

// lookIfDue looks how late the process is, unless that was done just now. Each
// request does so too: where much work is ready, a ticker's turn comes late.
func (f *Forwarder) lookIfDue(now identifier.Instant) {
	s := &f.strain
	if now.Sub(identifier.Instant(s.looked.Load())) < strainTick || !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	s.looked.Store(int64(now))
	was := s.high()
	s.look(now, s.waited())
	if is := s.high(); is != was {
		f.log.Warn("processor time is short", zap.Bool("strained", is), zap.Duration("late", s.late))
	}
}

// latencies is the runtime's measure of how long goroutines were ready before
// they ran.
const latencies = "/sched/latencies:seconds"

// waited returns how long ready goroutines waited since the last call.
func (s *strain) waited() time.Duration {
	sample := []runtimemetrics.Sample{{Name: latencies}}
	runtimemetrics.Read(sample)
	if sample[0].Value.Kind() != runtimemetrics.KindFloat64Histogram {
		return 0
	}
	h := sample[0].Value.Float64Histogram()
	late := quantile(h.Counts, s.seen, h.Buckets)
	s.seen = append(s.seen[:0], h.Counts...)
	return late
}

// quantile returns below what the late quantile of the counts added to before
// lies. The bounds are in seconds.
func quantile(counts, before []uint64, bounds []float64) time.Duration {
	var total uint64
	added := make([]uint64, len(counts))
	for i, n := range counts {
		added[i] = n
		if i < len(before) {
			added[i] -= before[i]
		}
		total += added[i]
	}
	left := uint64(lateQuantile * float64(total))
	for i, n := range added {
		if n > left {
			return time.Duration(max(0, bounds[i]) * float64(time.Second))
		}
		left -= n
	}
	return 0
}

// leavesToOthers decides whether a request is left to other routers, as this one
// is short of processor time: it refuses a part of all, and those that lay unread for
// long. One that may be is noted as asked for, so that its workspace counts as needy.
func (f *Forwarder) leavesToOthers(c *call) bool {
	f.lookIfDue(c.arrived)
	s := f.state.snapshot.Load()
	unread := c.unread()
	if s == nil || f.strain.share.Load() == 0 && !unread {
		return unread
	}
	w, ok := s.WorkspaceOf(c.info.Key)
	if !ok {
		return unread || f.strain.refuses(w, 1)
	}
	c.workspace = w
	f.recordDemand(c.arrived, c)
	if !unread && !f.strain.refuses(w, f.standing(c.arrived, w)) {
		return false
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.sharer.Left(c.arrived, w, c.tokenCost())
	return true
}

// standing returns the standing of a workspace.
func (f *Forwarder) standing(now identifier.Instant, w identifier.Workspace) float64 {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.sharer.Standing(now, w)
}
