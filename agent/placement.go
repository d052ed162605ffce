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
	// placementInterval is how often the agent decides which weights the engine loads.
	placementInterval = 200 * time.Millisecond
	// minWaitingAge is how long a request has to wait before it counts in that decision.
	minWaitingAge = time.Second
)

// configurePlacer configures the placer for a newly adopted configuration, or removes it
// if the pool has no placement. The caller holds the lock.
func (a *Agent) configurePlacer(s *configurator.Snapshot, t configurator.Target) {
	cfg, managed := s.PlacerConfig(t)
	switch {
	case !managed:
		a.state.placer = nil
		a.apply(a.state.sched.SetServedKinds(now(), nil))
	case a.state.placer == nil:
		a.state.placer = placer.New(cfg)
		a.tickPlacer()
	default:
		a.state.placer.Configure(cfg)
		a.tickPlacer()
	}
}

// updatePlacement decides periodically what the engine serves and loads, if there is a
// placer.
func (a *Agent) updatePlacement() {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if a.state.placer != nil {
		a.tickPlacer()
	}
}

// tickPlacer runs the placer and carries out its decision. The caller holds the lock.
func (a *Agent) tickPlacer() {
	sched := a.state.sched
	local := placer.LocalState{Idle: sched.Idle(), Leaving: a.state.leaving()}
	if a.state.placer.HasModelChoice() {
		local.Used = sched.Utilization()
		local.Waiting = sched.WaitingWeights(now(), minWaitingAge)
	}
	d := a.state.placer.Tick(now(), local)
	a.apply(sched.SetServedKinds(now(), d.Served))
	if d.Announce != nil {
		a.broadcastPlacement(d.Announce)
	}
	if d.Order != nil {
		a.metrics.weightOrders.Inc()
		a.log.Info("ordering engine to load weights", zap.String("model", string(d.Order.Model)), zap.Uint64("fence", d.Order.Fence))
		go a.sendWeightOrder(*d.Order)
	}
}

// broadcastPlacement sends all routers and peers the report of what the engine serves.
// The caller holds the lock.
func (a *Agent) broadcastPlacement(r *placer.Report) {
	for _, l := range a.state.routers {
		a.send(l, messenger.Frame{Placement: r})
	}
	for _, p := range a.state.peers {
		a.send(p.link, messenger.Frame{Placement: r})
	}
}

// placementReport returns the report of what the engine serves, nil if there is no
// placer. The caller holds the lock.
func (a *Agent) placementReport() *placer.Report {
	if a.state.placer == nil {
		return nil
	}
	r := a.state.placer.LastReport()
	return &r
}

// placementUpdate returns the report that the peers get with a heartbeat, nil if there is
// no placer, nothing has changed or they were sent a report recently. The caller holds
// the lock.
func (a *Agent) placementUpdate() *placer.Report {
	if a.state.placer == nil {
		return nil
	}
	return a.state.placer.HeartbeatReport(now())
}

// recordPeerPlacement passes a peer's frame to the placer: as a sign that the peer is
// alive, and with the report of its engine, if any. The caller holds the lock.
func (a *Agent) recordPeerPlacement(from identifier.Target, f messenger.Frame) {
	if a.state.placer == nil {
		return
	}
	a.state.placer.MarkPeerAlive(now(), from)
	if f.Placement != nil {
		a.state.placer.UpdatePeer(now(), from, *f.Placement)
	}
}

// sendWeightOrder orders the engine to load weights. Whether it has done so shows in the
// engine's reports.
func (a *Agent) sendWeightOrder(o placer.LoadOrder) {
	if err := a.callEngine(http.MethodPost, "/v1/model", o, nil); err != nil {
		a.log.Warn("engine did not accept order to load weights", zap.String("model", string(o.Model)), reporter.Error(err))
	}
}
