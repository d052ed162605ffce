package placer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/placer"
)

const (
	tickInterval = 200 * time.Millisecond
	loadTime     = 20 * time.Second
	maxNodes     = 16
)

// fakeEngine is an engine that takes loadTime to load a model.
type fakeEngine struct {
	loaded  placer.EngineState
	readyAt identifier.Instant
	// checksFence is set if the engine rejects orders with an old fence number.
	checksFence bool
	orders      []placer.LoadOrder
	loads       int
	// foreignOrder is set if the engine got an order that its agent did not send and
	// the agent has received no report since.
	foreignOrder bool
}

func (e *fakeEngine) apply(now identifier.Instant, o placer.LoadOrder) bool {
	if e.checksFence && o.Fence <= e.loaded.Fence {
		return false
	}
	e.orders = append(e.orders, o)
	e.loaded.Fence = max(e.loaded.Fence, o.Fence)
	if o.Model != e.loaded.Model || e.loaded.Loading {
		e.loads++
		e.readyAt = now.Add(loadTime)
		e.loaded.Loading = true
	}
	e.loaded.Model, e.loaded.Adapters = o.Model, o.Adapters
	return true
}

// node is a target with its agent and its engine.
type node struct {
	name   identifier.Target
	index  int
	placer *placer.Placer
	engine *fakeEngine
	alive  bool
	served map[identifier.Kind]bool
	// busyUntil is when the target's current work ends; the target is not idle before.
	busyUntil identifier.Instant
	ticks     int
}

// simulation is one pool in virtual time.
type simulation struct {
	now     identifier.Instant
	cfg     placer.Config
	nodes   []*node
	waiting map[identifier.Kind]float64
	used    float64
	// linkFailureRate is the probability that a given link goes down at one tick of
	// one of its ends.
	linkFailureRate float64
	// linkDownUntil is when a link that is down comes up again, zero if it is up. A
	// link that is up loses no messages.
	linkDownUntil [maxNodes][maxNodes]identifier.Instant
	rng           *rand.Rand
	// orderedAt is when weights were ordered, over the whole pool.
	orderedAt []identifier.Instant
	// lastFence is the fence number of each engine's last order.
	lastFence map[identifier.Target]uint64
	violation string
}

func newSimulation(n int, cfg placer.Config, seed uint64) *simulation {
	w := &simulation{now: 1, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), waiting: map[identifier.Kind]float64{}, lastFence: map[identifier.Target]uint64{}}
	for i := range n {
		w.cfg.Targets = append(w.cfg.Targets, identifier.Target(fmt.Sprintf("t%d", i)))
	}
	for i, t := range w.cfg.Targets {
		w.nodes = append(w.nodes, &node{name: t, index: i, engine: &fakeEngine{checksFence: i%2 == 0}, alive: true, placer: placer.New(w.configOf(t))})
	}
	return w
}

func (w *simulation) configOf(t identifier.Target) placer.Config {
	cfg := w.cfg
	cfg.Self = t
	return cfg
}

// run advances the simulation by d.
func (w *simulation) run(d time.Duration) {
	for until := w.now.Add(d); w.now < until; w.now = w.now.Add(tickInterval) {
		for _, n := range w.nodes {
			if n.alive {
				w.tick(n)
			}
		}
	}
}

func (w *simulation) tick(n *node) {
	e := n.engine
	if e.loaded.Loading && w.now >= e.readyAt {
		e.loaded.Loading = false
	}
	if n.ticks++; n.ticks%5 == 0 && w.rng.Float64() < 0.9 {
		// The engine reports once a second, and one report in ten is lost.
		n.placer.UpdateEngine(w.now, e.loaded)
		e.foreignOrder = false
	}
	local := placer.LocalState{Idle: w.now >= n.busyUntil, Waiting: w.waiting}
	if len(n.served) > 0 {
		local.Used = w.used
		n.busyUntil = w.now.Add(time.Duration(w.rng.Int64N(int64(4 * time.Second))))
	}
	d := n.placer.Tick(w.now, local)
	n.served = d.Served
	w.checkServed(n)
	if d.Order != nil {
		w.giveOrder(n, *d.Order)
	}
	w.send(n, d.Announce)
	if n.ticks%10 == 0 {
		w.send(n, n.placer.HeartbeatReport(w.now))
		w.heartbeat(n)
	}
	w.updateLinks(n)
}

