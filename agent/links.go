package agent

import (
	"net/http"
	"sort"
	"time"

	"buckthorndrum/reporter"

	"go.uber.org/zap"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/linker"
	"buckthorndrum/messenger"
	"buckthorndrum/spreader"
)

func (a *Agent) hello() messenger.Hello {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	return messenger.Hello{
		Role:        messenger.AgentRole,
		Name:        string(a.self.Target),
		Incarnation: a.self.Incarnation,
		Pool:        a.board.pool,
		DataCentre:  a.cfg.DataCentre,
	}
}

// acceptLink serves a link that a router or another agent has opened.
func (a *Agent) acceptLink(w http.ResponseWriter, r *http.Request) {
	l, err := linker.Accept(w, r, a.hello(), &a.traffic)
	if err != nil {
		a.log.Warn("link not accepted", reporter.Error(err))
		return
	}
	if l.Peer.Role == messenger.RouterRole {
		a.serveRouter(l)
		return
	}
	a.servePeer(l)
}

func (a *Agent) serveRouter(l *linker.Link) {
	name := identifier.Router(l.Peer.Name)
	a.board.mu.Lock()
	if old := a.board.routers[name]; old != nil {
		old.Close()
		a.board.sched.DropRouter(now(), name)
	}
	a.board.routers[name] = l
	a.send(l, a.introduction())
	a.board.mu.Unlock()
	err := l.Serve(a.ctx, func(f messenger.Frame) { a.fromRouter(name, l, f) })
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	if a.board.routers[name] == l {
		delete(a.board.routers, name)
		a.board.sched.DropRouter(now(), name)
	}
	a.log.Info("router link lost", zap.String("router", l.Peer.Name), reporter.Error(err))
}

// status is the frame that tells a router of the target's occupancy.
func (a *Agent) status() messenger.Frame {
	load := a.board.sched.Load()
	return messenger.Frame{Load: &load}
}

// introduction is the first frame on a link: the occupancy, and what the engine
// serves.
func (a *Agent) introduction() messenger.Frame {
	f := a.status()
	f.Placement = a.placement()
	return f
}

func (a *Agent) fromRouter(name identifier.Router, l *linker.Link, f messenger.Frame) {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	a.spread(l, f)
	if a.board.routers[name] != l {
		return
	}
	for _, n := range f.Declines {
		a.apply(a.board.sched.Decline(now(), identifier.Grant{Origin: a.self, Number: n}))
	}
	if len(f.Offers) > 0 {
		a.apply(a.board.sched.UpdateOffers(now(), name, f.Offers))
	}
}

// spread handles the configuration in a frame. The caller holds the lock.
func (a *Agent) spread(l *linker.Link, f messenger.Frame) {
	adopted, err := spreader.HandleAndReply(a.board.adopter, f, func(reply messenger.Frame) { a.send(l, reply) })
	if err != nil {
		a.log.Warn("configuration not taken", zap.String("peer", l.Peer.Name), reporter.Error(err))
	}
	if adopted {
		a.enforce(a.board.adopter.Current())
		a.tellAll()
	}
}

// tellAll sends the revision to everybody, so that it spreads at once. The
// caller holds the lock.
func (a *Agent) tellAll() {
	for _, l := range a.board.routers {
		a.send(l, messenger.Frame{})
	}
	for _, p := range a.board.peers {
		a.send(p.link, messenger.Frame{})
	}
}

// beat sends each router the target's occupancy, which is a heartbeat too. The
// caller holds the lock.
func (a *Agent) beat() {
	a.board.toldFull = a.board.sched.Load().Free() <= 0
	for _, l := range a.board.routers {
		a.send(l, a.status())
	}
	news := a.placementNews()
	for _, p := range a.board.peers {
		a.send(p.link, messenger.Frame{Placement: news})
	}
}

// dialPeers opens the links to other agents that are missing. Of two agents the
// one with the lower name dials.
func (a *Agent) dialPeers() {
	a.board.mu.Lock()
	missing := a.missingPeers()
	a.board.mu.Unlock()
	for _, t := range missing {
		go a.dialPeer(t)
	}
}

// missingPeers returns the chosen peers that this agent has to dial, and notes
// that they are being dialled. The caller holds the lock.
func (a *Agent) missingPeers() []configurator.Target {
	if !a.board.configured {
		return nil
	}
	var missing []configurator.Target
	for _, t := range a.board.wanted {
		if a.board.peers[t.ID] == nil && a.cfg.Target < t.ID {
			a.board.peers[t.ID] = &peer{}
			missing = append(missing, t)
		}
	}
	return missing
}

