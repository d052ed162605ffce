package queuer

import (
	"time"

	"buckthorndrum/identifier"
)

// Item is one queued request.
type Item struct {
	Request identifier.Request
	Class   identifier.Class
	// Bytes is the size of the body, in bytes.
	Bytes int
	// Arrived is when the caller submitted the request to this router.
	Arrived identifier.Instant
	// Deadline is the time after which the answer is no longer needed.
	Deadline identifier.Instant
	// CostHint is the expected cost, zero if unknown.
	CostHint identifier.Cost
	// Prefix is the hash of the prompt prefix, zero if there is none.
	Prefix identifier.Prefix
	// BoundTarget is the only target that may run the request, empty if any may.
	BoundTarget identifier.Target
}

// queue is a FIFO queue of requests.
type queue struct {
	items []*Item
	// bytes is the total size of the bodies, in bytes.
	bytes int
	// interval is the average time between two departures while requests wait.
	interval time.Duration
	// lastDeparture is when a request last left for a target, zero if the queue was
	// empty then.
	lastDeparture identifier.Instant
}

// classState holds the queues of one class: one for the requests that any target may
// run, and one for each target with requests bound to it. Agents know only the class,
// so what they were offered is recorded here for all its queues together.
type classState struct {
	class identifier.Class
	pool  identifier.Pool
	// unbound holds the requests that any target may run, and bound those that only one
	// target may run.
	unbound queue
	bound   map[identifier.Target]*queue
	// rankedAgents are the agents of the pool in the order in which they are offered
	// the unbound queue.
	rankedAgents []identifier.Target
	// offeredCounts are the counts that the agents hold: those of their latest offers
	// less the requests handed over since. Refresh sets them to zero, so that the
	// offers are sent again.
	offeredCounts map[identifier.Target]int
	// lastUpdate is when the offers of the class were last updated.
	lastUpdate identifier.Instant
	// recheckAt is when the class has to be checked again, zero if it does not.
	recheckAt identifier.Instant
}

// queue returns the queue for requests bound to t, which it creates if needed, or the
// unbound one if t is empty.
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

// queueFor returns the queue from which a grant of target t is served, the one whose
// first request arrived earlier, or nil if nothing waits that t may run.
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

// empty reports whether nothing is queued and no agent has an offer.
func (g *classState) empty() bool {
	return len(g.unbound.items) == 0 && len(g.bound) == 0 && len(g.offeredCounts) == 0
}

// head returns the first item. The queue is not empty.
func (q *queue) head() *Item { return q.items[0] }

// recordDeparture updates the average interval after an item was removed for a target.
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

// averageWindow is the number of events over which moving averages are taken: each new
// value has a weight of one in this many.
const averageWindow = 8

// remove removes item it and reports whether it was in the queue.
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
