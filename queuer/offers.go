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
	// local reports whether the agent is in the router's data centre.
	local bool
	// room is how many more requests the target can take. It may be negative.
	room int
	// servedKinds are the kinds of which the target takes requests; nil means all.
	servedKinds map[identifier.Kind]bool
}

// serves reports whether the target takes requests of kind k.
func (a *agentView) serves(k identifier.Kind) bool { return a.servedKinds == nil || a.servedKinds[k] }

// SetServedKinds sets the kinds of which target t takes requests; nil means all. An
// agent that takes no requests of a kind is offered unbound requests of it only while
// no agent of the pool takes any, so that it learns what waits.
func (s *Queuer) SetServedKinds(t identifier.Target, kinds map[identifier.Kind]bool) {
	a := s.agents[t]
	if a == nil || maps.Equal(a.servedKinds, kinds) && (a.servedKinds == nil) == (kinds == nil) {
		return
	}
	a.servedKinds = kinds
	s.rerankPool(a.pool)
}

// SetAgent records that target t of a pool is linked, whether it is local, that is in
// the router's data centre, and how many more requests it has room for.
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

// DropAgent records that target t is no longer linked.
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

// rerankPool ranks the agents again for all classes of a pool.
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

// rankAgents orders the agents of the pool of g for an unbound queue with this first
// request: those with room first, then those in the same data centre, then by a hash
// that keeps a prefix with one agent and spreads everything else. Agents that do not
// take requests of the kind are left out, unless none does.
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

// candidates returns the agents of the pool of g in no order, with servingOnly just
// those that take requests of its kind.
func (s *Queuer) candidates(g *classState, head *Item, servingOnly bool) []rankedAgent {
	var found []rankedAgent
	for t, a := range s.agents {
		if a.pool == g.pool && (!servingOnly || a.serves(g.class.Kind)) {
			found = append(found, rankedAgent{t, !a.hasRoomFor(g.class.Kind), !a.local, s.rendezvousHash(head, t)})
		}
	}
	return found
}

// hasRoomFor reports whether the target takes requests of kind k and has room for one.
func (a *agentView) hasRoomFor(k identifier.Kind) bool { return a.room > 0 && a.serves(k) }

// rankedAgent is one agent with the keys by which agents are ordered.
type rankedAgent struct {
	target identifier.Target
	full   bool
	remote bool
	hash   uint64
}

// before reports whether a queue is offered to a before b.
func (a rankedAgent) before(b rankedAgent) bool {
	if a.full != b.full {
		return !a.full
	}
	if a.remote != b.remote {
		return !a.remote
	}
	return a.hash < b.hash
}

// rendezvousHash returns the hash of target t with the prompt prefix of head, or with
// its request id if it has no prefix.
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

// Update holds the offers to send to one agent.
type Update struct {
	Target identifier.Target
	Offers []scheduler.Offer
}

// Updates returns the offers to send to the agents now, sorted by target. An agent is
// sent a class again only when the count in its latest offer is at most half of the
// actual count or more than twice as high, or when nothing waits any more.
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

// collectOffers adds the offers of class g to send now: to the agents within the fanout
// of the unbound queue, to those with requests bound to them, and to those that have an
// offer.
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

// offerIfStale adds an offer of class g for target t if the latest one is stale, or a
// withdrawal if nothing waits that t may run.
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

// offer returns the offer of class g for target t, with the age and hints of the
// request that t would get first.
func (s *Queuer) offer(now identifier.Instant, g *classState, t identifier.Target, count int) scheduler.Offer {
	head := g.queueFor(t).head()
	return scheduler.Offer{Class: g.class, Count: count, Age: now.Sub(head.Arrived), CostHint: head.CostHint, Prefix: head.Prefix}
}

// stale reports whether an agent's count is at most half of the actual count or more
// than twice as high.
func stale(offered, count int) bool {
	return offered*2 <= count || offered > count*2
}

// fanout returns to how many of the ranked agents the unbound queue of g is offered
// now. It starts at Config.InitialFanout, doubles with each Config.FanoutDoublingTime
// that the first request has waited, and is the whole pool at once if no agent has
// room. A class whose usual wait is at least Config.LongWaitThreshold is instead
// offered, beyond the initial fanout, only to agents with room until its first request
// has waited overdueFactor times as long as usual.
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

// fanoutGrowthDelay returns the time after which the fanout may have grown.
func (s *Queuer) fanoutGrowthDelay(waited, usual time.Duration, withRoom int) time.Duration {
	if usual < s.cfg.LongWaitThreshold || withRoom > 0 {
		return s.cfg.FanoutDoublingTime
	}
	return max(s.cfg.FanoutDoublingTime, overdueFactor*usual-waited)
}

// overdueFactor is the multiple of the usual wait after which a request has waited
// longer than usual.
const overdueFactor = 2

// doubled returns n doubled once for each step in waited, until it is at least limit.
func doubled(n int, waited, step time.Duration, limit int) int {
	for ; waited >= step && n < limit; waited -= step {
		n *= 2
	}
	return n
}

// leadingWithRoom returns how many agents at the start of g.rankedAgents have room.
func (s *Queuer) leadingWithRoom(g *classState) int {
	n := 0
	for n < len(g.rankedAgents) && s.agents[g.rankedAgents[n]] != nil && s.agents[g.rankedAgents[n]].hasRoomFor(g.class.Kind) {
		n++
	}
	return n
}

// sortUpdates returns the updates sorted by target, each with its offers sorted by
// class.
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
