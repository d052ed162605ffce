package placer

import (
	"time"

	"buckthorndrum/identifier"
)

// Placer is the state of one agent's decisions. It is not safe for concurrent
// use.
type Placer struct {
	cfg Config
	// engine is what the engine reported last. It is nothing until known.
	engine      EngineState
	engineKnown bool
	// engineReportedAt is when that was, and current tells that it was lately.
	engineReportedAt identifier.Instant
	engineCurrent    bool
	local            LocalState
	peers            map[identifier.Target]*peer
	// next is the model that the engine goes over to, empty if it stays.
	next identifier.Model
	// orderedAt is when the order for next was given, zero if it was not.
	orderedAt identifier.Instant
	// modelReadyAt is when the present model became ready, zero if it was so from
	// the start.
	modelReadyAt identifier.Instant
	// candidate is the model that there is a reason to load, since wishedAt.
	candidate      identifier.Model
	candidateSince identifier.Instant
	// evaluatedAt is when a reason was last looked for.
	evaluatedAt identifier.Instant
	// lastTurn is the last lastTurn in which an order was given.
	lastTurn int64
	// fence is the number of the last order. It only rises.
	fence uint64
	// lastSent is what the others were last lastSent, and latest the newest report,
	// which differs from it at most in use and waiting work.
	lastSent Report
	latest   Report
	// lastSentAt is when that was.
	lastSentAt identifier.Instant
}

// peer is what is known of another agent of the pool.
type peer struct {
	report Report
	// lastSeen is the last sign of life.
	lastSeen identifier.Instant
	// nextSince is since when it goes over to its next model.
	nextSince identifier.Instant
}

// LocalState is what the agent knows of its own target.
type LocalState struct {
	// Idle tells that no grant is outstanding and no request is in hand.
	Idle bool
	// Leaving tells that the target takes no new work at all.
	Leaving bool
	// Used is the part of the slots in use, from 0 to 1.
	Used float64
	// Waiting is the sum of the weights of the workspaces that wait, by kind.
	Waiting map[identifier.Kind]float64
}

// Decision is what the agent carries out.
type Decision struct {
	// Served are the kinds that the target takes work of.
	Served map[identifier.Kind]bool
	// Order is for the engine, nil for none.
	Order *LoadOrder
	// Announce is for the other agents and the routers at once, nil for none.
	Announce *Report
}

// New returns a placer that knows nothing yet.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, peers: map[identifier.Target]*peer{}, lastTurn: -1}
}

// Configure replaces the configuration.
func (p *Placer) Configure(cfg Config) { p.cfg = cfg }

// UpdateEngine takes in what the engine says that it has loaded. It may be late.
func (p *Placer) UpdateEngine(now identifier.Instant, s EngineState) {
	p.engine, p.engineKnown, p.engineReportedAt = s.sanitized(), true, now
	if p.orderedAt != 0 && s.Model == p.next && !s.Loading {
		p.next, p.orderedAt, p.modelReadyAt = "", 0, now
	}
}

// UpdatePeer takes in the report of the agent beside target t.
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

// MarkPeerAlive notes a sign of life of the agent beside target t.
func (p *Placer) MarkPeerAlive(now identifier.Instant, t identifier.Target) {
	if q := p.peers[t]; q != nil {
		q.lastSeen = now
	}
}

// Tick decides what the target serves and loads now.
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

// dropSilentPeers drops peers that have given no sign of life.
func (p *Placer) dropSilentPeers(now identifier.Instant) {
	for t, q := range p.peers {
		if now.Sub(q.lastSeen) > peerTimeout {
			delete(p.peers, t)
		}
	}
}

// advance moves between serving, draining and loading.
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
		p.next = "" // The reason to go is gone, or the need to stay has come.
	}
}

// evaluate starts to leave the present model once there has been a reason for
// long enough and the target's turn to load weights is near.
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

// nextOrder returns the nextOrder to give now, if any.
func (p *Placer) nextOrder(now identifier.Instant) *LoadOrder {
	if !p.engineKnown || p.orderedAt != 0 || p.engine.Loading || p.local.Leaving {
		return nil
	}
	m := p.next
	if m == "" && p.lacksAdapter() {
		m = p.engine.Model // Adapters are loaded beside running work.
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

// lacksAdapter tells whether an adapter of the present model is missing.
func (p *Placer) lacksAdapter() bool {
	for _, a := range p.cfg.adapters(p.engine.Model) {
		if !p.engine.hasAdapter(a) {
			return true
		}
	}
	return false
}

// servedKinds returns the kinds that the target takes work of.
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

// HasModelChoice tells whether there is more than one model to choose from. If not, use
// and waiting work are of no interest to anybody.
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

// serving tells whether others may count on the target to take work for its
// model. An agent that was paused, or whose engine does not answer, cannot know.
func (p *Placer) serving() bool {
	return p.engineCurrent && p.next == "" && !p.engine.Loading && !p.local.Leaving && p.cfg.needsModel(p.engine.Model)
}
