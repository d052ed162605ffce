package queuer

import (
	"encoding/binary"
	"sort"

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
		s.rerank()
		return
	}
	a.room = room
	if a.pool != pool || a.near != near {
		a.pool, a.near = pool, near
		s.rerank()
	}
}

// DropAgent notes that target t is no longer linked.
func (s *Queuer) DropAgent(t identifier.Target) {
	delete(s.agents, t)
	for _, q := range s.queues {
		delete(q.told, t)
	}
	s.rerank()
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

func (s *Queuer) rerank() {
	for id, q := range s.queues {
		if len(q.items) == 0 {
			continue
		}
		q.rank = s.rankFor(q, q.head())
		s.narrow[id] = true
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
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], head.Prefix)
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
	for id := range s.narrow {
		s.dirty[id] = true
	}
	byTarget := map[identifier.Target][]scheduler.Offer{}
	for id := range s.dirty {
		q := s.queues[id]
		delete(s.dirty, id)
		if q == nil {
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
	if reach >= len(q.rank) {
		delete(s.narrow, q.id)
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
	delete(s.narrow, q.id)
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

// reach returns to how many agents queue q is offered now. It doubles each time
// the head has waited WidenAfter longer.
func (s *Queuer) reach(now identifier.Instant, q *queue) int {
	n := max(s.cfg.FirstFanout, 1)
	if s.cfg.WidenAfter <= 0 {
		return len(q.rank)
	}
	for waited := now.Sub(q.head().Arrived); waited >= s.cfg.WidenAfter && n < len(q.rank); waited -= s.cfg.WidenAfter {
		n *= 2
	}
	return min(n, len(q.rank))
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
