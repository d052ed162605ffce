package queuer

import (
	"time"

	"buckthorndrum/identifier"
)

// Item is one waiting request.
type Item struct {
	Request identifier.Request
	Class   identifier.Class
	// Bytes is the size of the body.
	Bytes int
	// Arrived is when the caller submitted the request here.
	Arrived identifier.Instant
	// Deadline is when the answer is no longer wanted.
	Deadline identifier.Instant
	// CostHint is the expected cost, zero if unknown.
	CostHint identifier.Cost
	// Prefix is the hash of the prompt prefix, zero if none.
	Prefix identifier.Prefix
	// BoundTarget is the only target that may run the request, empty for any.
	BoundTarget identifier.Target
}

// queue holds waiting requests, the oldest first.
type queue struct {
	items []*Item
	// bytes is the sum of the items' bodies.
	bytes int
	// interval is the mean time between two departures while requests wait.
	interval      time.Duration
	lastDeparture identifier.Instant
}

// classState is everything that waits of one class: the requests that any target may
// run, and those that are bound to one. Agents know only the class, so that what
// they are told is kept here.
type classState struct {
	class   identifier.Class
	pool    identifier.Pool
	unbound queue
	bound   map[identifier.Target]*queue
	// rankedAgents orders the pool's agents for the free queue.
	rankedAgents []identifier.Target
	// offeredCounts is the count that each agent holds.
	offeredCounts map[identifier.Target]int
	// lastUpdate is when agents were last told of the free queue.
	lastUpdate identifier.Instant
	// recheckAt is when the group is looked at again, zero if that is not due.
	recheckAt identifier.Instant
}

// queue returns the queue for requests bound to t, or the free one.
func (g *classState) queue(t identifier.Target) *queue {
	if t == "" {
		return &g.unbound
	}
	q := g.bound[t]
	if q == nil {
		q = &queue{}
		g.bound[t] = q
	}
	return q
}

// queueFor returns the queue from which a grant of target t is served, or nil if
// nothing waits that t may run.
func (g *classState) queueFor(t identifier.Target) *queue {
	unbound, bound := &g.unbound, g.bound[t]
	if bound == nil || len(bound.items) == 0 {
		if len(unbound.items) == 0 {
			return nil
		}
		return unbound
	}
	if len(unbound.items) > 0 && unbound.head().Arrived < bound.head().Arrived {
		return unbound
	}
	return bound
}

// empty tells whether nothing waits and no agent was told of anything.
func (g *classState) empty() bool {
	return len(g.unbound.items) == 0 && len(g.bound) == 0 && len(g.offeredCounts) == 0
}

func (q *queue) head() *Item { return q.items[0] }

// recordDeparture updates the mean interval when an item leaves for a target.
func (q *queue) recordDeparture(now identifier.Instant) {
	if q.lastDeparture != 0 && len(q.items) > 0 {
		elapsed := now.Sub(q.lastDeparture)
		if q.interval == 0 {
			q.interval = elapsed
		}
		q.interval += (elapsed - q.interval) / averageWindow
	}
	q.lastDeparture = now
	if len(q.items) == 0 {
		q.lastDeparture = 0
	}
}

// averageWindow is over how many departures the interval is averaged.
const averageWindow = 8

func (q *queue) remove(it *Item) bool {
	for i := range q.items {
		if q.items[i] == it {
			q.items = append(q.items[:i], q.items[i+1:]...)
			q.bytes -= it.Bytes
			return true
		}
	}
	return false
}

func (q *queue) pop() *Item {
	it := q.items[0]
	q.items[0] = nil
	q.items = q.items[1:]
	q.bytes -= it.Bytes
	return it
}

func (q *queue) pushFront(it *Item) {
	q.items = append([]*Item{it}, q.items...)
	q.bytes += it.Bytes
}

func (q *queue) pushBack(it *Item) {
	q.items = append(q.items, it)
	q.bytes += it.Bytes
}
