package queuer

import (
	"container/heap"
	"sort"
	"time"

	"buckthorndrum/identifier"
)

// Queuer holds the queues of one router and what its agents were offered. It is not
// safe for concurrent use.
type Queuer struct {
	cfg Config
	// classes holds the queues by class.
	classes map[identifier.Class]*classState
	// items are all queued requests.
	items map[identifier.Request]*Item
	// bytes is the total size of all queued bodies, in bytes.
	bytes     int
	deadlines deadlines
	agents    map[identifier.Target]*agentView
	// classWaits are the average waits of the latest departures by class, and kindWaits
	// those by kind. Refresh removes the classes without a queue.
	classWaits map[identifier.Class]time.Duration
	kindWaits  map[identifier.Kind]time.Duration
	// dirtyClasses are the classes whose offers may have to change.
	dirtyClasses map[identifier.Class]bool
	// rechecks are the times at which classes have to be checked again.
	rechecks recheckHeap
}

// New returns an empty queuer.
func New(cfg Config) *Queuer {
	return &Queuer{
		cfg:          cfg,
		classes:      map[identifier.Class]*classState{},
		items:        map[identifier.Request]*Item{},
		agents:       map[identifier.Target]*agentView{},
		classWaits:   map[identifier.Class]time.Duration{},
		kindWaits:    map[identifier.Kind]time.Duration{},
		dirtyClasses: map[identifier.Class]bool{},
	}
}

// Configure replaces the configuration. Queued requests stay queued.
func (s *Queuer) Configure(cfg Config) { s.cfg = cfg }

// Enqueue queues request it, or returns a Refusal. A refused request is not run.
func (s *Queuer) Enqueue(now identifier.Instant, it Item) error {
	if err := s.CheckAdmission(now, it); err != nil {
		return err
	}
	s.insert(&it, false)
	return nil
}

// CheckAdmission returns the Refusal that Enqueue would return for request it now, or
// nil. It changes nothing.
func (s *Queuer) CheckAdmission(now identifier.Instant, it Item) error {
	rule, known := s.cfg.Kinds[it.Class.Kind]
	if !known {
		return Refusal{Request: it.Request, Class: it.Class, Reason: UnknownKind}
	}
	q := s.findQueue(it)
	if reason := s.refusalReason(now, q, it, rule); reason != "" {
		return Refusal{Request: it.Request, Class: it.Class, Reason: reason, RetryAfter: s.retryAfter(it.Class, q)}
	}
	return nil
}

// Requeue puts back a request that an agent has refused without running it. The request
// goes to the front of its queue, and the limits are not checked again.
func (s *Queuer) Requeue(it Item) {
	s.insert(&it, true)
}

// Dequeue removes and returns the request to hand over under a grant of target t for
// class c. It returns false if no request of c waits that t may run.
func (s *Queuer) Dequeue(now identifier.Instant, t identifier.Target, c identifier.Class) (Item, bool) {
	g := s.classes[c]
	if g == nil {
		return Item{}, false
	}
	s.dirtyClasses[c] = true
	q := g.queueFor(t)
	if q == nil {
		delete(g.offeredCounts, t) // The agent removes an offer whose grant is declined.
		return Item{}, false
	}
	it := q.pop()
	s.untrack(it)
	q.recordDeparture(now)
	s.recordWait(now, it)
	if g.offeredCounts[t] > 0 {
		g.offeredCounts[t]--
	}
	return *it, true
}

// Refresh makes Updates offer everything that waits again to the agents that were
// offered it, in case the two sides differ. It also removes the average waits of
// classes without a queue.
func (s *Queuer) Refresh() {
	for c, g := range s.classes {
		for t := range g.offeredCounts {
			g.offeredCounts[t] = 0
		}
		s.dirtyClasses[c] = true
	}
	for c := range s.classWaits {
		if s.classes[c] == nil {
			delete(s.classWaits, c)
		}
	}
}

// recordWait updates the average waits when request it leaves its queue, for a target
// or because its deadline has passed.
func (s *Queuer) recordWait(now identifier.Instant, it *Item) {
	d := now.Sub(it.Arrived)
	s.classWaits[it.Class] = movingAverage(s.usualWait(it.Class), d)
	s.kindWaits[it.Class.Kind] = movingAverage(s.kindWaits[it.Class.Kind], d)
}

// movingAverage returns the exponentially weighted moving average old updated with d. A
// zero old is no average yet.
func movingAverage(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return old + (d-old)/averageWindow
}

// usualWait returns the average wait of class c, or that of its kind if none is known
// for c.
func (s *Queuer) usualWait(c identifier.Class) time.Duration {
	if d, known := s.classWaits[c]; known {
		return d
	}
	return s.kindWaits[c.Kind]
}

// estimateWait estimates how long a request of class c that joins queue q now will
// wait. It returns zero for an empty queue, from which no estimate can be made, so that
// one request is always let through to measure the wait.
func (s *Queuer) estimateWait(c identifier.Class, q *queue) time.Duration {
	if len(q.items) == 0 {
		return 0
	}
	return max(time.Duration(len(q.items))*q.interval, s.usualWait(c))
}

// Cancel removes a queued request and reports whether it was queued. A request that was
// queued is not run.
func (s *Queuer) Cancel(r identifier.Request) bool {
	it := s.items[r]
	if it == nil {
		return false
	}
	s.classes[it.Class].queue(it.BoundTarget).remove(it)
	s.untrack(it)
	s.dirtyClasses[it.Class] = true
	return true
}

