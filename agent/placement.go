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
	// placeEvery is how often it is decided what the engine is to have loaded.
	placeEvery = 200 * time.Millisecond
	// waitingAge is how long a request waits before it counts for that.
	waitingAge = time.Second
)

// configurePlacer puts the placement of a newly adopted configuration in force.
// The caller holds the lock.
func (a *Agent) configurePlacer(s *configurator.Snapshot, t configurator.Target) {
	cfg, places := s.PlacerConfig(t)
	switch {
	case !places:
		a.board.placer = nil
		a.apply(a.board.sched.SetServed(now(), nil))
	case a.board.placer == nil:
		a.board.placer = placer.New(cfg)
		a.decidePlacement()
	default:
		a.board.placer.Configure(cfg)
		a.decidePlacement()
	}
}

// place decides what the engine serves and has loaded, from time to time.
func (a *Agent) place() {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	if a.board.placer != nil {
		a.decidePlacement()
	}
}

// decidePlacement carries out what the placer says. The caller holds the lock.
func (a *Agent) decidePlacement() {
	sched := a.board.sched
	local := placer.Local{Idle: sched.Idle(), Leaving: a.board.leaving()}
	if a.board.placer.Chooses() {
		local.Used = sched.Used()
		local.Waiting = sched.Waiting(now(), waitingAge)
	}
	d := a.board.placer.Tick(now(), local)
	a.apply(sched.SetServed(now(), d.Served))
	if d.Announce != nil {
		a.announcePlacement(d.Announce)
	}
	if d.Order != nil {
		a.metrics.orders.Inc()
		a.log.Info("weights ordered", zap.String("model", string(d.Order.Model)), zap.Uint64("fence", d.Order.Fence))
		go a.giveOrder(*d.Order)
	}
}

// announcePlacement tells everybody what the engine serves. The caller holds the
// lock.
func (a *Agent) announcePlacement(r *placer.Report) {
	for _, l := range a.board.routers {
		a.send(l, messenger.Frame{Placement: r})
	}
	for _, p := range a.board.peers {
		a.send(p.link, messenger.Frame{Placement: r})
	}
}

// placement returns what the engine serves, nil if that is left to the engine.
// The caller holds the lock.
func (a *Agent) placement() *placer.Report {
	if a.board.placer == nil {
		return nil
	}
	r := a.board.placer.Told()
	return &r
}

// placementNews returns what other agents have to be told of the engine at a
// heartbeat, nil if nothing has changed. The caller holds the lock.
func (a *Agent) placementNews() *placer.Report {
	if a.board.placer == nil {
		return nil
	}
	return a.board.placer.News(now())
}

// hear takes in what another agent says of its engine. The caller holds the
// lock.
func (a *Agent) hear(from identifier.Target, f messenger.Frame) {
	if a.board.placer == nil {
		return
	}
	a.board.placer.Seen(now(), from)
	if f.Placement != nil {
		a.board.placer.Heard(now(), from, *f.Placement)
	}
}

// giveOrder has the engine load weights. Whether it did is seen by its reports.
func (a *Agent) giveOrder(o placer.Order) {
	if err := a.report(http.MethodPost, "/v1/model", o, nil); err != nil {
		a.log.Warn("order not taken", zap.String("model", string(o.Model)), reporter.Error(err))
	}
}
