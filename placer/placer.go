package placer

import (
	"time"

	"buckthorndrum/identifier"
)

// Placer decides which model one engine has loaded. It is not safe for
// concurrent use.
type Placer struct {
	cfg Config
	// engine is the last state that the engine reported. It is valid only if
	// engineKnown is set.
	engine      EngineState
	engineKnown bool
	// engineReportedAt is when engine was received. engineCurrent is set if that was
	// at most maxReportAge before the last tick.
	engineReportedAt identifier.Instant
	engineCurrent    bool
	local            LocalState
	peers            map[identifier.Target]*peer
	// next is the model that the engine is switching to, empty if it stays.
	next identifier.Model
	// orderedAt is when the order to load next was issued, zero if none is
	// outstanding.
	orderedAt identifier.Instant
	// modelReadyAt is when the model of the last switch became ready, zero if the
	// placer has completed no switch.
	modelReadyAt identifier.Instant
	// candidate is the model that there is a reason to load, empty for none, and
	// candidateSince is when it became the candidate.
	candidate      identifier.Model
	candidateSince identifier.Instant
	// evaluatedAt is when the placer last checked whether another model should be
	// loaded.
	evaluatedAt identifier.Instant
	// lastTurn is the last turn in which an order was issued, -1 before the first.
	lastTurn int64
	// fence is the fence number of the last order. It only increases.
	fence uint64
	// lastSent is the report last sent to the other agents. latest is the newest
	// report, which may differ from it only in usage and waiting work.
	lastSent Report
	latest   Report
	// lastSentAt is when lastSent was sent.
	lastSentAt identifier.Instant
}

// peer is the known state of another agent of the pool.
type peer struct {
	report Report
	// lastSeen is when the peer was last known to be alive.
	lastSeen identifier.Instant
	// nextSince is when report.Next last changed.
	nextSince identifier.Instant
}

// LocalState is the agent's information about its own target.
type LocalState struct {
	// Idle is set if no grant is outstanding and no request is running or queued.
	Idle bool
	// Leaving is set if the target takes no new work of any kind.
	Leaving bool
	// Used is the fraction of the slots in use, from 0 to 1.
	Used float64
	// Waiting is the sum of the weights of the workspaces that have waiting requests,
	// by kind.
	Waiting map[identifier.Kind]float64
}

// Decision is what the agent has to carry out.
type Decision struct {
	// Served are the kinds for which the target takes work.
	Served map[identifier.Kind]bool
	// Order is the order to send to the engine, nil for none.
	Order *LoadOrder
	// Announce is the report to send at once to the other agents and the routers, nil
	// for none.
	Announce *Report
}

// New returns a placer that has no information about its engine or its peers.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, peers: map[identifier.Target]*peer{}, lastTurn: -1}
}

// Configure replaces the configuration.
func (p *Placer) Configure(cfg Config) { p.cfg = cfg }

// UpdateEngine records the state that the engine has reported. The report may be
// delayed.
func (p *Placer) UpdateEngine(now identifier.Instant, s EngineState) {
	p.engine, p.engineKnown, p.engineReportedAt = s.sanitized(), true, now
	if p.orderedAt != 0 && s.Model == p.next && !s.Loading {
		p.next, p.orderedAt, p.modelReadyAt = "", 0, now
	}
}

// UpdatePeer records the report of the agent beside target t.
func (p *Placer) UpdatePeer(now identifier.Instant, t identifier.Target, r Report) {
	q := p.peers[t]
	if q == nil {
		q = &peer{}
		p.peers[t] = q
	}
	if r.Next != q.report.Next {
		q.nextSince = now
	}
	q.report = r
	q.lastSeen = now
}

// MarkPeerAlive records that the agent beside target t is alive. It has no
// effect if no report of that agent was received.
func (p *Placer) MarkPeerAlive(now identifier.Instant, t identifier.Target) {
	if q := p.peers[t]; q != nil {
		q.lastSeen = now
	}
}

