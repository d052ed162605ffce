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
	// local tells that the agent is in the router's data centre.
	local bool
	room  int
	// servedKinds are the kinds that the target takes work of, nil for all.
	servedKinds map[identifier.Kind]bool
}

// serves tells whether the target takes work of kind k.
func (a *agentView) serves(k identifier.Kind) bool { return a.servedKinds == nil || a.servedKinds[k] }

// SetServedKinds notes of which kinds target t takes work, nil for all. An agent
// that takes no work of a kind is told of it only while no other agent does, so
// that it learns what waits.
func (s *Queuer) SetServedKinds(t identifier.Target, kinds map[identifier.Kind]bool) {
	a := s.agents[t]
	if a == nil || maps.Equal(a.servedKinds, kinds) && (a.servedKinds == nil) == (kinds == nil) {
		return
	}
	a.servedKinds = kinds
	s.rerankPool(a.pool)
}

// SetAgent notes that target t of a pool is linked and has room for more.
func (s *Queuer) SetAgent(t identifier.Target, pool identifier.Pool, local bool, room int) {
	a := s.agents[t]
	if a == nil {
		s.agents[t] = &agentView{pool: pool, local: local, room: room}
		s.rerankPool(pool)
		return
	}
	before := *a
	a.pool, a.local, a.room = pool, local, room
	changed := before.pool != pool || before.local != local
	if changed || (before.room <= 0 && room > 0) {
		s.rerankPool(pool)
	}
}

// DropAgent notes that target t is no longer linked.
func (s *Queuer) DropAgent(t identifier.Target) {
	a := s.agents[t]
	if a == nil {
		return
	}
	delete(s.agents, t)
	for _, g := range s.classes {
		delete(g.offeredCounts, t)
	}
	s.rerankPool(a.pool)
}

// rerankPool orders the agents anew for all classes of a pool.
func (s *Queuer) rerankPool(pool identifier.Pool) {
	for c, g := range s.classes {
		if g.pool != pool {
			continue
		}
		if len(g.unbound.items) > 0 {
			g.rankedAgents = s.rankAgents(g, g.unbound.head())
		}
		s.dirtyClasses[c] = true
	}
}