// linked reports whether messages from n reach o.
func (w *simulation) linked(n, o *node) bool {
	return o != n && o.alive && w.linkDownUntil[n.index][o.index] == 0
}

// send delivers a report to the nodes that are linked with n.
func (w *simulation) send(n *node, r *placer.Report) {
	for _, o := range w.nodes {
		if r != nil && w.linked(n, o) {
			o.placer.UpdatePeer(w.now, n.name, *r)
		}
	}
}

func (w *simulation) heartbeat(n *node) {
	for _, o := range w.nodes {
		if w.linked(n, o) {
			o.placer.MarkPeerAlive(w.now, n.name)
		}
	}
}

// setLinkDown marks the link between two nodes as down until the given time, or
// as up if it is zero.
func (w *simulation) setLinkDown(n, o *node, until identifier.Instant) {
	w.linkDownUntil[n.index][o.index], w.linkDownUntil[o.index][n.index] = until, until
}

// updateLinks takes links of n down at random and restores those whose downtime
// is over. On a new link each end first sends its last report.
func (w *simulation) updateLinks(n *node) {
	for _, o := range w.nodes {
		switch until := w.linkDownUntil[n.index][o.index]; {
		case o == n || !o.alive:
		case until == 0 && w.rng.Float64() < w.linkFailureRate:
			w.setLinkDown(n, o, w.now.Add(time.Duration(w.rng.Int64N(int64(time.Minute)))))
		case until != 0 && w.now >= until:
			w.connect(n, o)
		}
	}
}

func (w *simulation) connect(n, o *node) {
	w.setLinkDown(n, o, 0)
	n.placer.UpdatePeer(w.now, o.name, o.placer.LastReport())
	o.placer.UpdatePeer(w.now, n.name, n.placer.LastReport())
}

// reconnect establishes the links of n again.
func (w *simulation) reconnect(n *node) {
	for _, o := range w.nodes {
		if w.linked(n, o) {
			w.connect(n, o)
		}
	}
}

// revive brings a dead node back with the state in which it died.
func (w *simulation) revive(n *node) {
	if n.alive {
		return
	}
	n.alive = true
	w.reconnect(n)
}

// checkServed records a violation if the target takes work of a kind that its
// engine does not serve. It allows that after an order which the agent did not
// send, until the next report.
func (w *simulation) checkServed(n *node) {
	for k := range n.served {
		if l := n.engine.loaded; l.Model != w.cfg.Kinds[k].Model && !n.engine.foreignOrder {
			w.violation = fmt.Sprintf("%s takes kind %s with model %q at %s", n.name, k, l.Model, time.Duration(w.now))
		}
	}
}

func (w *simulation) giveOrder(n *node, o placer.LoadOrder) {
	if o.Fence <= w.lastFence[n.name] {
		w.violation = fmt.Sprintf("%s is ordered with fence %d after fence %d", n.name, o.Fence, w.lastFence[n.name])
	}
	w.lastFence[n.name] = o.Fence
	if n.engine.apply(w.now, o) {
		w.orderedAt = append(w.orderedAt, w.now)
	}
}

// servers returns how many live targets take work of kind k.
func (w *simulation) servers(k identifier.Kind) int {
	n := 0
	for _, m := range w.nodes {
		if m.alive && m.served[k] {
			n++
		}
	}
	return n
}

func (w *simulation) loads() int {
	sum := 0
	for _, n := range w.nodes {
		sum += n.engine.loads
	}
	return sum
}
