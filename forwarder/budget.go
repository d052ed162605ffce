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

// budgetSlots is how many parts a window has.
const budgetSlots = 20

// budgetShare is the part of the budget that is used, as routers count on their
// own and their windows differ.
const budgetShare = 0.8

// budget is one router's part of the budget of one pool.
type budget struct {
	requests [budgetSlots]int
	retries  [budgetSlots]int
	last     int64
}

func (b *budget) advance(now identifier.Instant, window time.Duration) {
	n := int64(now) / int64(window/budgetSlots)
	for i := 0; b.last < n && i < budgetSlots; i++ {
		b.last = max(b.last+1, n-budgetSlots+1)
		b.requests[b.last%budgetSlots] = 0
		b.retries[b.last%budgetSlots] = 0
	}
	b.last = n
}

func (b *budget) request(now identifier.Instant, cfg RetryBudget) {
	b.advance(now, cfg.Window)
	b.requests[b.last%budgetSlots]++
}

// retry takes one retry and tells whether there was one. routers is how many
// share the extra retries.
func (b *budget) retry(now identifier.Instant, cfg RetryBudget, routers int) bool {
	b.advance(now, cfg.Window)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	most := budgetShare * (cfg.Ratio*float64(requests) + cfg.Extra/float64(max(1, routers)))
	if float64(retries+1) > most {
		return false
	}
	b.retries[b.last%budgetSlots]++
	return true
}

// countRequest notes a request for a pool.
func (f *Forwarder) countRequest(now identifier.Instant, p identifier.Pool) {
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	f.budgetOf(p).request(now, f.board.tunables.Load().RetryBudget)
}

// mayRetry takes one retry of a pool from the budget.
func (f *Forwarder) mayRetry(now identifier.Instant, p identifier.Pool) bool {
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	return f.budgetOf(p).retry(now, f.board.tunables.Load().RetryBudget, f.sharers())
}

// unknownFleet is how many routers are assumed to share a budget while none is
// heard of, as after the start of all.
const unknownFleet = 32

// sharers returns how many routers share the budgets. The caller holds the lock.
func (f *Forwarder) sharers() int {
	f.board.mostPeers = max(f.board.mostPeers, f.board.peers)
	if f.board.mostPeers == 0 {
		return unknownFleet
	}
	return f.board.mostPeers + 1
}

func (f *Forwarder) budgetOf(p identifier.Pool) *budget {
	b := f.board.budgets[p]
	if b == nil {
		b = &budget{}
		f.board.budgets[p] = b
	}
	return b
}