// rankAgents orders the agents of a group's pool for a queue with this head: those
// with room first, then those in the same data centre, then by a hash that keeps
// a prefix with one agent and spreads everything else. Agents that do not take
// work of the group's kind are left out, unless none does.
func (s *Queuer) rankAgents(g *classState, head *Item) []identifier.Target {
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
func (s *Queuer) candidates(g *classState, head *Item, servingOnly bool) []rankedAgent {
	var found []rankedAgent
	for t, a := range s.agents {
		if a.pool == g.pool && (!servingOnly || a.serves(g.class.Kind)) {
			found = append(found, rankedAgent{t, !a.hasRoomFor(g.class.Kind), !a.local, s.rendezvousHash(head, t)})
		}
	}
	return found
}

// hasRoomFor tells whether the target has room for work of kind k.
func (a *agentView) hasRoomFor(k identifier.Kind) bool { return a.room > 0 && a.serves(k) }

// rankedAgent is one agent in the order in which it is offered a queue.
type rankedAgent struct {
	target identifier.Target
	full   bool
	remote bool
	hash   uint64
}

func (a rankedAgent) before(b rankedAgent) bool {
	if a.full != b.full {
		return !a.full
	}
	if a.remote != b.remote {
		return !a.remote
	}
	return a.hash < b.hash
}

func (s *Queuer) rendezvousHash(head *Item, t identifier.Target) uint64 {
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
	s.markDue(now)
	byTarget := map[identifier.Target][]scheduler.Offer{}
	for c := range s.dirtyClasses {
		g := s.classes[c]
		delete(s.dirtyClasses, c)
		if g == nil || s.delayUpdate(now, g) {
			continue
		}
		s.collectOffers(now, g, byTarget)
		if g.empty() {
			delete(s.classes, c)
		}
	}
	return sortUpdates(byTarget)
}

// collectOffers tells agents of group g: those that the free queue reaches, those with
// requests bound to them, and those that were told before.
func (s *Queuer) collectOffers(now identifier.Instant, g *classState, byTarget map[identifier.Target][]scheduler.Offer) {
	for _, t := range g.rankedAgents[:s.fanout(now, g)] {
		s.offerIfStale(now, g, t, byTarget)
	}
	for t, q := range g.bound {
		s.offerIfStale(now, g, t, byTarget)
		if len(q.items) == 0 {
			delete(g.bound, t)
		}
	}
	for t := range g.offeredCounts {
		s.offerIfStale(now, g, t, byTarget)
	}
}

// offerIfStale offers target t what waits of group g for it, unless it knows.
func (s *Queuer) offerIfStale(now identifier.Instant, g *classState, t identifier.Target, byTarget map[identifier.Target][]scheduler.Offer) {
	if s.agents[t] == nil {
		delete(g.offeredCounts, t)
		return
	}
	count := len(g.unbound.items)
	if q := g.bound[t]; q != nil {
		count += len(q.items)
	}
	offered, known := g.offeredCounts[t]
	switch {
	case count == 0 && known && offered > 0:
		byTarget[t] = append(byTarget[t], scheduler.Offer{Class: g.class})
		delete(g.offeredCounts, t)
	case count == 0:
		delete(g.offeredCounts, t)
	case !known || stale(offered, count):
		g.offeredCounts[t] = count
		byTarget[t] = append(byTarget[t], s.offer(now, g, t, count))
	}
}

func (s *Queuer) offer(now identifier.Instant, g *classState, t identifier.Target, count int) scheduler.Offer {
	head := g.queueFor(t).head()
	return scheduler.Offer{Class: g.class, Count: count, Age: now.Sub(head.Arrived), CostHint: head.CostHint, Prefix: head.Prefix}
}

// stale tells whether a told count misleads an agent about the true one.
func stale(offered, count int) bool {
	return offered*2 <= count || offered > count*2
}

// fanout returns to how many agents the free queue of g is offered now, in the
// order of its rank. It doubles each time the head has waited WidenAfter longer,
// and is the whole pool at once if none of it has room. A kind that usually
// waits long goes at first only to agents with room and to the first few, and to
// the others when the head has waited longer than usual.
func (s *Queuer) fanout(now identifier.Instant, g *classState) int {
	if len(g.unbound.items) == 0 {
		return 0
	}
	total := len(g.rankedAgents)
	if s.cfg.FanoutDoublingTime <= 0 {
		return total
	}
	initial := max(s.cfg.InitialFanout, 1)
	waited := now.Sub(g.unbound.head().Arrived)
	n := doubled(initial, waited, s.cfg.FanoutDoublingTime, total)
	withRoom := s.leadingWithRoom(g)
	usual := s.usualWait(g.class)
	switch {
	case usual >= s.cfg.LongWaitThreshold:
		overdue := doubled(initial, waited-overdueFactor*usual, s.cfg.FanoutDoublingTime, total)
		n = max(min(n, withRoom), overdue)
	case withRoom == 0:
		n = total
	}
	if n < total {
		s.scheduleRecheck(g, now.Add(s.fanoutGrowthDelay(waited, usual, withRoom)))
	}
	return min(n, total)
}

// fanoutGrowthDelay returns after how long the reach of a group may have grown.
func (s *Queuer) fanoutGrowthDelay(waited, usual time.Duration, withRoom int) time.Duration {
	if usual < s.cfg.LongWaitThreshold || withRoom > 0 {
		return s.cfg.FanoutDoublingTime
	}
	return max(s.cfg.FanoutDoublingTime, overdueFactor*usual-waited)
}

// overdueFactor is how many times the usual wait counts as longer than usual.
const overdueFactor = 2

// doubled returns n doubled once for each step in waited, until it is at least
// most.
func doubled(n int, waited, step time.Duration, limit int) int {
	for ; waited >= step && n < limit; waited -= step {
		n *= 2
	}
	return n
}

// leadingWithRoom returns how many of the first agents in g's rank have room.
func (s *Queuer) leadingWithRoom(g *classState) int {
	n := 0
	for n < len(g.rankedAgents) && s.agents[g.rankedAgents[n]] != nil && s.agents[g.rankedAgents[n]].hasRoomFor(g.class.Kind) {
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
