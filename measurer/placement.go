package measurer

import (
	"fmt"
	"io"
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/messenger"
	"buckthorndrum/placer"
)

// The ways in which engines get their models. Under Ours each engine serves
// everything, which no placement can exceed.
const (
	// Halves gives each model half of the engines for good.
	Halves Way = "fixed halves"
	// Placed has the placers decide.
	Placed Way = "placed"
)

// The models of a run in which not every engine serves everything.
const (
	largeModel identifier.Model = "large"
	smallModel identifier.Model = "small"
)

const (
	placeEvery   = 200 * time.Millisecond
	engineReport = time.Second
	waitingAge   = time.Second
	// weightLoad is how long an engine takes to load a model.
	weightLoad = 20 * time.Second
	// loadsPerMinute is the weight store's rate limit.
	loadsPerMinute = 6
	// minTargets is how many engines each model has at least.
	minTargets = 2
	// swingRouters is how many routers these runs have.
	swingRouters = 20
	// swingIdle is the part of its load that the model has that is not in demand.
	swingIdle = 0.03
)

// Swing returns the run in which the demand moves from one model to the other.
func Swing() Scenario {
	return Scenario{Name: "demand moves", Load: 15, Swing: true, Length: 20 * time.Minute}
}

// SwingSizes returns the users' sizes for that run.
func SwingSizes() []Size {
	sizes := Sizes()
	for i := range sizes {
		sizes[i].Routers = swingRouters
	}
	return sizes
}

// modelOf returns the model that serves kind k.
func modelOf(k identifier.Kind) identifier.Model {
	if k == "draft" {
		return largeModel
	}
	return smallModel
}

// swing returns what the load of kind k is multiplied by now: the large model is
// in demand in the first half of the run, the small one in the second.
func (w *world) swing(k kind) float64 {
	if !w.sc.Swing || k.pool != models {
		return 1
	}
	first := w.clock.now < identifier.Instant(w.sc.Length/2)
	if first == (modelOf(k.id) == largeModel) {
		return 1
	}
	return swingIdle
}

// engineState is what one engine has loaded in a run.
type engineState struct {
	placer *placer.Placer
	loaded placer.EngineState
	ready  identifier.Instant
	orders int
}

// placements are the engines of one run.
type placements struct {
	o       *ours
	engines map[*oursAgent]*engineState
	// unserved is how long a model had no engine at all.
	unserved time.Duration
}

// place gives the engines their models, half each, and has the placers decide
// from then on if they are to.
func (o *ours) place(way Way) *placements {
	p := &placements{o: o, engines: map[*oursAgent]*engineState{}}
	var names []identifier.Target
	for _, a := range o.agents {
		if !a.target.service {
			names = append(names, a.target.name)
		}
	}
	for _, a := range o.agents {
		if a.target.service {
			continue
		}
		m := []identifier.Model{largeModel, smallModel}[a.index%2]
		p.engines[a] = &engineState{loaded: placer.EngineState{Model: m}, placer: placer.New(o.placerConfig(a, names))}
		p.serve(a, p.kindsOf(m))
	}
	if way == Placed {
		o.w.clock.every(engineReport, p.report)
		o.w.clock.every(placeEvery, p.decide)
		o.w.clock.every(beatEvery, p.beat)
	}
	return p
}

func (o *ours) placerConfig(a *oursAgent, names []identifier.Target) placer.Config {
	cfg := placer.Config{Self: a.target.name, Kinds: map[identifier.Kind]placer.KindConfig{}, Targets: names, MinTargets: minTargets, LoadsPerMinute: loadsPerMinute}
	for _, k := range o.w.kinds {
		if k.pool == models {
			cfg.Kinds[k.id] = placer.KindConfig{Model: modelOf(k.id), Share: k.share}
		}
	}
	return cfg
}

func (p *placements) kindsOf(m identifier.Model) map[identifier.Kind]bool {
	ks := map[identifier.Kind]bool{}
	for _, k := range p.o.w.kinds {
		if k.pool == models && modelOf(k.id) == m {
			ks[k.id] = true
		}
	}
	return ks
}

