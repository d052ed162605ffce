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

// hello returns the description of this agent for the first frame on a link.
func (a *Agent) hello() messenger.Hello {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return messenger.Hello{
		Role:        messenger.AgentRole,
		Name:        string(a.self.Target),
		Incarnation: a.self.Incarnation,
		Pool:        a.state.pool,
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

// serveRouter serves a link to a router until it is lost. It closes an older link of the
// same router. The router's offers are dropped with its link.
func (a *Agent) serveRouter(l *linker.Link) {
	name := identifier.Router(l.Peer.Name)
	a.state.mu.Lock()
	if old := a.state.routers[name]; old != nil {
		old.Close()
		a.state.sched.DropRouter(now(), name)
	}
	a.state.routers[name] = l
	a.send(l, a.initialFrame())
	a.state.mu.Unlock()
	err := l.Serve(a.ctx, func(f messenger.Frame) { a.handleRouterFrame(name, l, f) })
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if a.state.routers[name] == l {
		delete(a.state.routers, name)
		a.state.sched.DropRouter(now(), name)
	}
	a.log.Info("router link lost", zap.String("router", l.Peer.Name), reporter.Error(err))
}

// loadFrame returns a frame with the target's load. The caller holds the lock.
func (a *Agent) loadFrame() messenger.Frame {
	load := a.state.sched.Load()
	return messenger.Frame{Load: &load}
}

// initialFrame returns the first frame on a link to a router, after the hello: the load,
// what the engine serves, and what is known of crashes. The caller holds the lock.
func (a *Agent) initialFrame() messenger.Frame {
	f := a.loadFrame()
	f.Placement = a.placementReport()
	if report := a.state.isolator.FullReport(now()); !report.Empty() {
		f.Crashes = &report
	}
	return f
}

// handleRouterFrame handles a frame from a router. If l is no longer the router's link,
// only the configuration in the frame counts.
func (a *Agent) handleRouterFrame(name identifier.Router, l *linker.Link, f messenger.Frame) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.handleConfigFrame(l, f)
	if a.state.routers[name] != l {
		return
	}
	for _, n := range f.Declines {
		a.apply(a.state.sched.Decline(now(), identifier.Grant{Origin: a.self, Number: n}))
	}
	if len(f.Offers) > 0 {
		a.apply(a.state.sched.UpdateOffers(now(), name, f.Offers))
	}
}

// handleConfigFrame handles the configuration in a frame. If that puts a new one in
// force, all routers and peers are informed. The caller holds the lock.
func (a *Agent) handleConfigFrame(l *linker.Link, f messenger.Frame) {
	adopted, err := spreader.HandleAndReply(a.state.adopter, f, func(reply messenger.Frame) { a.send(l, reply) })
	if err != nil {
		a.log.Warn("configuration not adopted", zap.String("peer", l.Peer.Name), reporter.Error(err))
	}
	if adopted {
		a.applyConfig(a.state.adopter.Current())
		a.broadcastRevision()
	}
}

// broadcastRevision sends the revision to all routers and peers, so that a new
// configuration spreads at once. The caller holds the lock.
func (a *Agent) broadcastRevision() {
	for _, l := range a.state.routers {
		a.send(l, messenger.Frame{})
	}
	for _, p := range a.state.peers {
		a.send(p.link, messenger.Frame{})
	}
}

// sendHeartbeats sends the target's load to each router, and placement changes to each
// peer. The frames also serve as heartbeats. The caller holds the lock.
func (a *Agent) sendHeartbeats() {
	a.state.isolator.Tick(now())
	a.broadcastCrashes()
	a.state.reportedFull = a.state.sched.Load().Free() <= 0
	for _, l := range a.state.routers {
		a.send(l, a.loadFrame())
	}
	placement := a.placementUpdate()
	for _, p := range a.state.peers {
		a.send(p.link, messenger.Frame{Placement: placement})
	}
}

// dialPeers opens the missing links to other agents. Of two agents, the one with the
// lower name dials.
func (a *Agent) dialPeers() {
	a.state.mu.Lock()
	missing := a.missingPeers()
	a.state.mu.Unlock()
	for _, t := range missing {
		go a.dialPeer(t)
	}
}

// missingPeers returns the chosen peers that this agent has to dial, and marks them as
// being dialled. The caller holds the lock.
func (a *Agent) missingPeers() []configurator.Target {
	if !a.state.configured {
		return nil
	}
	var missing []configurator.Target
	for _, t := range a.state.chosenPeers {
		if a.state.peers[t.ID] == nil && a.cfg.Target < t.ID {
			a.state.peers[t.ID] = &peer{}
			missing = append(missing, t)
		}
	}
	return missing
}

// choosePeers returns the other agents of the pool with which the agent of target self
// exchanges counters, at most linker.Bound of them.
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

// dialPeer dials the agent of target t and serves the link until it is lost.
func (a *Agent) dialPeer(t configurator.Target) {
	l, err := a.dialer.Dial(a.ctx, t.Agent)
	if err != nil {
		a.log.Debug("agent not reached", zap.String("peer", string(t.ID)), reporter.Error(err))
		a.dropPeer(t.ID, nil)
		return
	}
	a.servePeer(l)
}

// servePeer serves a link to another agent until it is lost. It closes an older link to
// the same agent.
func (a *Agent) servePeer(l *linker.Link) {
	name := identifier.Target(l.Peer.Name)
	a.state.mu.Lock()
	if old := a.state.peers[name]; old != nil && old.link != nil {
		old.link.Close()
	}
	a.state.peers[name] = &peer{link: l}
	a.send(l, messenger.Frame{Placement: a.placementReport()})
	a.state.mu.Unlock()
	err := l.Serve(a.ctx, func(f messenger.Frame) { a.handlePeerFrame(name, l, f) })
	a.log.Info("agent link lost", zap.String("peer", l.Peer.Name), reporter.Error(err))
	a.dropPeer(name, l)
}

// dropPeer removes a peer if its link is l. A nil l stands for a peer that is being
// dialled.
func (a *Agent) dropPeer(name identifier.Target, l *linker.Link) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if p := a.state.peers[name]; p != nil && p.link == l {
		delete(a.state.peers, name)
	}
}

