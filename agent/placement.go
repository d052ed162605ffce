package agent

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/messenger"
	"buckthorndrum/placer"
	"buckthorndrum/reporter"
)

const (
	// placementInterval is how often it is decided what the engine is to have loaded.
	placementInterval = 200 * time.Millisecond
	// minWaitingAge is how long a request waits before it counts for that.
	minWaitingAge = time.Second
)

// configurePlacer puts the placement of a newly adopted configuration in force.
// The caller holds the lock.
func (a *Agent) configurePlacer(s *configurator.Snapshot, t configurator.Target) {
	cfg, managed := s.PlacerConfig(t)
	switch {
	case !managed:
		a.state.placer = nil
		a.apply(a.state.sched.SetServed(now(), nil))
	case a.state.placer == nil:
		a.state.placer = placer.New(cfg)
		a.tickPlacer()
	default:
		a.state.placer.Configure(cfg)
		a.tickPlacer()
	}
}

// updatePlacement decides what the engine serves and has loaded, from time to time.
func (a *Agent) updatePlacement() {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if a.state.placer != nil {
		a.tickPlacer()
	}
}

// tickPlacer carries out what the placer says. The caller holds the lock.
func (a *Agent) tickPlacer() {
	sched := a.state.sched
	local := placer.Local{Idle: sched.Idle(), Leaving: a.state.leaving()}
	if a.state.placer.Chooses() {
		local.Used = sched.Used()
		local.Waiting = sched.Waiting(now(), minWaitingAge)
	}
	d := a.state.placer.Tick(now(), local)
	a.apply(sched.SetServed(now(), d.Served))
	if d.Announce != nil {
		a.broadcastPlacement(d.Announce)
	}
	if d.Order != nil {
		a.metrics.weightOrders.Inc()
		a.log.Info("weights ordered", zap.String("model", string(d.Order.Model)), zap.Uint64("fence", d.Order.Fence))
		go a.sendWeightOrder(*d.Order)
	}
}

// broadcastPlacement tells everybody what the engine serves. The caller holds the
// lock.
func (a *Agent) broadcastPlacement(r *placer.Report) {
	for _, l := range a.state.routers {
		a.send(l, messenger.Frame{Placement: r})
	}
	for _, p := range a.state.peers {
		a.send(p.link, messenger.Frame{Placement: r})
	}
}

// placementReport returns what the engine serves, nil if that is left to the engine.
// The caller holds the lock.
func (a *Agent) placementReport() *placer.Report {
	if a.state.placer == nil {
		return nil
	}
	r := a.state.placer.Told()
	return &r
}

// placementUpdate returns what other agents have to be told of the engine at a
// heartbeat, nil if nothing has changed. The caller holds the lock.
func (a *Agent) placementUpdate() *placer.Report {
	if a.state.placer == nil {
		return nil
	}
	return a.state.placer.News(now())
}

// recordPeerPlacement takes in what another agent says of its engine. The caller holds the
// lock.
func (a *Agent) recordPeerPlacement(from identifier.Target, f messenger.Frame) {
	if a.state.placer == nil {
		return
	}
	a.state.placer.Seen(now(), from)
	if f.Placement != nil {
		a.state.placer.Heard(now(), from, *f.Placement)
	}
}

// sendWeightOrder has the engine load weights. Whether it did is seen by its reports.
func (a *Agent) sendWeightOrder(o placer.Order) {
	if err := a.callEngine(http.MethodPost, "/v1/model", o, nil); err != nil {
		a.log.Warn("order not taken", zap.String("model", string(o.Model)), reporter.Error(err))
	}
}
