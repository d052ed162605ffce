package queuer

import (
	"encoding/binary"
	"maps"
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
	// served are the kinds that the target takes work of, nil for all.
	served map[identifier.Kind]bool
}

// serves tells whether the target takes work of kind k.
func (a *agentView) serves(k identifier.Kind) bool { return a.served == nil || a.served[k] }

// SetServedKinds notes of which kinds target t takes work, nil for all. An agent
// that takes no work of a kind is told of it only while no other agent does, so
// that it learns what waits.
func (s *Queuer) SetServedKinds(t identifier.Target, kinds map[identifier.Kind]bool) {
	a := s.agents[t]
	if a == nil || maps.Equal(a.served, kinds) && (a.served == nil) == (kinds == nil) {
		return
	}
	a.served = kinds
	s.rerank(a.pool)
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
	for _, g := range s.groups {
		delete(g.told, t)
	}
	s.rerank(a.pool)
}

// rerank orders the agents anew for all classes of a pool.
func (s *Queuer) rerank(pool identifier.Pool) {
	for c, g := range s.groups {
		if g.pool != pool {
			continue
		}
		if len(g.free.items) > 0 {
			g.rank = s.rankFor(g, g.free.head())
		}
		s.dirty[c] = true
	}
}

// rankFor orders the agents of a group's pool for a queue with this head: those
// with room first, then those in the same data centre, then by a hash that keeps
// a prefix with one agent and spreads everything else. Agents that do not take
// work of the group's kind are left out, unless none does.
func (s *Queuer) rankFor(g *group, head *Item) []identifier.Target {
	found := s.candidates(g, head, true)
	if len(found) == 0 {
		found = s.candidates(g, head, false)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].before(found[j]) })
	targets := make([]identifier.Target, len(found))
	for i, f := range found {
		targets[i] = f.target
	}
	return targets
}

// candidates returns the agents of a group's pool, or those of them that take
// work of its kind.
func (s *Queuer) candidates(g *group, head *Item, serving bool) []ranked {
	var found []ranked
	for t, a := range s.agents {
		if a.pool == g.pool && (!serving || a.serves(g.class.Kind)) {
			found = append(found, ranked{t, !a.takes(g.class.Kind), !a.near, s.spread(head, t)})
		}
	}
	return found
}

// takes tells whether the target has room for work of kind k.
func (a *agentView) takes(k identifier.Kind) bool { return a.room > 0 && a.serves(k) }

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
// class again only when the count it holds is off by more than half, or nothing
// waits any more.
func (s *Queuer) Updates(now identifier.Instant) []Update {
	s.wake(now)
	byTarget := map[identifier.Target][]scheduler.Offer{}
	for c := range s.dirty {
		g := s.groups[c]
		delete(s.dirty, c)
		if g == nil || s.batched(now, g) {
			continue
		}
		s.update(now, g, byTarget)
		if g.empty() {
			delete(s.groups, c)
		}
	}
	return sortUpdates(byTarget)
}

// update tells agents of group g: those that the free queue reaches, those with
// requests bound to them, and those that were told before.
func (s *Queuer) update(now identifier.Instant, g *group, byTarget map[identifier.Target][]scheduler.Offer) {
	for _, t := range g.rank[:s.reach(now, g)] {
		s.tell(now, g, t, byTarget)
	}
	for t, q := range g.bound {
		s.tell(now, g, t, byTarget)
		if len(q.items) == 0 {
			delete(g.bound, t)
		}
	}
	for t := range g.told {
		s.tell(now, g, t, byTarget)
	}
}

// tell offers target t what waits of group g for it, unless it knows.
func (s *Queuer) tell(now identifier.Instant, g *group, t identifier.Target, byTarget map[identifier.Target][]scheduler.Offer) {
	if s.agents[t] == nil {
		delete(g.told, t)
		return
	}
	count := len(g.free.items)
	if q := g.bound[t]; q != nil {
		count += len(q.items)
	}
	told, known := g.told[t]
	switch {
	case count == 0 && known && told > 0:
		byTarget[t] = append(byTarget[t], scheduler.Offer{Class: g.class})
		delete(g.told, t)
	case count == 0:
		delete(g.told, t)
	case !known || stale(told, count):
		g.told[t] = count
		byTarget[t] = append(byTarget[t], s.offer(now, g, t, count))
	}
}

func (s *Queuer) offer(now identifier.Instant, g *group, t identifier.Target, count int) scheduler.Offer {
	head := g.older(t).head()
	return scheduler.Offer{Class: g.class, Count: count, Age: now.Sub(head.Arrived), CostHint: head.CostHint, Prefix: head.Prefix}
}

// stale tells whether a told count misleads an agent about the true one.
func stale(told, count int) bool {
	return told*2 <= count || told > count*2
}

// reach returns to how many agents the free queue of g is offered now, in the
// order of its rank. It doubles each time the head has waited WidenAfter longer,
// and is the whole pool at once if none of it has room. A kind that usually
// waits long goes at first only to agents with room and to the first few, and to
// the others when the head has waited longer than usual.
func (s *Queuer) reach(now identifier.Instant, g *group) int {
	if len(g.free.items) == 0 {
		return 0
	}
	all := len(g.rank)
	if s.cfg.FanoutDoublingTime <= 0 {
		return all
	}
	first := max(s.cfg.InitialFanout, 1)
	waited := now.Sub(g.free.head().Arrived)
	n := doubled(first, waited, s.cfg.FanoutDoublingTime, all)
	withFree := s.withFree(g)
	usual := s.usual(g.class)
	switch {
	case usual >= s.cfg.LongWaitThreshold:
		late := doubled(first, waited-longerThanUsual*usual, s.cfg.FanoutDoublingTime, all)
		n = max(min(n, withFree), late)
	case withFree == 0:
		n = all
	}
	if n < all {
		s.sleep(g, now.Add(s.widening(waited, usual, withFree)))
	}
	return min(n, all)
}

// widening returns after how long the reach of a group may have grown.
func (s *Queuer) widening(waited, usual time.Duration, withFree int) time.Duration {
	if usual < s.cfg.LongWaitThreshold || withFree > 0 {
		return s.cfg.FanoutDoublingTime
	}
	return max(s.cfg.FanoutDoublingTime, longerThanUsual*usual-waited)
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

// withFree returns how many of the first agents in g's rank have room.
func (s *Queuer) withFree(g *group) int {
	n := 0
	for n < len(g.rank) && s.agents[g.rank[n]] != nil && s.agents[g.rank[n]].takes(g.class.Kind) {
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
