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
	// checkInterval is the interval at which the process measures its scheduling delay.
	checkInterval = 50 * time.Millisecond
	// maxSchedulingDelay is the longest scheduling delay, the time that ready
	// goroutines wait for the processor, in a process that has enough processor time.
	maxSchedulingDelay = 20 * time.Millisecond
	// delayQuantile is the quantile of the goroutines' delays that is taken as the
	// scheduling delay.
	delayQuantile = 0.8
	// delaySmoothing is the weight of a new measurement in the moving average of the
	// scheduling delay.
	delaySmoothing = 0.4
	// shedIncrease and shedDecrease change the fraction of requests that is shed, at
	// each measurement.
	shedIncrease = 0.08
	shedDecrease = 0.03
	// maxShedRatio is the largest fraction of requests that is shed. It is nearly all
	// of them, since a router that is late in reading requests is also late in noticing
	// that callers have given up. minServedRatio is the fraction that is still served,
	// from the workspaces that ask for least.
	maxShedRatio   = 1
	minServedRatio = 0.02
	// shedWithinShareFrom is the shed fraction up to which only requests of workspaces
	// beyond their fair share are shed.
	shedWithinShareFrom = 0.6
	// overloadedFrom is the shed fraction from which the router counts as overloaded,
	// until nothing is shed any more.
	overloadedFrom = 0.3
	// maxIncreaseFactor bounds how much faster the shed fraction rises when the
	// scheduling delay exceeds maxSchedulingDelay.
	maxIncreaseFactor = 4
	// redirectDelay is the time from a router's report that it is not ready until new
	// connections of its callers reach other routers.
	redirectDelay = 2500 * time.Millisecond
	// retryAfterSpread is the time over which the returns of rejected callers are
	// spread, so that they do not all come back at once.
	retryAfterSpread = 500 * time.Millisecond
)

// overload determines, from how long ready goroutines wait, whether the process gets
// less processor time than its work needs, and which fraction of the requests it sheds,
// that is, leaves to other routers.
type overload struct {
	// checkedAt is when the scheduling delay was last measured, as an Instant.
	checkedAt atomic.Int64
	// mu guards delay and lastCounts.
	mu sync.Mutex
	// delay is the moving average of the scheduling delay.
	delay time.Duration
	// lastCounts is the runtime's histogram of delays at the last measurement.
	lastCounts []uint64
	// shedPermille is the fraction of requests to shed, in thousandths.
	shedPermille atomic.Int64
	// admission divides the requests that are served among workspaces.
	admission fairAdmission
	// overloadedSince is since when the process has been overloaded, as an Instant,
	// zero if it is not.
	overloadedSince atomic.Int64
}

// update adjusts the shed fraction to a new measurement of the scheduling delay. The
// caller holds mu or has exclusive use of o.
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

// shedWithinShare returns the fraction of the requests of workspaces within their fair
// share that is shed at a shed fraction.
func shedWithinShare(ratio float64) float64 {
	return max(0, ratio-shedWithinShareFrom) / (1 - shedWithinShareFrom)
}

// shouldShed decides whether to shed a request of workspace w, which has the given
// share ratio.
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

// overloaded reports whether the process is overloaded.
func (o *overload) overloaded() bool { return o.overloadedSince.Load() != 0 }

// closesConnections reports whether callers are asked to close their connections: once
// new connections reach other routers. Before that callers would only reconnect to this
// router, at a higher cost.
func (o *overload) closesConnections(now identifier.Instant) bool {
	since := identifier.Instant(o.overloadedSince.Load())
	return since != 0 && now.Sub(since) > redirectDelay
}

// retryAfter returns after how long a caller whose request is shed may come back: once
// its new connections reach other routers.
func (o *overload) retryAfter(now identifier.Instant) time.Duration {
	wait := time.Duration(0)
	if since := identifier.Instant(o.overloadedSince.Load()); since != 0 {
		wait = max(0, redirectDelay-now.Sub(since))
	}
	return wait + minRetryAfter + time.Duration(rand.Float64()*float64(retryAfterSpread))
}

// watchOverload measures the scheduling delay every checkInterval until the forwarder
// stops.
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

// updateOverload measures the scheduling delay unless that was done within
// checkInterval. Each request calls it too, since a ticker's goroutine is late where
// many goroutines are ready.
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

// latencyMetric is the runtime's histogram of how long goroutines were ready before
// they ran.
const latencyMetric = "/sched/latencies:seconds"

// schedulingDelay returns how long ready goroutines have waited since the last call,
// zero if the runtime does not measure it.
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

// quantile returns the lower bound of the bucket that holds the delayQuantile of the
// counts added since previous. bounds are the bounds of the buckets in seconds.
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

// sheds decides whether a request is left to other routers because this one is short of
// processor time. It sheds a fraction of all requests, and those that waited unread for
// too long. The tokens of a request that may be shed are counted as demand of its
// workspace, so that the workspace counts as underserved.
func (f *Forwarder) sheds(c *call) bool {
	f.updateOverload(c.arrived)
	s := f.state.snapshot.Load()
	tooLate := c.readTooLate()
	if s == nil || f.overload.shedPermille.Load() == 0 && !tooLate {
		return tooLate
	}
	w, ok := s.WorkspaceOf(c.info.Key)
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
	f.state.sharer.RecordShed(c.arrived, w, c.tokenCost())
	return true
}

// shareRatio returns the share ratio of a workspace.
func (f *Forwarder) shareRatio(now identifier.Instant, w identifier.Workspace) float64 {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.sharer.ShareRatio(now, w)
}