// Tick decides what the target serves and loads at time now.
func (p *Placer) Tick(now identifier.Instant, local LocalState) Decision {
	p.local = local
	p.engineCurrent = p.engineKnown && now.Sub(p.engineReportedAt) <= maxReportAge
	p.dropSilentPeers(now)
	if p.engineKnown {
		p.advance(now)
	}
	d := Decision{Order: p.nextOrder(now)}
	d.Served = p.servedKinds()
	d.Announce = p.immediateReport(now, p.ownReport())
	return d
}

// dropSilentPeers removes peers that were not known to be alive within
// peerTimeout.
func (p *Placer) dropSilentPeers(now identifier.Instant) {
	for t, q := range p.peers {
		if now.Sub(q.lastSeen) > peerTimeout {
			delete(p.peers, t)
		}
	}
}

// advance decides on the transitions between serving, draining and loading.
func (p *Placer) advance(now identifier.Instant) {
	switch {
	case p.orderedAt != 0:
		if !p.engine.Loading && now.Sub(p.orderedAt) > orderTimeout {
			p.orderedAt = 0 // The order was lost, refused or undone.
		}
	case p.next == "":
		if now.Sub(p.evaluatedAt) >= evaluateInterval {
			p.evaluatedAt = now
			p.evaluate(now)
		}
	case p.local.Leaving || !p.cfg.needsModel(p.next) || !p.mayLeave():
		p.next = "" // The switch is no longer wanted, or the model needs this target.
	}
}

// evaluate starts the switch to another model if the reason for it has persisted
// for long enough and the target's turn to load weights is near.
func (p *Placer) evaluate(now identifier.Instant) {
	m, position := p.chooseModel(now)
	if m != p.candidate {
		p.candidate, p.candidateSince = m, now
	}
	if m == "" || p.local.Leaving {
		return
	}
	if now.Sub(p.candidateSince) < stabilizationTime+time.Duration(position)*staggerPerTarget {
		return
	}
	if p.untilTurn(now) <= drainLead {
		p.next = m
	}
}

// nextOrder returns the order to issue now, nil for none.
func (p *Placer) nextOrder(now identifier.Instant) *LoadOrder {
	if !p.engineKnown || p.orderedAt != 0 || p.engine.Loading || p.local.Leaving {
		return nil
	}
	m := p.next
	if m == "" && p.lacksAdapter() {
		m = p.engine.Model // Adapters can be loaded while requests run.
	}
	if m == "" || (m == p.next && !p.local.Idle) || !p.takeTurn(now) {
		return nil
	}
	if m == p.next {
		p.orderedAt = now
	}
	p.fence = max(p.fence, p.engine.Fence, uint64(now)/uint64(time.Millisecond)) + 1
	return &LoadOrder{Model: m, Adapters: p.cfg.adapters(m), Fence: p.fence}
}

// lacksAdapter reports whether an adapter for the loaded model is missing.
func (p *Placer) lacksAdapter() bool {
	for _, a := range p.cfg.adapters(p.engine.Model) {
		if !p.engine.hasAdapter(a) {
			return true
		}
	}
	return false
}

// servedKinds returns the kinds for which the target takes work.
func (p *Placer) servedKinds() map[identifier.Kind]bool {
	ks := map[identifier.Kind]bool{}
	if !p.engineKnown || p.next != "" {
		return ks
	}
	for k, cfg := range p.cfg.Kinds {
		if p.engine.serves(cfg) {
			ks[k] = true
		}
	}
	return ks
}

// HasModelChoice reports whether the pool has more than one model. If it has
// not, no agent needs usage or waiting work.
func (p *Placer) HasModelChoice() bool { return len(p.cfg.models()) > 1 }

func (p *Placer) ownReport() Report {
	return Report{
		Model:    p.engine.Model,
		Adapters: p.engine.Adapters,
		Next:     p.next,
		Ready:    p.serving(),
		Used:     uint8(p.local.Used*usedSteps + 0.5),
		Waiting:  waitingKinds(p.local.Waiting),
	}
}

// serving reports whether other agents can rely on the target to take work for
// its model. An agent that was paused, or whose engine does not answer, cannot
// know that: its last engine report is too old.
func (p *Placer) serving() bool {
	return p.engineCurrent && p.next == "" && !p.engine.Loading && !p.local.Leaving && p.cfg.needsModel(p.engine.Model)
}
