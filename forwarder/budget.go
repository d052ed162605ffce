package forwarder

import (
	"time"

	"buckthorndrum/identifier"
)

// RetryBudget bounds the requests that all routers together send a second time
// to the targets of one pool.
type RetryBudget struct {
	// Ratio is how many there may be for each request.
	Ratio float64
	// Window is the time over which both are counted.
	Window time.Duration
	// Extra is how many more there may be in a window.
	Extra float64
}

// windowSlots is how many parts a window has.
const windowSlots = 20

// usableFraction is the part of the budget that is used, as routers count on their
// own and their windows differ.
const usableFraction = 0.8

// retryCounter is one router's part of the retryCounter of one pool.
type retryCounter struct {
	requests [windowSlots]int
	retries  [windowSlots]int
	lastSlot     int64
}

func (b *retryCounter) advance(now identifier.Instant, window time.Duration) {
	slot := int64(now) / int64(window/windowSlots)
	for i := 0; b.lastSlot < slot && i < windowSlots; i++ {
		b.lastSlot = max(b.lastSlot+1, slot-windowSlots+1)
		b.requests[b.lastSlot%windowSlots] = 0
		b.retries[b.lastSlot%windowSlots] = 0
	}
	b.lastSlot = slot
}

func (b *retryCounter) addRequest(now identifier.Instant, cfg RetryBudget) {
	b.advance(now, cfg.Window)
	b.requests[b.lastSlot%windowSlots]++
}

// takeRetry takes one takeRetry and tells whether there was one. routers is how many
// share the extra retries.
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

// countRequest notes a request for a pool.
func (f *Forwarder) countRequest(now identifier.Instant, p identifier.Pool) {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.retryCounterOf(p).addRequest(now, f.state.tunables.Load().RetryBudget)
}

// takeRetry takes one retry of a pool from the budget.
func (f *Forwarder) takeRetry(now identifier.Instant, p identifier.Pool) bool {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.retryCounterOf(p).takeRetry(now, f.state.tunables.Load().RetryBudget, f.fleetSize())
}

// defaultFleetSize is how many routers are assumed to share a budget while none is
// heard of, as after the start of all.
const defaultFleetSize = 32

// fleetSize returns how many routers share the budgets. The caller holds the lock.
func (f *Forwarder) fleetSize() int {
	f.state.maxPeers = max(f.state.maxPeers, f.state.peers)
	if f.state.maxPeers == 0 {
		return defaultFleetSize
	}
	return f.state.maxPeers + 1
}

func (f *Forwarder) retryCounterOf(p identifier.Pool) *retryCounter {
	b := f.state.retryCounters[p]
	if b == nil {
		b = &retryCounter{}
		f.state.retryCounters[p] = b
	}
	return b
}
