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

// fakeEngine is a fake fakeEngine that loads weights for a while.
type fakeEngine struct {
	loaded  placer.EngineState
	readyAt identifier.Instant
	// checksFence tells that orders with an old number are refused.
	checksFence bool
	orders      []placer.LoadOrder
	loads       int
	// foreignOrder tells that an order came from elsewhere, and that the agent has
	// had no report since.
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

// node is a target with its agent.
type node struct {
	name   identifier.Target
	index  int
	placer *placer.Placer
	engine *fakeEngine
	alive  bool
	served map[identifier.Kind]bool
	// busyUntil is until when work in hand keeps the target from being idle.
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
	// linkFailureRate is how often a link goes down, in parts of all its ticks.
	linkFailureRate float64
	// linkDownUntil is until when a link is linkDownUntil. A link loses nothing while it lasts.
	linkDownUntil [maxNodes][maxNodes]identifier.Instant
	rng           *rand.Rand
	// orderedAt is when weights were orderedAt, over the whole pool.
	orderedAt []identifier.Instant
	// lastFence is the last number of each engine's orders.
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

// run lets d pass.
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
		// Reports come once a second, and some are lost.
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

// linked tells whether messages go from n to o.
func (w *simulation) linked(n, o *node) bool {
	return o != n && o.alive && w.linkDownUntil[n.index][o.index] == 0
}

// send brings a report to the others.
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

// setLinkDown takes the link of two nodes down until a time, or up at zero.
func (w *simulation) setLinkDown(n, o *node, until identifier.Instant) {
	w.linkDownUntil[n.index][o.index], w.linkDownUntil[o.index][n.index] = until, until
}

// updateLinks takes links of n down, and brings those up whose time is over. A new link
// starts with what was told.
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

// reconnect makes the links of n anew.
func (w *simulation) reconnect(n *node) {
	for _, o := range w.nodes {
		if w.linked(n, o) {
			w.connect(n, o)
		}
	}
}

// revive brings a node back with the state that it had.
func (w *simulation) revive(n *node) {
	if n.alive {
		return
	}
	n.alive = true
	w.reconnect(n)
}

// checkServed notes it if the target takes work that its engine does not serve, unless
// an order came from elsewhere and no report has told of it yet.
func (w *simulation) checkServed(n *node) {
	for k := range n.served {
		if l := n.engine.loaded; l.Model != w.cfg.Kinds[k].Model && !n.engine.foreignOrder {
			w.violation = fmt.Sprintf("%s takes kind %s with model %q at %s", n.name, k, l.Model, time.Duration(w.now))
		}
	}
}

func (w *simulation) giveOrder(n *node, o placer.LoadOrder) {
	if o.Fence <= w.lastFence[n.name] {
		w.violation = fmt.Sprintf("%s is ordered with number %d after %d", n.name, o.Fence, w.lastFence[n.name])
	}
	w.lastFence[n.name] = o.Fence
	if n.engine.apply(w.now, o) {
		w.orderedAt = append(w.orderedAt, w.now)
	}
}

// servers returns how many live targets take work of a kind.
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
