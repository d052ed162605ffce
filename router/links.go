package router

import (
	"buckthorndrum/reporter"

	"go.uber.org/zap"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/linker"
	"buckthorndrum/messenger"
	"buckthorndrum/spreader"
)

// hello returns the message with which this router introduces itself on a new link.
func (r *Router) hello() messenger.Hello {
	return messenger.Hello{Role: messenger.RouterRole, Name: string(r.cfg.Name), Incarnation: r.incarnation, DataCentre: r.cfg.DataCentre}
}

// dialAgents opens the links that are missing: to a subset of each pool, or to the seeds
// while there is no configuration.
func (r *Router) dialAgents() {
	r.state.mu.Lock()
	wanted := r.wantedAgents()
	var missing []configurator.Target
	for _, t := range wanted {
		if r.state.agents[t.ID] == nil {
			r.state.agents[t.ID] = &agentState{address: t.Agent}
			missing = append(missing, t)
		}
	}
	r.state.mu.Unlock()
	for _, t := range missing {
		go r.dialAgent(t)
	}
}

// wantedAgents returns the agents to link to. The caller holds the lock.
func (r *Router) wantedAgents() []configurator.Target {
	if r.state.adopter.Current() == nil {
		return r.seeds()
	}
	return r.state.wanted
}

// chooseAgents chooses a subset of each pool's agents, by region and rendezvous hashing.
func (r *Router) chooseAgents(s *configurator.Snapshot) []configurator.Target {
	pools := map[identifier.Pool][]linker.Candidate{}
	for _, t := range s.Document.Targets {
		pools[t.Pool] = append(pools[t.Pool], linker.Candidate{Name: string(t.ID), Near: t.Region == r.cfg.Region})
	}
	var wanted []configurator.Target
	for _, members := range pools {
		for _, name := range linker.Subset(string(r.cfg.Name), members, linker.Bound) {
			t, _ := s.Target(identifier.Target(name))
			wanted = append(wanted, t)
		}
	}
	return wanted
}

// seeds returns the seeds as targets with made-up names, because only their addresses are
// known.
func (r *Router) seeds() []configurator.Target {
	ts := make([]configurator.Target, len(r.cfg.Seeds))
	for i, s := range r.cfg.Seeds {
		ts[i] = configurator.Target{ID: identifier.Target("seed-" + s), Agent: s}
	}
	return ts
}

// dialAgent opens a link to the agent of target t and serves it until it is lost.
func (r *Router) dialAgent(t configurator.Target) {
	l, err := r.dialer.Dial(r.ctx, t.Agent)
	if err != nil {
		r.log.Debug("agent not reached", zap.String("target", string(t.ID)), reporter.Error(err))
		r.dropAgent(t.ID, nil)
		return
	}
	r.serveAgent(t, l)
}

// serveAgent serves link l to the agent of target t until the link is lost.
func (r *Router) serveAgent(t configurator.Target, l *linker.Link) {
	r.state.mu.Lock()
	a := r.state.agents[t.ID]
	if a == nil {
		r.state.mu.Unlock()
		l.Close()
		return
	}
	a.link = l
	a.origin = identifier.Origin{Target: identifier.Target(l.Peer.Name), Incarnation: l.Peer.Incarnation}
	a.pool = t.Pool
	r.sendFrame(l, messenger.Frame{})
	r.state.mu.Unlock()
	err := l.Serve(r.ctx, func(f messenger.Frame) { r.handleFrame(t.ID, l, f) })
	r.log.Info("agent link lost", zap.String("target", string(t.ID)), reporter.Error(err))
	r.dropAgent(t.ID, l)
}

// dropAgent removes an agent, and no longer offers it work, if l is still its link.
func (r *Router) dropAgent(t identifier.Target, l *linker.Link) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if a := r.state.agents[t]; a != nil && a.link == l {
		delete(r.state.agents, t)
		r.state.queues.DropAgent(t)
	}
}

