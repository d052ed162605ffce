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
	// checkInterval is how often the process looks how late it is.
	checkInterval = 50 * time.Millisecond
	// maxSchedulingDelay is how long ready work may wait for the processor in a process
	// that has time for all it is given.
	maxSchedulingDelay = 20 * time.Millisecond
	// delayQuantile is the part of the ready work that waited no longer.
	delayQuantile = 0.8
	// delaySmoothing is the weight of one look.
	delaySmoothing = 0.4
	// shedIncrease and strainFall change the share of requests that is refused, at
	// each look.
	shedIncrease = 0.08
	shedDecrease = 0.03
	// maxShedRatio is the most that is refused: nearly all, as what is taken in late
	// is not given up in time either. servedLeast is what is served all the same, of
	// those that ask for least.
	maxShedRatio  = 1
	minServedRatio = 0.02
	// shedWithinShareFrom is the share below which only requests beyond their workspace's
	// share are refused.
	shedWithinShareFrom = 0.6
	// overloadedFrom is the share from which the router counts as strained, until
	// nothing is refused any more.
	overloadedFrom = 0.3
	// maxIncreaseFactor bounds how much faster the share rises when the process is late
	// by more than strainLate.
	maxIncreaseFactor = 4
	// redirectDelay is how long after a router has said that it is not ready its
	// callers' new connections go elsewhere.
	redirectDelay = 2500 * time.Millisecond
	// retryAfterSpread is over how long refused callers are spread, so that they do
	// not come back all at once.
	retryAfterSpread = 500 * time.Millisecond
)

// overload tells whether the process gets less processor time than its work needs,
// from how long ready goroutines wait, and which part of the requests it has to
// leave to other routers.
type overload struct {
	// checkedAt is when it was last checkedAt, as an Instant.
	checkedAt atomic.Int64
	// mu guards late and seen.
	mu   sync.Mutex
	delay time.Duration
	// lastCounts is the runtime's histogram at the last look.
	lastCounts []uint64
	// shedPermille is the part of requests to refuse, in thousandths.
	shedPermille atomic.Int64
	// admission shares what is served among workspaces.
	admission fairAdmission
	// overloadedSince is overloadedSince when the process is strained, as an Instant, zero if it is not.
	overloadedSince atomic.Int64
}

// update takes in how long ready work waited. The caller holds mu, or is alone.
func (o *overload) update(now identifier.Instant, delay time.Duration) {
	o.delay += time.Duration(delaySmoothing * float64(delay-o.delay))
	ratio := float64(o.shedPermille.Load()) / 1000
	if o.delay > maxSchedulingDelay {
		factor := min(maxIncreaseFactor, float64(o.delay)/float64(maxSchedulingDelay))
		ratio = min(maxShedRatio, ratio+shedIncrease*factor)
	} else {
		ratio = max(0, ratio-shedDecrease)
	}
	o.shedPermille.Store(int64(ratio * 1000))
	o.admission.update(max(minServedRatio, 1-shedWithinShare(ratio)))
	switch {
	case ratio >= overloadedFrom && o.overloadedSince.Load() == 0:
		o.overloadedSince.Store(int64(now))
	case o.shedPermille.Load() == 0:
		o.overloadedSince.Store(0)
	}
}

// shedWithinShare returns the part of the requests of workspaces shedWithinShare their share that is
// refused.
func shedWithinShare(ratio float64) float64 { return max(0, ratio-shedWithinShareFrom) / (1 - shedWithinShareFrom) }

// shouldShed decides whether a request of workspace w, which has this standing, is
// refused.
func (o *overload) shouldShed(w identifier.Workspace, shareRatio float64) bool {
	ratio := float64(o.shedPermille.Load()) / 1000
	if ratio == 0 {
		return false
	}
	servedRatio := o.admission.addRequest(w)
	if shareRatio < 1 && rand.Float64() < ratio {
		return true
	}
	return rand.Float64() >= servedRatio
}

// overloaded tells whether the process is strained.
func (o *overload) overloaded() bool { return o.overloadedSince.Load() != 0 }

