package measurer

import (
	"time"

	"buckthorndrum/counter"
	"buckthorndrum/identifier"
)

// fault begins or ends a failure of processes or links.
func (o *ours) fault(f Fault, on bool) {
	switch f {
	case TargetDies:
		o.targetDies(on)
	case RoutersCut:
		o.cutRouters(on)
	case AgentsCut:
		o.cutAgents = func(a, b *oursAgent) bool { return on && a.index%2 != b.index%2 }
	case ColdAgents:
		if on {
			o.coldStart()
		}
	case CountersLossy:
		o.lossy = on
	case RoutersRestart:
		if on {
			o.restartRouters()
		}
	}
}

func (o *ours) targetDies(on bool) {
	a := o.agents[0]
	if on {
		for _, r := range o.routers {
			r.queues.DropAgent(a.target.name)
		}
		return
	}
	o.boot(a)
	for _, r := range o.routers {
		r.queues.SetAgent(a.target.name, a.target.pool, o.near(r, a), a.target.slots)
		o.flush(r)
	}
}

// cutRouters cuts the second half of the routers off from the second half of
// the agents, or joins them again.
func (o *ours) cutRouters(on bool) {
	o.cut = func(r *oursRouter, a *oursAgent) bool { return on && cutOff(o, r, a) }
	for _, r := range o.routers {
		for _, a := range o.agents {
			if !cutOff(o, r, a) {
				continue
			}
			if on {
				r.queues.DropAgent(a.target.name)
				a.sched.DropRouter(o.w.clock.now, r.name)
				continue
			}
			r.queues.SetAgent(a.target.name, a.target.pool, false, a.target.slots)
		}
		o.flush(r)
	}
}

func cutOff(o *ours, r *oursRouter, a *oursAgent) bool {
	return r.index >= len(o.routers)/2 && a.index%2 == 1
}

// coldStart replaces half of the agents' processes by ones without any state,
// while their targets' work goes on elsewhere.
func (o *ours) coldStart() {
	for _, a := range o.agents {
		if a.index%2 != 0 {
			continue
		}
		for _, j := range a.jobs {
			a.target.cancel(j)
			o.w.gauges.lose(j)
		}
		o.boot(a)
		for _, r := range o.routers {
			r.queues.DropAgent(a.target.name)
			r.queues.SetAgent(a.target.name, a.target.pool, false, a.target.slots)
			o.flush(r)
		}
	}
}

// restartRouters replaces a quarter of the routers by ones without any state.
// What waited there is gone with its callers' connections.
func (o *ours) restartRouters() {
	for _, r := range o.routers {
		if r.index%4 != 0 {
			continue
		}
		for _, j := range r.jobs {
			o.w.gauges.leave(j)
			o.w.gauges.lose(j)
		}
		for _, a := range o.agents {
			a.sched.DropRouter(o.w.clock.now, r.name)
		}
		o.bootRouter(r)
	}
}

// levelEvery is how often the true levels are looked at.
const levelEvery = 250 * time.Millisecond

// sampleLevels takes the largest difference of true levels between workspaces
// that are backlogged. The true level is the sum over all living agents' own
// knowledge, taken as the highest that any of them has.
func (o *ours) sampleLevels() {
	if !o.w.gauges.measuring() {
		return
	}
	all := counter.New(counter.Config{})
	for _, a := range o.agents {
		if a.target.pool != models {
			continue
		}
		rows, _ := a.table.ChangedSince(0, 1<<20, true)
		for _, r := range rows {
			all.Merge(o.w.clock.now, r)
		}
	}
	var low, high identifier.Cost
	found := false
	for i := range o.w.gauges.waiting {
		if !o.w.gauges.backlogged(i) {
			continue
		}
		l := all.Level(workspaceName(i))
		if !found || l < low {
			low = l
		}
		if !found || l > high {
			high = l
		}
		found = true
	}
	o.w.gauges.levelGap = max(o.w.gauges.levelGap, high-low)
}