// handlePeerFrame handles a frame from another agent. Counter rows are merged only if l
// is still the peer's link.
func (a *Agent) handlePeerFrame(name identifier.Target, l *linker.Link, f messenger.Frame) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.handleConfigFrame(l, f)
	a.recordPeerPlacement(name, f)
	if f.Crashes != nil {
		a.state.isolator.Receive(now(), *f.Crashes)
	}
	p := a.state.peers[name]
	if p == nil || p.link != l || f.Counters == nil {
		return
	}
	for _, row := range f.Counters.Rows {
		a.state.table.Merge(now(), row)
	}
	if f.Counters.Relay && !p.wantsRelay {
		p.cursor.Reset() // Rows of other origins were not sent so far.
	}
	p.wantsRelay = f.Counters.Relay
	p.complete = p.complete || f.Counters.Caught
}

// maxRowsPerFrame is the maximum number of counter rows in one frame.
const maxRowsPerFrame = 512

// publishCounters sends each peer the rows that have changed since the last round, and
// returns how many bytes it queued. A link loses no frame as long as it lasts, and a new
// link starts from the first row.
func (a *Agent) publishCounters() int {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	relay := a.needsRelay()
	before := a.traffic.Queued.Load()
	for _, p := range a.state.peers {
		if p.link == nil {
			continue
		}
		catchingUp := !p.cursor.CaughtUp()
		rows := a.state.table.Next(&p.cursor, maxRowsPerFrame, p.wantsRelay)
		if len(rows) == 0 && relay == p.requestedRelay && !catchingUp {
			continue
		}
		p.requestedRelay = relay
		a.send(p.link, messenger.Frame{Counters: &messenger.Counters{Rows: rows, Relay: relay, Caught: p.cursor.CaughtUp()}})
	}
	return int(a.traffic.Queued.Load() - before)
}

// resyncNextPeer makes the next peer in turn receive all counter rows again.
func (a *Agent) resyncNextPeer() {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	names := make([]identifier.Target, 0, len(a.state.peers))
	for t := range a.state.peers {
		names = append(names, t)
	}
	if len(names) == 0 {
		return
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	a.state.resyncCount++
	a.state.peers[names[a.state.resyncCount%len(names)]].cursor.Reset()
}

// updateSynced informs the scheduler whether the fleet's counters are known here. They
// are once every peer has sent all its rows, or after syncTimeout. The caller holds the
// lock.
func (a *Agent) updateSynced() {
	synced := time.Since(a.started) >= syncTimeout
	if !synced && a.state.configured {
		synced = true
		for _, p := range a.state.peers {
			synced = synced && p.complete
		}
	}
	a.state.sched.SetSynced(synced)
}

// needsRelay reports whether a peer has no link, so that its rows have to come through
// other peers. The caller holds the lock.
func (a *Agent) needsRelay() bool {
	for _, p := range a.state.peers {
		if p.link == nil {
			return true
		}
	}
	return false
}