// handleFrame handles a frame that the agent of target t sent on link l.
func (r *Router) handleFrame(t identifier.Target, l *linker.Link, f messenger.Frame) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.handleConfig(l, f)
	a := r.state.agents[t]
	if a == nil || a.link != l {
		return
	}
	a.leaving = f.Leaving
	if f.Load != nil {
		a.load = *f.Load
	}
	if f.Placement != nil {
		a.placement = f.Placement
		r.updateServed(t, a)
	}
	if f.Crashes != nil {
		r.receiveCrashes(*f.Crashes)
	}
	r.updateInQueues(t, a)
	r.handleGrants(t, a, f.Grants)
}

// updateInQueues updates in the queues whether agent a may be offered work, how much and
// of which kinds. The caller holds the lock.
func (r *Router) updateInQueues(t identifier.Target, a *agentState) {
	s := r.state.adopter.Current()
	if s == nil {
		return
	}
	target, ok := s.Target(t)
	if a.link == nil {
		return
	}
	if a.leaving || r.state.members.leaving[t] || !ok || target.State == configurator.Leaving {
		r.state.queues.DropAgent(t)
		return
	}
	a.pool = target.Pool
	r.state.queues.SetAgent(t, target.Pool, target.DataCentre == r.cfg.DataCentre, a.load.Free())
	r.state.queues.SetServedKinds(t, a.served)
}

// updateServed sets which kinds agent a serves, after its report or the configuration has
// changed. The caller holds the lock.
func (r *Router) updateServed(t identifier.Target, a *agentState) {
	s := r.state.adopter.Current()
	if a.placement == nil || s == nil {
		return
	}
	target, _ := s.Target(t)
	a.served = s.ServedKinds(target.Pool, *a.placement)
}

// handleGrants assigns each grant to a waiting request, and declines the grants for which
// none waits. The caller holds the lock.
func (r *Router) handleGrants(t identifier.Target, a *agentState, gs []messenger.Grant) {
	var declines []uint64
	for _, g := range gs {
		if !r.assignGrant(t, a, g) {
			declines = append(declines, g.Number)
		}
	}
	if len(declines) > 0 {
		r.sendFrame(a.link, messenger.Frame{Declines: declines})
	}
}

// assignGrant assigns grant g to a waiting request, or returns false if there is none.
func (r *Router) assignGrant(t identifier.Target, a *agentState, g messenger.Grant) bool {
	it, ok := r.state.queues.Dequeue(now(), t, g.Class)
	if !ok {
		return false
	}
	c := r.state.calls[it.Request]
	if c == nil {
		return false
	}
	c.grants <- addressedGrant{id: identifier.Grant{Origin: a.origin, Number: g.Number}, address: a.address}
	return true
}

// handleConfig handles the configuration in a frame. The caller holds the lock.
func (r *Router) handleConfig(l *linker.Link, f messenger.Frame) {
	adopted, err := spreader.HandleAndReply(r.state.adopter, f, func(reply messenger.Frame) { r.sendFrame(l, reply) })
	if err != nil {
		r.log.Warn("configuration not adopted", zap.String("peer", l.Peer.Name), reporter.Error(err))
	}
	if adopted {
		r.applyConfig(r.state.adopter.Current())
	}
}

// sendHeartbeats sends the revision in force to each linked agent to which nothing was
// sent for linker.BeatAfter.
func (r *Router) sendHeartbeats() {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	for _, a := range r.state.agents {
		if a.link != nil && a.link.Silence() >= linker.BeatAfter {
			r.sendFrame(a.link, messenger.Frame{})
		}
	}
}

// dropUnwanted closes the links to agents that are no longer wanted.
func (r *Router) dropUnwanted() {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	wanted := map[identifier.Target]bool{}
	for _, t := range r.wantedAgents() {
		wanted[t.ID] = true
	}
	for t, a := range r.state.agents {
		if a.link != nil && !wanted[t] {
			a.link.Close()
		}
	}
}
