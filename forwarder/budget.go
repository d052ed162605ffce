package forwarder

import (
	"time"

	"buckthorndrum/identifier"
)

// RetryBudget bounds the retries that all routers together send to the targets of one
// pool.
type RetryBudget struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Extra is the number of further retries allowed in a window, for all routers
	// together.
	Extra float64
}

// windowSlots is the number of slots into which a window is divided.
const windowSlots = 20

// usableFraction is the fraction of the budget that is used, since each router counts
// on its own and the windows of routers differ.
const usableFraction = 0.8

// retryCounter counts the requests and retries that one router sends to one pool, over
// a sliding window.
type retryCounter struct {
	requests [windowSlots]int
	retries  [windowSlots]int
	// lastSlot is the number of the newest slot; slot n is kept at index n%windowSlots.
	lastSlot int64
}

// advance clears the slots that have begun since the last call and moves lastSlot to
// now.
func (b *retryCounter) advance(now identifier.Instant, window time.Duration) {
	slot := int64(now) / int64(window/windowSlots)
	for i := 0; b.lastSlot < slot && i < windowSlots; i++ {
		b.lastSlot = max(b.lastSlot+1, slot-windowSlots+1)
		b.requests[b.lastSlot%windowSlots] = 0
		b.retries[b.lastSlot%windowSlots] = 0
	}
	b.lastSlot = slot
}

// addRequest counts a request.
func (b *retryCounter) addRequest(now identifier.Instant, cfg RetryBudget) {
	b.advance(now, cfg.Window)
	b.requests[b.lastSlot%windowSlots]++
}

// takeRetry counts a retry and reports true if the budget allows one. routers is the
// number of routers among which cfg.Extra is divided.
func (b *retryCounter) takeRetry(now identifier.Instant, cfg RetryBudget, routers int) bool {
	b.advance(now, cfg.Window)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := usableFraction * (cfg.Ratio*float64(requests) + cfg.Extra/float64(max(1, routers)))
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[b.lastSlot%windowSlots]++
	return true
}

// countRequest counts a request to a pool for the pool's retry budget.
func (f *Forwarder) countRequest(now identifier.Instant, p identifier.Pool) {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.retryCounterOf(p).addRequest(now, f.state.tunables.Load().RetryBudget)
}

// takeRetry takes one retry from a pool's budget and reports whether there was one.
func (f *Forwarder) takeRetry(now identifier.Instant, p identifier.Pool) bool {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.retryCounterOf(p).takeRetry(now, f.state.tunables.Load().RetryBudget, f.fleetSize())
}

// defaultFleetSize is the number of routers assumed to share a budget while no other
// router has reported, as just after all routers have started.
const defaultFleetSize = 32

// fleetSize returns the number of routers that share the retry budgets. The caller
// holds f.state.mu.
func (f *Forwarder) fleetSize() int {
	f.state.maxPeers = max(f.state.maxPeers, f.state.peers)
	if f.state.maxPeers == 0 {
		return defaultFleetSize
	}
	return f.state.maxPeers + 1
}

// retryCounterOf returns the counter of a pool and creates it if there is none. The
// caller holds f.state.mu.
func (f *Forwarder) retryCounterOf(p identifier.Pool) *retryCounter {
	b := f.state.retryCounters[p]
	if b == nil {
		b = &retryCounter{}
		f.state.retryCounters[p] = b
	}
	return b
}
