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

func (r *Router) hello() messenger.Hello {
	return messenger.Hello{Role: messenger.RouterRole, Name: string(r.cfg.Name), Incarnation: r.inc, DataCentre: r.cfg.DataCentre}
}

// dialAgents opens the links that are missing: to a subset of each pool, or to
// the seeds while there is no configuration.
func (r *Router) dialAgents() {
	r.board.mu.Lock()
	wanted := r.wantedAgents()
	var missing []configurator.Target
	for _, t := range wanted {
		if r.board.agents[t.ID] == nil {
			r.board.agents[t.ID] = &agentLink{address: t.Agent}
			missing = append(missing, t)
		}
	}
	r.board.mu.Unlock()
	for _, t := range missing {
		go r.dialAgent(t)
	}
}

// wantedAgents returns the agents to be linked to. The caller holds the lock.
func (r *Router) wantedAgents() []configurator.Target {
	if r.board.adopter.Current() == nil {
		return r.seeds()
	}
	return r.board.wanted
}

// chooseAgents chooses a subset of each pool's agents.
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

// seeds returns the seed addresses as targets without a known name.
func (r *Router) seeds() []configurator.Target {
	ts := make([]configurator.Target, len(r.cfg.Seeds))
	for i, s := range r.cfg.Seeds {
		ts[i] = configurator.Target{ID: identifier.Target("seed-" + s), Agent: s}
	}
	return ts
}

func (r *Router) dialAgent(t configurator.Target) {
	l, err := r.dialer.Dial(r.ctx, t.Agent)
	if err != nil {
		r.log.Debug("agent not reached", zap.String("target", string(t.ID)), reporter.Error(err))
		r.dropAgent(t.ID, nil)
		return
	}
	r.serveAgent(t, l)
}

func (r *Router) serveAgent(t configurator.Target, l *linker.Link) {
	r.board.mu.Lock()
	a := r.board.agents[t.ID]
	if a == nil {
		r.board.mu.Unlock()
		l.Close()
		return
	}
	a.link = l
	a.origin = identifier.Origin{Target: identifier.Target(l.Peer.Name), Incarnation: l.Peer.Incarnation}
	a.pool = t.Pool
	r.send(l, messenger.Frame{})
	r.board.mu.Unlock()
	err := l.Serve(r.ctx, func(f messenger.Frame) { r.fromAgent(t.ID, l, f) })
	r.log.Info("agent link lost", zap.String("target", string(t.ID)), reporter.Error(err))
	r.dropAgent(t.ID, l)
}

// dropAgent forgets an agent if link l is still its link.
func (r *Router) dropAgent(t identifier.Target, l *linker.Link) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	if a := r.board.agents[t]; a != nil && a.link == l {
		delete(r.board.agents, t)
		r.board.queues.DropAgent(t)
	}
}

func (r *Router) fromAgent(t identifier.Target, l *linker.Link, f messenger.Frame) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	r.spread(l, f)
	a := r.board.agents[t]
	if a == nil || a.link != l {
		return
	}
	a.leaving = f.Leaving
	if f.Load != nil {
		a.load = *f.Load
	}
	if f.Placement != nil {
		a.placement = f.Placement
		r.noteServed(t, a)
	}
	r.place(t, a)
	r.granted(t, a, f.Grants)
}

// place tells the queues whether and how agent a may be offered work.
func (r *Router) place(t identifier.Target, a *agentLink) {
	s := r.board.adopter.Current()
	if s == nil {
		return
	}
	named, ok := s.Target(t)
	if a.link == nil {
		return
	}
	if a.leaving || r.board.members.leaving[t] || !ok || named.State == configurator.Leaving {
		r.board.queues.DropAgent(t)
		return
	}
	a.pool = named.Pool
	r.board.queues.SetAgent(t, named.Pool, named.DataCentre == r.cfg.DataCentre, a.load.Free())
	r.board.queues.SetServedKinds(t, a.served)
}

// noteServed works out what agent a serves, after its report or the
// configuration has changed. The caller holds the lock.
func (r *Router) noteServed(t identifier.Target, a *agentLink) {
	s := r.board.adopter.Current()
	if a.placement == nil || s == nil {
		return
	}
	named, _ := s.Target(t)
	a.served = s.ServedKinds(named.Pool, *a.placement)
}

// granted hands a waiting request to each grant, or declines it.
func (r *Router) granted(t identifier.Target, a *agentLink, gs []messenger.Grant) {
	var declines []uint64
	for _, g := range gs {
		if !r.grant(t, a, g) {
			declines = append(declines, g.Number)
		}
	}
	if len(declines) > 0 {
		r.send(a.link, messenger.Frame{Declines: declines})
	}
}

func (r *Router) grant(t identifier.Target, a *agentLink, g messenger.Grant) bool {
	it, ok := r.board.queues.Dequeue(now(), t, g.Class)
	if !ok {
		return false
	}
	c := r.board.calls[it.Request]
	if c == nil {
		return false
	}
	c.grants <- granted{id: identifier.Grant{Origin: a.origin, Number: g.Number}, address: a.address}
	return true
}

// spread handles the configuration in a frame. The caller holds the lock.
func (r *Router) spread(l *linker.Link, f messenger.Frame) {
	adopted, err := spreader.HandleAndReply(r.board.adopter, f, func(reply messenger.Frame) { r.send(l, reply) })
	if err != nil {
		r.log.Warn("configuration not taken", zap.String("peer", l.Peer.Name), reporter.Error(err))
	}
	if adopted {
		r.enforce(r.board.adopter.Current())
	}
}

// beat sends a heartbeat with the revision in force to each agent that was sent
// nothing lately.
func (r *Router) beat() {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	for _, a := range r.board.agents {
		if a.link != nil && a.link.Silence() >= linker.BeatAfter {
			r.send(a.link, messenger.Frame{})
		}
	}
}

// dropUnwanted closes the links that the configuration no longer asks for.
func (r *Router) dropUnwanted() {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	wanted := map[identifier.Target]bool{}
	for _, t := range r.wantedAgents() {
		wanted[t.ID] = true
	}
	for t, a := range r.board.agents {
		if a.link != nil && !wanted[t] {
			a.link.Close()
		}
	}
}