// closesConnections tells whether callers that connect anew reach other routers, so that
// they are asked to. Before that they would only come back at a higher price.
func (o *overload) closesConnections(now identifier.Instant) bool {
	since := identifier.Instant(o.overloadedSince.Load())
	return since != 0 && now.Sub(since) > redirectDelay
}

// retryAfter returns when a caller that is refused for want of processor time may
// come back: once its new connections reach other routers.
func (o *overload) retryAfter(now identifier.Instant) time.Duration {
	wait := time.Duration(0)
	if since := identifier.Instant(o.overloadedSince.Load()); since != 0 {
		wait = max(0, redirectDelay-now.Sub(since))
	}
	return wait + minRetryAfter + time.Duration(rand.Float64()*float64(retryAfterSpread))
}

// watchOverload looks how late the process is until the forwarder stops.
func (f *Forwarder) watchOverload() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			reporter.Guard(f.log, "look at the processor", func() { f.updateOverload(clocker.Coarse()) })
		case <-f.ctx.Done():
			return
		}
	}
}

// updateOverload looks how late the process is, unless that was done just now. Each
// request does so too: where much work is ready, a ticker's turn comes late.
func (f *Forwarder) updateOverload(now identifier.Instant) {
	o := &f.overload
	if now.Sub(identifier.Instant(o.checkedAt.Load())) < checkInterval || !o.mu.TryLock() {
		return
	}
	defer o.mu.Unlock()
	o.checkedAt.Store(int64(now))
	before := o.overloaded()
	o.update(now, o.schedulingDelay())
	if after := o.overloaded(); after != before {
		f.log.Warn("processor time is short", zap.Bool("strained", after), zap.Duration("late", o.delay))
	}
}

// latencyMetric is the runtime's measure of how long goroutines were ready before
// they ran.
const latencyMetric = "/sched/latencies:seconds"

// schedulingDelay returns how long ready goroutines schedulingDelay since the last call.
func (o *overload) schedulingDelay() time.Duration {
	sample := []runtimemetrics.Sample{{Name: latencyMetric}}
	runtimemetrics.Read(sample)
	if sample[0].Value.Kind() != runtimemetrics.KindFloat64Histogram {
		return 0
	}
	histogram := sample[0].Value.Float64Histogram()
	delay := quantile(histogram.Counts, o.lastCounts, histogram.Buckets)
	o.lastCounts = append(o.lastCounts[:0], histogram.Counts...)
	return delay
}

// quantile returns below what the late quantile of the counts added to before
// lies. The bounds are in seconds.
func quantile(counts, previous []uint64, bounds []float64) time.Duration {
	var total uint64
	added := make([]uint64, len(counts))
	for i, n := range counts {
		added[i] = n
		if i < len(previous) {
			added[i] -= previous[i]
		}
		total += added[i]
	}
	remaining := uint64(delayQuantile * float64(total))
	for i, n := range added {
		if n > remaining {
			return time.Duration(max(0, bounds[i]) * float64(time.Second))
		}
		remaining -= n
	}
	return 0
}

// sheds decides whether a request is left to other routers, as this one
// is short of processor time: it refuses a part of all, and those that lay unread for
// long. One that may be is noted as asked for, so that its workspace counts as needy.
func (f *Forwarder) sheds(c *call) bool {
	f.updateOverload(c.arrived)
	o := f.state.snapshot.Load()
	tooLate := c.readTooLate()
	if o == nil || f.overload.shedPermille.Load() == 0 && !tooLate {
		return tooLate
	}
	w, ok := o.WorkspaceOf(c.info.Key)
	if !ok {
		return tooLate || f.overload.shouldShed(w, 1)
	}
	c.workspace = w
	f.recordDemand(c.arrived, c)
	if !tooLate && !f.overload.shouldShed(w, f.shareRatio(c.arrived, w)) {
		return false
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.sharer.Left(c.arrived, w, c.tokenCost())
	return true
}

// shareRatio returns the shareRatio of a workspace.
func (f *Forwarder) shareRatio(now identifier.Instant, w identifier.Workspace) float64 {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.sharer.Standing(now, w)
}
