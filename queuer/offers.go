package queuer

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthorndrum/identifier"
	"buckthorndrum/scheduler"
)

// agentView is what the router knows of one linked agent.
type agentView struct {
	pool identifier.Pool
	// near tells that the agent is in the router's data centre.
	near bool
	room int
}

// SetAgent notes that target t of a pool is linked and has room for more.
func (s *Queuer) SetAgent(t identifier.Target, pool identifier.Pool, near bool, room int) {
	a := s.agents[t]
	if a == nil {
		s.agents[t] = &agentView{pool: pool, near: near, room: room}
		s.rerank(pool)
		return
	}
	before := *a
	a.pool, a.near, a.room = pool, near, room
	moved := before.pool != pool || before.near != near
	if moved || (before.room <= 0 && room > 0) {
		s.rerank(pool)
	}
}

// DropAgent notes that target t is no longer linked.
func (s *Queuer) DropAgent(t identifier.Target) {
	a := s.agents[t]
	if a == nil {
		return
	}
	delete(s.agents, t)
	for _, q := range s.queues {
		delete(q.told, t)
	}
	s.rerank(a.pool)
}

// Linked tells whether any linked agent serves the pool.
func (s *Queuer) Linked(pool identifier.Pool) bool {
	for _, a := range s.agents {
		if a.pool == pool {
			return true
		}
	}
	return false
}

// rerank orders the agents anew for all queues of a pool.
func (s *Queuer) rerank(pool identifier.Pool) {
	for id, q := range s.queues {
		if len(q.items) == 0 || q.pool != pool {
			continue
		}
		q.rank = s.rankFor(q, q.head())
		s.dirty[id] = true
	}
}

// rankFor orders the agents that may serve queue q: those with room first,
// then those in the same data centre, then by a hash that keeps a prefix with
// one agent and spreads everything else.
func (s *Queuer) rankFor(q *queue, head *Item) []identifier.Target {
	if q.id.bound != "" {
		return []identifier.Target{q.id.bound}
	}
	var found []ranked
	for t, a := range s.agents {
		if a.pool == q.pool {
			found = append(found, ranked{t, a.room <= 0, !a.near, s.spread(head, t)})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].before(found[j]) })
	targets := make([]identifier.Target, len(found))
	for i, f := range found {
		targets[i] = f.target
	}
	return targets
}

// ranked is one agent in the order in which it is offered a queue.
type ranked struct {
	target identifier.Target
	full   bool
	far    bool
	hash   uint64
}

func (a ranked) before(b ranked) bool {
	if a.full != b.full {
		return !a.full
	}
	if a.far != b.far {
		return !a.far
	}
	return a.hash < b.hash
}

func (s *Queuer) spread(head *Item, t identifier.Target) uint64 {
	h := xxhash.New()
	if head.Prefix != 0 {
		var b [4]byte
		binary.LittleEndian.PutUint32(b[:], uint32(head.Prefix))
		_, _ = h.Write(b[:])
	} else {
		_, _ = h.WriteString(string(head.Request))
	}
	_, _ = h.WriteString(string(t))
	return h.Sum64()
}

// Update is the offers that one agent has to be told.
type Update struct {
	Target identifier.Target
	Offers []scheduler.Offer
}

// Updates returns what the agents have to be told now. An agent is told of a
// queue again only when the count it holds is off by more than half, or the
// queue has emptied.
func (s *Queuer) Updates(now identifier.Instant) []Update {
	s.wake(now)
	byTarget := map[identifier.Target][]scheduler.Offer{}
	for id := range s.dirty {
		q := s.queues[id]
		delete(s.dirty, id)
		if q == nil || s.batched(now, q) {
			continue
		}
		s.update(now, q, byTarget)
		s.dropEmpty(q)
	}
	return sortUpdates(byTarget)
}

