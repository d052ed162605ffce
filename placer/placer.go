package placer

import (
	"time"

	"buckthorndrum/identifier"
)

// Placer is the state of one agent's decisions. It is not safe for concurrent
// use.
type Placer struct {
	cfg Config
	// loaded is what the engine reported last. It is nothing until known.
	loaded EngineState
	known  bool
	// reported is when that was, and current tells that it was lately.
	reported identifier.Instant
	current  bool
	local    LocalState
	peers    map[identifier.Target]*peer
	// next is the model that the engine goes over to, empty if it stays.
	next identifier.Model
	// ordered is when the order for next was given, zero if it was not.
	ordered identifier.Instant
	// settled is when the present model became ready, zero if it was so from
	// the start.
	settled identifier.Instant
	// wished is the model that there is a reason to load, since wishedAt.
	wished   identifier.Model
	wishedAt identifier.Instant
	// considered is when a reason was last looked for.
	considered identifier.Instant
	// turn is the last turn in which an order was given.
	turn int64
	// fence is the number of the last order. It only rises.
	fence uint64
	// told is what the others were last told, and latest the newest report,
	// which differs from it at most in use and waiting work.
	told   Report
	latest Report
	// toldAt is when that was.
	toldAt identifier.Instant
}

// peer is what is known of another agent of the pool.
type peer struct {
	report Report
	// seen is the last sign of life.
	seen identifier.Instant
	// leaving is since when it goes over to its next model.
	leaving identifier.Instant
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
	return &Placer{cfg: cfg, peers: map[identifier.Target]*peer{}, turn: -1}
}

// Configure replaces the configuration.
func (p *Placer) Configure(cfg Config) { p.cfg = cfg }

// UpdateEngine takes in what the engine says that it has loaded. It may be late.
func (p *Placer) UpdateEngine(now identifier.Instant, l EngineState) {
	p.loaded, p.known, p.reported = l.known(), true, now
	if p.ordered != 0 && l.Model == p.next && !l.Loading {
		p.next, p.ordered, p.settled = "", 0, now
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
		q.leaving = now
	}
	q.report = r
	q.seen = now
}

// MarkPeerAlive notes a sign of life of the agent beside target t.
func (p *Placer) MarkPeerAlive(now identifier.Instant, t identifier.Target) {
	if q := p.peers[t]; q != nil {
		q.seen = now
	}
}

// Tick decides what the target serves and loads now.
func (p *Placer) Tick(now identifier.Instant, local LocalState) Decision {
	p.local = local
	p.current = p.known && now.Sub(p.reported) <= reportAge
	p.forget(now)
	if p.known {
		p.step(now)
	}
	d := Decision{Order: p.order(now)}
	d.Served = p.served()
	d.Announce = p.announce(now, p.report())
	return d
}

// forget drops peers that have given no sign of life.
func (p *Placer) forget(now identifier.Instant) {
	for t, q := range p.peers {
		if now.Sub(q.seen) > fresh {
			delete(p.peers, t)
		}
	}
}

// step moves between serving, draining and loading.
func (p *Placer) step(now identifier.Instant) {
	switch {
	case p.ordered != 0:
		if !p.loaded.Loading && now.Sub(p.ordered) > giveUp {
			p.ordered = 0 // The order was lost, refused or undone.
		}
	case p.next == "":
		if now.Sub(p.considered) >= considerEvery {
			p.considered = now
			p.consider(now)
		}
	case p.local.Leaving || !p.cfg.uses(p.next) || !p.mayLeave():
		p.next = "" // The reason to go is gone, or the need to stay has come.
	}
}

// consider starts to leave the present model once there has been a reason for
// long enough and the target's turn to load weights is near.
func (p *Placer) consider(now identifier.Instant) {
	m, position := p.wish(now)
	if m != p.wished {
		p.wished, p.wishedAt = m, now
	}
	if m == "" || p.local.Leaving {
		return
	}
	if now.Sub(p.wishedAt) < hold+time.Duration(position)*stagger {
		return
	}
	if p.untilTurn(now) <= lead {
		p.next = m
	}
}

// order returns the order to give now, if any.
func (p *Placer) order(now identifier.Instant) *LoadOrder {
	if !p.known || p.ordered != 0 || p.loaded.Loading || p.local.Leaving {
		return nil
	}
	m := p.next
	if m == "" && p.lacksAdapter() {
		m = p.loaded.Model // Adapters are loaded beside running work.
	}
	if m == "" || (m == p.next && !p.local.Idle) || !p.takeTurn(now) {
		return nil
	}
	if m == p.next {
		p.ordered = now
	}
	p.fence = max(p.fence, p.loaded.Fence, uint64(now)/uint64(time.Millisecond)) + 1
	return &LoadOrder{Model: m, Adapters: p.cfg.adapters(m), Fence: p.fence}
}

// lacksAdapter tells whether an adapter of the present model is missing.
func (p *Placer) lacksAdapter() bool {
	for _, a := range p.cfg.adapters(p.loaded.Model) {
		if !p.loaded.holds(a) {
			return true
		}
	}
	return false
}

// served returns the kinds that the target takes work of.
func (p *Placer) served() map[identifier.Kind]bool {
	ks := map[identifier.Kind]bool{}
	if !p.known || p.next != "" {
		return ks
	}
	for k, rule := range p.cfg.Kinds {
		if p.loaded.ready(rule) {
			ks[k] = true
		}
	}
	return ks
}

// HasModelChoice tells whether there is more than one model to choose from. If not, use
// and waiting work are of no interest to anybody.
func (p *Placer) HasModelChoice() bool { return len(p.cfg.models()) > 1 }

func (p *Placer) report() Report {
	return Report{
		Model:    p.loaded.Model,
		Adapters: p.loaded.Adapters,
		Next:     p.next,
		Ready:    p.serving(),
		Used:     uint8(p.local.Used*usedParts + 0.5),
		Waiting:  waitingOf(p.local.Waiting),
	}
}

// serving tells whether others may count on the target to take work for its
// model. An agent that was paused, or whose engine does not answer, cannot know.
func (p *Placer) serving() bool {
	return p.current && p.next == "" && !p.loaded.Loading && !p.local.Leaving && p.cfg.uses(p.loaded.Model)
}