// choosePeers chooses a subset of the other agents of the target's pool.
func choosePeers(s *configurator.Snapshot, self configurator.Target) []configurator.Target {
	var members []linker.Candidate
	for _, t := range s.Document.Targets {
		if t.Pool == self.Pool {
			members = append(members, linker.Candidate{Name: string(t.ID), Near: t.Region == self.Region})
		}
	}
	var chosen []configurator.Target
	for _, name := range linker.Subset(string(self.ID), members, linker.Bound) {
		t, _ := s.Target(identifier.Target(name))
		chosen = append(chosen, t)
	}
	return chosen
}

func (a *Agent) dialPeer(t configurator.Target) {
	l, err := a.dialer.Dial(a.ctx, t.Agent)
	if err != nil {
		a.log.Debug("agent not reached", zap.String("peer", string(t.ID)), reporter.Error(err))
		a.dropPeer(t.ID, nil)
		return
	}
	a.servePeer(l)
}

func (a *Agent) servePeer(l *linker.Link) {
	name := identifier.Target(l.Peer.Name)
	a.board.mu.Lock()
	if old := a.board.peers[name]; old != nil && old.link != nil {
		old.link.Close()
	}
	a.board.peers[name] = &peer{link: l}
	a.send(l, messenger.Frame{Placement: a.placement()})
	a.board.mu.Unlock()
	err := l.Serve(a.ctx, func(f messenger.Frame) { a.fromPeer(name, l, f) })
	a.log.Info("agent link lost", zap.String("peer", l.Peer.Name), reporter.Error(err))
	a.dropPeer(name, l)
}

// dropPeer forgets a peer if link l is still its link.
func (a *Agent) dropPeer(name identifier.Target, l *linker.Link) {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	if p := a.board.peers[name]; p != nil && p.link == l {
		delete(a.board.peers, name)
	}
}

func (a *Agent) fromPeer(name identifier.Target, l *linker.Link, f messenger.Frame) {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	a.spread(l, f)
	a.hear(name, f)
	p := a.board.peers[name]
	if p == nil || p.link != l || f.Counters == nil {
		return
	}
	for _, row := range f.Counters.Rows {
		a.board.table.Merge(now(), row)
	}
	if f.Counters.Relay && !p.relay {
		p.cursor.Reset() // Rows of other origins were left out so far.
	}
	p.relay = f.Counters.Relay
	p.caught = p.caught || f.Counters.Caught
}

// maxRows bounds the counter rows in one frame.
const maxRows = 512

// publish sends each peer the rows that changed since the last time. A link
// loses nothing while it lasts, and a new one starts from the first row. It
// returns how many bytes that took.
func (a *Agent) publish() int {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	relay := a.wantsRelay()
	before := a.traffic.Queued.Load()
	for _, p := range a.board.peers {
		if p.link == nil {
			continue
		}
		fresh := !p.cursor.CaughtUp()
		rows := a.board.table.Next(&p.cursor, maxRows, p.relay)
		if len(rows) == 0 && relay == p.told && !fresh {
			continue
		}
		p.told = relay
		a.send(p.link, messenger.Frame{Counters: &messenger.Counters{Rows: rows, Relay: relay, Caught: p.cursor.CaughtUp()}})
	}
	return int(a.traffic.Queued.Load() - before)
}

// resync has the next peer in turn told everything again.
func (a *Agent) resync() {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	names := make([]identifier.Target, 0, len(a.board.peers))
	for t := range a.board.peers {
		names = append(names, t)
	}
	if len(names) == 0 {
		return
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	a.board.turn++
	a.board.peers[names[a.board.turn%len(names)]].cursor.Reset()
}

// sync tells the scheduler whether the fleet's counters are known here: every
// peer has told everything, or has had the time to. The caller holds the lock.
func (a *Agent) sync() {
	synced := time.Since(a.started) >= syncWait
	if !synced && a.board.configured {
		synced = true
		for _, p := range a.board.peers {
			synced = synced && p.caught
		}
	}
	a.board.sched.SetSynced(synced)
}

// wantsRelay tells whether a peer is not linked, so that its rows have to come
// by way of the others.
func (a *Agent) wantsRelay() bool {
	for _, p := range a.board.peers {
		if p.link == nil {
			return true
		}
	}
	return false
}
