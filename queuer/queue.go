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
	interval time.Duration
	departed identifier.Instant
}

// group is everything that waits of one class: the requests that any target may
// run, and those that are bound to one. Agents know only the class, so that what
// they are told is kept here.
type group struct {
	class identifier.Class
	pool  identifier.Pool
	free  queue
	bound map[identifier.Target]*queue
	// rank orders the pool's agents for the free queue.
	rank []identifier.Target
	// told is the count that each agent holds.
	told map[identifier.Target]int
	// updated is when agents were last told of the free queue.
	updated identifier.Instant
	// wakeAt is when the group is looked at again, zero if that is not due.
	wakeAt identifier.Instant
}

// queue returns the queue for requests bound to t, or the free one.
func (g *group) queue(t identifier.Target) *queue {
	if t == "" {
		return &g.free
	}
	q := g.bound[t]
	if q == nil {
		q = &queue{}
		g.bound[t] = q
	}
	return q
}

// older returns the queue from which a grant of target t is served, or nil if
// nothing waits that t may run.
func (g *group) older(t identifier.Target) *queue {
	free, bound := &g.free, g.bound[t]
	if bound == nil || len(bound.items) == 0 {
		if len(free.items) == 0 {
			return nil
		}
		return free
	}
	if len(free.items) > 0 && free.head().Arrived < bound.head().Arrived {
		return free
	}
	return bound
}

// empty tells whether nothing waits and no agent was told of anything.
func (g *group) empty() bool {
	return len(g.free.items) == 0 && len(g.bound) == 0 && len(g.told) == 0
}

func (q *queue) head() *Item { return q.items[0] }

// departure updates the mean interval when an item leaves for a target.
func (q *queue) departure(now identifier.Instant) {
	if q.departed != 0 && len(q.items) > 0 {
		gap := now.Sub(q.departed)
		if q.interval == 0 {
			q.interval = gap
		}
		q.interval += (gap - q.interval) / intervalWindow
	}
	q.departed = now
	if len(q.items) == 0 {
		q.departed = 0
	}
}

// intervalWindow is over how many departures the interval is averaged.
const intervalWindow = 8

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