// serve tells the scheduler, and all routers, what an engine serves.
func (p *placements) serve(a *oursAgent, kinds map[identifier.Kind]bool) {
	p.o.apply(a, a.sched.SetServedKinds(p.o.w.clock.now, kinds))
	for _, r := range p.o.routers {
		p.o.w.clock.after(p.o.w.delay(r.index, a.index), func() {
			r.queues.SetServedKinds(a.target.name, kinds)
			p.o.flush(r)
		})
	}
}

// report has each engine say what it has loaded.
func (p *placements) report() {
	for _, a := range p.o.agents {
		if e := p.engines[a]; e != nil {
			e.loaded.Loading = p.o.w.clock.now < e.ready
			e.placer.UpdateEngine(p.o.w.clock.now, e.loaded)
		}
	}
}

func (p *placements) decide() {
	served := map[identifier.Model]bool{}
	for _, a := range p.o.agents {
		e := p.engines[a]
		if e == nil {
			continue
		}
		now := p.o.w.clock.now
		d := e.placer.Tick(now, placer.LocalState{Idle: a.sched.Idle(), Used: a.sched.Utilization(), Waiting: a.sched.WaitingWeights(now, waitingAge)})
		if d.Announce != nil {
			p.serve(a, d.Served)
			p.tell(a, d.Announce, true)
		}
		if d.Order != nil {
			e.loaded.Model, e.loaded.Fence = d.Order.Model, d.Order.Fence
			e.ready = now.Add(weightLoad)
			e.orders++
		}
		for k := range d.Served {
			served[modelOf(k)] = true
		}
	}
	if p.o.w.gauges.measuring() && len(served) < 2 {
		p.unserved += placeEvery
	}
}

func (p *placements) beat() {
	for _, a := range p.o.agents {
		if e := p.engines[a]; e != nil {
			p.tell(a, e.placer.HeartbeatReport(p.o.w.clock.now), false)
		}
	}
}

// tell brings a report to the other agents, and counts what it costs. Beats are
// counted elsewhere, so that only news costs anything.
func (p *placements) tell(a *oursAgent, r *placer.Report, routers bool) {
	for b, e := range p.engines {
		if b == a {
			continue
		}
		if r != nil {
			p.o.send(string(a.target.name), string(b.target.name), messenger.Frame{Placement: r})
			e.placer.UpdatePeer(p.o.w.clock.now, a.target.name, *r)
		}
		e.placer.MarkPeerAlive(p.o.w.clock.now, a.target.name)
	}
	if !routers {
		return
	}
	for _, x := range p.o.routers {
		p.o.send(string(a.target.name), string(x.name), messenger.Frame{Placement: r})
	}
}

// PlacementResult is what a run measured of its placements.
type PlacementResult struct {
	// Orders is how often weights were loaded, and Most at one engine.
	Orders int
	Most   int
	// Unserved is how long a model had no engine at all.
	Unserved time.Duration
}

func (p *placements) result() PlacementResult {
	res := PlacementResult{Unserved: p.unserved}
	for _, e := range p.engines {
		res.Orders += e.orders
		res.Most = max(res.Most, e.orders)
	}
	return res
}

// WritePlacements renders the runs in which the demand moves.
func WritePlacements(w io.Writer, rs []Result) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("\n## Placement\n\n| size | engines | model tokens/s | large model | small model | gap, tokens | loads | most at one engine | a model unserved | control, busiest node, B/s |")
	p("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, r := range rs {
		rates := map[identifier.Model]float64{}
		for id, k := range r.Kinds {
			if id != "ticket" && id != "status" {
				rates[modelOf(id)] += k.Rate
			}
		}
		way := string(r.Way)
		if r.Way == Ours {
			way = "serve everything"
		}
		p("| %s | %s | %.0f | %.0f | %.0f | %.0f | %d | %d | %s | %.0f |", r.Size, way, r.Tokens/(r.Scenario.Length-settle).Seconds(),
			rates[largeModel], rates[smallModel], r.Gap, r.Placement.Orders, r.Placement.Most, r.Placement.Unserved, r.ControlMax)
	}
}