// RemoveExpired removes and returns the queued requests whose deadline has passed. They
// are not run.
func (s *Queuer) RemoveExpired(now identifier.Instant) []Item {
	var expired []Item
	for len(s.deadlines) > 0 && s.deadlines[0].Deadline <= now {
		it := heap.Pop(&s.deadlines).(*Item)
		if s.items[it.Request] != it {
			continue
		}
		s.recordWait(now, it)
		if s.Cancel(it.Request) {
			expired = append(expired, *it)
		}
	}
	return expired
}

// Depth describes what one class has queued.
type Depth struct {
	Class identifier.Class `json:"class"`
	Count int              `json:"count"`
	Bytes int              `json:"bytes"`
	// Oldest is when the oldest request arrived.
	Oldest identifier.Instant `json:"oldest"`
}

// Depths returns the depths of all classes with queued requests, sorted by kind and
// workspace.
func (s *Queuer) Depths() []Depth {
	var ds []Depth
	for c, g := range s.classes {
		if d := g.depth(); d.Count > 0 {
			d.Class = c
			ds = append(ds, d)
		}
	}
	sort.Slice(ds, func(i, j int) bool {
		if ds[i].Class.Kind != ds[j].Class.Kind {
			return ds[i].Class.Kind < ds[j].Class.Kind
		}
		return ds[i].Class.Workspace < ds[j].Class.Workspace
	})
	return ds
}

// depth returns the sum over all queues of the class. Its Class is not set.
func (g *classState) depth() Depth {
	var d Depth
	d.add(&g.unbound)
	for _, q := range g.bound {
		d.add(q)
	}
	return d
}

// add adds the requests of queue q.
func (d *Depth) add(q *queue) {
	if len(q.items) == 0 {
		return
	}
	d.Count += len(q.items)
	d.Bytes += q.bytes
	if arrived := q.head().Arrived; d.Oldest == 0 || arrived < d.Oldest {
		d.Oldest = arrived
	}
}

// Len returns the number of queued requests and the total size of their bodies, in
// bytes.
func (s *Queuer) Len() (count, bytes int) { return len(s.items), s.bytes }

// refusalReason returns why request it may not join queue q now, or an empty reason if
// it may.
func (s *Queuer) refusalReason(now identifier.Instant, q *queue, it Item, rule KindRule) Reason {
	switch {
	case it.Deadline <= now:
		return DeadlinePassed
	case len(q.items) >= rule.MaxQueued:
		return QueueFull
	case q.bytes+it.Bytes > rule.MaxQueuedBytes:
		return QueueFull
	case s.bytes+it.Bytes > s.cfg.MaxBytes:
		return RouterFull
	case now.Add(s.estimateWait(it.Class, q)) > it.Deadline:
		return DeadlineTooNear
	}
	return ""
}

// retryAfter returns the time after which queue q is expected to be empty, within
// minRetryAfter and maxRetryAfter.
func (s *Queuer) retryAfter(c identifier.Class, q *queue) time.Duration {
	return min(max(s.estimateWait(c, q), minRetryAfter), maxRetryAfter)
}

// Bounds of Refusal.RetryAfter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
)

// findQueue returns the queue that request it would join, or an empty one if there is
// none yet.
func (s *Queuer) findQueue(it Item) *queue {
	g := s.classes[it.Class]
	switch {
	case g == nil:
		return &queue{}
	case it.BoundTarget == "":
		return &g.unbound
	case g.bound[it.BoundTarget] == nil:
		return &queue{}
	}
	return g.bound[it.BoundTarget]
}

// class returns the state of class c, which it creates if needed.
func (s *Queuer) class(c identifier.Class) *classState {
	g := s.classes[c]
	if g == nil {
		g = &classState{class: c, pool: s.cfg.Kinds[c.Kind].Pool, bound: map[identifier.Target]*queue{}, offeredCounts: map[identifier.Target]int{}}
		s.classes[c] = g
	}
	return g
}

// insert puts item it at the front or the back of its queue.
func (s *Queuer) insert(it *Item, front bool) {
	g := s.class(it.Class)
	q := g.queue(it.BoundTarget)
	if it.BoundTarget == "" && len(q.items) == 0 {
		g.rankedAgents = s.rankAgents(g, it)
	}
	if front {
		q.pushFront(it)
	} else {
		q.pushBack(it)
	}
	s.items[it.Request] = it
	s.bytes += it.Bytes
	heap.Push(&s.deadlines, it)
	s.dirtyClasses[it.Class] = true
}

// untrack removes item it, which has left its queue, from the totals.
func (s *Queuer) untrack(it *Item) {
	delete(s.items, it.Request)
	s.bytes -= it.Bytes
	s.compactDeadlines()
}

// compactDeadlines rebuilds the deadline heap when most of its entries are no longer
// queued.
func (s *Queuer) compactDeadlines() {
	if len(s.deadlines) < minCompactSize || len(s.deadlines) < 2*len(s.items) {
		return
	}
	s.deadlines = s.deadlines[:0]
	for _, it := range s.items {
		s.deadlines = append(s.deadlines, it)
	}
	heap.Init(&s.deadlines)
}

// minCompactSize is the heap size below which compaction is not worth its cost.
const minCompactSize = 1024

// deadlines is a heap of items, the earliest deadline first. It may hold items that
// have left their queue.
type deadlines []*Item

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].Deadline < d[j].Deadline }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(*Item)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	n := len(*d) - 1
	it := (*d)[n]
	(*d)[n] = nil
	*d = (*d)[:n]
	return it
}