func (s *Queuer) update(now identifier.Instant, q *queue, byTarget map[identifier.Target][]scheduler.Offer) {
	if len(q.items) == 0 {
		s.withdraw(q, byTarget)
		return
	}
	reach := s.reach(now, q)
	if reach < len(q.rank) {
		s.sleep(q, now.Add(s.widening(now, q)))
	}
	for _, t := range q.rank[:reach] {
		told, known := q.told[t]
		if s.agents[t] == nil || (known && !stale(told, len(q.items))) {
			continue
		}
		q.told[t] = len(q.items)
		byTarget[t] = append(byTarget[t], s.offer(now, q, t))
	}
}

// withdraw takes back the offers of an empty queue.
func (s *Queuer) withdraw(q *queue, byTarget map[identifier.Target][]scheduler.Offer) {
	for t, told := range q.told {
		if told > 0 && s.agents[t] != nil {
			byTarget[t] = append(byTarget[t], scheduler.Offer{Class: q.id.class, Count: s.twin(q, t)})
		}
	}
	clear(q.told)
}

// offer sums the queue and the one that is bound to target t, or the other way
// round, for an agent knows only classes.
func (s *Queuer) offer(now identifier.Instant, q *queue, t identifier.Target) scheduler.Offer {
	head := q.head()
	return scheduler.Offer{
		Class:  q.id.class,
		Count:  len(q.items) + s.twin(q, t),
		Age:    now.Sub(head.Arrived),
		Hint:   head.Hint,
		Prefix: head.Prefix,
	}
}

// twin returns how many requests target t was offered from the other queue of
// the same class.
func (s *Queuer) twin(q *queue, t identifier.Target) int {
	other := queueID{class: q.id.class}
	if q.id.bound == "" {
		other.bound = t
	}
	if o := s.queues[other]; o != nil && o.told[t] > 0 {
		return len(o.items)
	}
	return 0
}

// stale tells whether a told count misleads an agent about the true one.
func stale(told, count int) bool {
	return told*2 <= count || told > count*2
}

// reach returns to how many agents queue q is offered now, in the order of its
// rank. It doubles each time the head has waited WidenAfter longer, and is the
// whole pool at once if none of it has room. A kind that
// usually waits long goes at first only to agents with room and to the first
// few, and to the others when the head has waited longer than usual.
func (s *Queuer) reach(now identifier.Instant, q *queue) int {
	if q.id.bound != "" || s.cfg.WidenAfter <= 0 {
		return len(q.rank)
	}
	first := max(s.cfg.FirstFanout, 1)
	waited := now.Sub(q.head().Arrived)
	n := doubled(first, waited, s.cfg.WidenAfter, len(q.rank))
	roomy := s.roomy(q)
	usual := s.usual(q.id.class)
	switch {
	case usual >= s.cfg.LongWait:
		late := doubled(first, waited-longerThanUsual*usual, s.cfg.WidenAfter, len(q.rank))
		n = max(min(n, roomy), late)
	case roomy == 0:
		n = len(q.rank)
	}
	return min(n, len(q.rank))
}

// longerThanUsual is how many times the usual wait counts as longer than usual.
const longerThanUsual = 2

// doubled returns n doubled once for each step in waited, until it is at least
// most.
func doubled(n int, waited, step time.Duration, most int) int {
	for ; waited >= step && n < most; waited -= step {
		n *= 2
	}
	return n
}

// roomy returns how many of the first agents in q's rank have room.
func (s *Queuer) roomy(q *queue) int {
	n := 0
	for n < len(q.rank) && s.agents[q.rank[n]] != nil && s.agents[q.rank[n]].room > 0 {
		n++
	}
	return n
}

func sortUpdates(byTarget map[identifier.Target][]scheduler.Offer) []Update {
	updates := make([]Update, 0, len(byTarget))
	for t, offers := range byTarget {
		sort.Slice(offers, func(i, j int) bool {
			a, b := offers[i].Class, offers[j].Class
			if a.Kind != b.Kind {
				return a.Kind < b.Kind
			}
			return a.Workspace < b.Workspace
		})
		updates = append(updates, Update{t, offers})
	}
	sort.Slice(updates, func(i, j int) bool { return updates[i].Target < updates[j].Target })
	return updates
}
