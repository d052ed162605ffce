package placer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/placer"
)

const (
	step     = 200 * time.Millisecond
	loadTime = 20 * time.Second
	maxNodes = 16
)

// engine is a fake engine that loads weights for a while.
type engine struct {
	loaded placer.EngineState
	ready  identifier.Instant
	// checks tells that orders with an old number are refused.
	checks bool
	orders []placer.LoadOrder
	loads  int
	// foreign tells that an order came from elsewhere, and that the agent has
	// had no report since.
	foreign bool
}

func (e *engine) take(now identifier.Instant, o placer.LoadOrder) bool {
	if e.checks && o.Fence <= e.loaded.Fence {
		return false
	}
	e.orders = append(e.orders, o)
	e.loaded.Fence = max(e.loaded.Fence, o.Fence)
	if o.Model != e.loaded.Model || e.loaded.Loading {
		e.loads++
		e.ready = now.Add(loadTime)
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
	engine *engine
	alive  bool
	served map[identifier.Kind]bool
	// busy is until when work in hand keeps the target from being idle.
	busy  identifier.Instant
	ticks int
}

// world is one pool in virtual time.
type world struct {
	now     identifier.Instant
	cfg     placer.Config
	nodes   []*node
	waiting map[identifier.Kind]float64
	used    float64
	// flaky is how often a link goes down, in parts of all its ticks.
	flaky float64
	// down is until when a link is down. A link loses nothing while it lasts.
	down [maxNodes][maxNodes]identifier.Instant
	rng  *rand.Rand
	// ordered is when weights were ordered, over the whole pool.
	ordered []identifier.Instant
	// fences is the last number of each engine's orders.
	fences map[identifier.Target]uint64
	fault  string
}

func newWorld(n int, cfg placer.Config, seed uint64) *world {
	w := &world{now: 1, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), waiting: map[identifier.Kind]float64{}, fences: map[identifier.Target]uint64{}}
	for i := range n {
		w.cfg.Targets = append(w.cfg.Targets, identifier.Target(fmt.Sprintf("t%d", i)))
	}
	for i, t := range w.cfg.Targets {
		w.nodes = append(w.nodes, &node{name: t, index: i, engine: &engine{checks: i%2 == 0}, alive: true, placer: placer.New(w.configOf(t))})
	}
	return w
}

func (w *world) configOf(t identifier.Target) placer.Config {
	cfg := w.cfg
	cfg.Self = t
	return cfg
}

// run lets d pass.
func (w *world) run(d time.Duration) {
	for until := w.now.Add(d); w.now < until; w.now = w.now.Add(step) {
		for _, n := range w.nodes {
			if n.alive {
				w.tick(n)
			}
		}
	}
}

func (w *world) tick(n *node) {
	e := n.engine
	if e.loaded.Loading && w.now >= e.ready {
		e.loaded.Loading = false
	}
	if n.ticks++; n.ticks%5 == 0 && w.rng.Float64() < 0.9 {
		// Reports come once a second, and some are lost.
		n.placer.UpdateEngine(w.now, e.loaded)
		e.foreign = false
	}
	local := placer.LocalState{Idle: w.now >= n.busy, Waiting: w.waiting}
	if len(n.served) > 0 {
		local.Used = w.used
		n.busy = w.now.Add(time.Duration(w.rng.Int64N(int64(4 * time.Second))))
	}
	d := n.placer.Tick(w.now, local)
	n.served = d.Served
	w.check(n)
	if d.Order != nil {
		w.order(n, *d.Order)
	}
	w.send(n, d.Announce)
	if n.ticks%10 == 0 {
		w.send(n, n.placer.HeartbeatReport(w.now))
		w.beat(n)
	}
	w.cut(n)
}

// linked tells whether messages go from n to o.
func (w *world) linked(n, o *node) bool {
	return o != n && o.alive && w.down[n.index][o.index] == 0
}

// send brings a report to the others.
func (w *world) send(n *node, r *placer.Report) {
	for _, o := range w.nodes {
		if r != nil && w.linked(n, o) {
			o.placer.UpdatePeer(w.now, n.name, *r)
		}
	}
}

func (w *world) beat(n *node) {
	for _, o := range w.nodes {
		if w.linked(n, o) {
			o.placer.MarkPeerAlive(w.now, n.name)
		}
	}
}

// setDown takes the link of two nodes down until a time, or up at zero.
func (w *world) setDown(n, o *node, until identifier.Instant) {
	w.down[n.index][o.index], w.down[o.index][n.index] = until, until
}

// cut takes links of n down, and brings those up whose time is over. A new link
// starts with what was told.
func (w *world) cut(n *node) {
	for _, o := range w.nodes {
		switch until := w.down[n.index][o.index]; {
		case o == n || !o.alive:
		case until == 0 && w.rng.Float64() < w.flaky:
			w.setDown(n, o, w.now.Add(time.Duration(w.rng.Int64N(int64(time.Minute)))))
		case until != 0 && w.now >= until:
			w.join(n, o)
		}
	}
}

func (w *world) join(n, o *node) {
	w.setDown(n, o, 0)
	n.placer.UpdatePeer(w.now, o.name, o.placer.LastReport())
	o.placer.UpdatePeer(w.now, n.name, n.placer.LastReport())
}

// relink makes the links of n anew.
func (w *world) relink(n *node) {
	for _, o := range w.nodes {
		if w.linked(n, o) {
			w.join(n, o)
		}
	}
}

// revive brings a node back with the state that it had.
func (w *world) revive(n *node) {
	if n.alive {
		return
	}
	n.alive = true
	w.relink(n)
}

// check notes it if the target takes work that its engine does not serve, unless
// an order came from elsewhere and no report has told of it yet.
func (w *world) check(n *node) {
	for k := range n.served {
		if l := n.engine.loaded; l.Model != w.cfg.Kinds[k].Model && !n.engine.foreign {
			w.fault = fmt.Sprintf("%s takes kind %s with model %q at %s", n.name, k, l.Model, time.Duration(w.now))
		}
	}
}

func (w *world) order(n *node, o placer.LoadOrder) {
	if o.Fence <= w.fences[n.name] {
		w.fault = fmt.Sprintf("%s is ordered with number %d after %d", n.name, o.Fence, w.fences[n.name])
	}
	w.fences[n.name] = o.Fence
	if n.engine.take(w.now, o) {
		w.ordered = append(w.ordered, w.now)
	}
}

// servers returns how many live targets take work of a kind.
func (w *world) servers(k identifier.Kind) int {
	n := 0
	for _, m := range w.nodes {
		if m.alive && m.served[k] {
			n++
		}
	}
	return n
}

func (w *world) loads() int {
	sum := 0
	for _, n := range w.nodes {
		sum += n.engine.loads
	}
	return sum
}
