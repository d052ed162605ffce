package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"buckthorndrum/reporter"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"buckthorndrum/acceptor"
	"buckthorndrum/configurator"
	"buckthorndrum/counter"
	"buckthorndrum/identifier"
	"buckthorndrum/linker"
	"buckthorndrum/messenger"
	"buckthorndrum/scheduler"
	"buckthorndrum/securer"
	"buckthorndrum/signer"
)

const (
	// schedulerInterval is how often the scheduler is run if no other event runs it.
	schedulerInterval = 5 * time.Millisecond
	// heartbeatInterval is how often the target's load is sent to the routers.
	heartbeatInterval = 2 * time.Second
	// resyncInterval is how often one of the peers is sent all counter rows again.
	resyncInterval = 30 * time.Second
	// syncTimeout is how long a new agent waits for the counters of all its peers before
	// it relies on those that it has.
	syncTimeout = 5 * time.Second
	// housekeepingInterval is how often old answers are dropped and missing peers are
	// dialled.
	housekeepingInterval = 200 * time.Millisecond
	// headTimeout bounds the time in which a request head of HTTP/1 must be complete.
	headTimeout = 5 * time.Second
	// abandonTimeout is how long a request without a key goes on without a reader of its
	// answer.
	abandonTimeout = 10 * time.Second
)

// Agent is the agent of one target.
type Agent struct {
	cfg       Config
	self      identifier.Origin
	state     *state
	sec       *securer.Securer
	keySigner *signer.Signer
	log       *zap.Logger
	traffic   linker.Traffic
	metrics   *metrics
	// pacer sets the intervals at which counters are published.
	pacer   counter.Pacer
	client  *http.Client
	dialer  linker.Dialer
	server  *http.Server
	address string
	started time.Time
	// done is closed when the agent has stopped.
	done   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
}

// Start opens the agent's port and begins to serve. It returns an error if cfg is not
// valid or the port cannot be opened.
func Start(cfg Config) (*Agent, error) {
	if err := cfg.Check(); err != nil {
		return nil, errors.Wrap(err, "check agent settings")
	}
	sec, err := securer.New(cfg.Security)
	if err != nil {
		return nil, errors.Wrap(err, "set up agent security")
	}
	bounds := acceptor.ProcessConfig(cfg.Listen)
	bounds.HTTP2, bounds.TLS = true, sec.TLS() != nil
	bounds.Heads.Timeout = headTimeout
	l, err := acceptor.Listen(bounds)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for agent of target %q on %s", cfg.Target, cfg.Listen)
	}
	a := newAgent(cfg, sec, l.Addr().String())
	a.metrics.registry.MustRegister(bounds.Budget.Collectors()...)
	a.serve(l)
	go a.loop()
	go a.pollEngine()
	a.log.Info("agent started", zap.String("address", a.address), zap.Stringer("origin", a.self))
	return a, nil
}

// newAgent returns an agent that does not serve yet. address is the address on which it
// will listen.
func newAgent(cfg Config, sec *securer.Securer, address string) *Agent {
	if cfg.Retain == 0 {
		cfg.Retain = DefaultRetain
	}
	self := identifier.Origin{Target: cfg.Target, Incarnation: identifier.NewIncarnation()}
	a := &Agent{
		cfg:       cfg,
		self:      self,
		state:     newState(self),
		sec:       sec,
		keySigner: signer.New(cfg.Security.Secret),
		log:       cfg.Log.Named("agent").With(zap.String("target", string(cfg.Target))),
		metrics:   newMetrics(),
		pacer:     counter.Pacer{Budget: counter.DefaultBudget},
		address:   address,
		started:   time.Now(),
		done:      make(chan struct{}),
	}
	a.client = newTargetClient()
	a.client.Transport = noticeTransport{a.client.Transport, a.waitForTurn, a.recordNotice}
	a.metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "buckthorndrum_agent_running", Help: "Requests that run at the target.",
	}, func() float64 { return float64(a.Load().Running) }))
	a.dialer = linker.NewDialer(sec, string(cfg.Target), a.hello, &a.traffic)
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// serve answers HTTP requests on l in the background.
func (a *Agent) serve(l net.Listener) {
	a.server = a.sec.Server(a.handler())
	a.server.ConnState = acceptor.SetState
	go func() {
		if a.sec.TLS() != nil {
			_ = a.server.ServeTLS(l, "", "")
			return
		}
		_ = a.server.Serve(l)
	}()
}

// Address returns the address on which the agent listens.
func (a *Agent) Address() string { return a.address }

// Origin returns the agent's target and incarnation.
func (a *Agent) Origin() identifier.Origin { return a.self }

// Load returns how many requests run, wait and may still be handed over, and how many
// slots the target has.
func (a *Agent) Load() scheduler.Load {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return a.state.sched.Load()
}

// Revision returns the configuration revision in force, zero if there is none.
func (a *Agent) Revision() identifier.Revision {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return a.state.adopter.Revision()
}

// Traffic returns the control bytes sent and received, which are those of the links to
// routers and other agents.
func (a *Agent) Traffic() (sent, received int64) {
	return a.traffic.Sent.Load(), a.traffic.Received.Load()
}

// loop runs the periodic tasks until the agent stops.
func (a *Agent) loop() {
	ticks := time.NewTicker(schedulerInterval)
	counters := time.NewTimer(counter.MinInterval)
	housekeeping := time.NewTicker(housekeepingInterval)
	placements := time.NewTicker(placementInterval)
	defer placements.Stop()
	heartbeats := time.NewTicker(heartbeatInterval)
	resync := time.NewTicker(resyncInterval)
	defer resync.Stop()
	defer heartbeats.Stop()
	defer ticks.Stop()
	defer counters.Stop()
	defer housekeeping.Stop()
	for {
		select {
		case <-ticks.C:
			a.tickScheduler()
		case <-counters.C:
			counters.Reset(a.pacer.Interval(a.publishCounters()))
		case <-resync.C:
			a.resyncNextPeer()
		case <-placements.C:
			a.updatePlacement()
		case <-housekeeping.C:
			a.housekeep()
			go a.detectTargetExit()
		case <-heartbeats.C:
			a.state.mu.Lock()
			a.sendHeartbeats()
			a.state.mu.Unlock()
		case <-a.ctx.Done():
			return
		}
	}
}

// tickScheduler runs the scheduler. If the routers were last told that the target is full
// and it now has room that no offer fills, it sends them the load at once.
func (a *Agent) tickScheduler() {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.updateSynced()
	a.updateHold(now())
	a.apply(a.state.sched.Tick(now()))
	if a.state.reportedFull && a.state.sched.WantsWork(now()) {
		a.sendHeartbeats()
	}
}

// apply carries out the scheduler's actions. The caller holds the lock.
func (a *Agent) apply(acts scheduler.Actions) {
	byRouter := map[identifier.Router][]messenger.Grant{}
	for _, g := range acts.Grants {
		byRouter[g.To] = append(byRouter[g.To], messenger.Grant{Number: g.ID.Number, Class: g.Class})
	}
	for r, grants := range byRouter {
		a.metrics.grants.Add(float64(len(grants)))
		a.send(a.state.routers[r], messenger.Frame{Grants: grants})
	}
	for _, id := range acts.Preempts {
		a.preempt(id)
	}
	for _, id := range acts.Starts {
		if rec := a.state.records[id]; rec != nil {
			rec.signalStart()
		}
	}
}

// preempt interrupts the attempt of request id, which is resumed later. The caller holds
// the lock.
func (a *Agent) preempt(id identifier.Request) {
	rec := a.state.records[id]
	if rec == nil {
		return
	}
	a.metrics.preemptions.Inc()
	rec.preempted = true
	if rec.interrupt != nil {
		rec.interrupt()
	}
}

// send sets the revision and the leaving flag of frame f and sends it on l. It does
// nothing if l is nil. The caller holds the lock.
func (a *Agent) send(l *linker.Link, f messenger.Frame) {
	if l == nil {
		return
	}
	f.Revision = a.state.adopter.Revision()
	f.Leaving = a.state.leaving()
	if err := l.Send(f); err != nil {
		a.log.Warn("frame not sent", zap.String("peer", l.Peer.Name), reporter.Error(err))
	}
}

// applyConfig puts a newly adopted configuration in force. The caller holds the lock.
func (a *Agent) applyConfig(s *configurator.Snapshot) {
	a.log.Info("configuration in force", zap.Uint64("revision", uint64(s.Revision)))
	a.metrics.revision.Set(float64(s.Revision))
	t, found := s.Target(a.cfg.Target)
	a.state.configured = found
	a.state.configLeaving = !found || t.State == configurator.Leaving
	a.updateDraining()
	if !found {
		return
	}
	a.state.pool = t.Pool
	a.state.chosenPeers = choosePeers(s, t)
	a.apply(a.state.sched.Configure(now(), s.SchedulerConfig(t)))
	a.configurePlacer(s, t)
}

// updateDraining stops or allows grants, depending on whether the target is leaving, and
// informs the routers if that is a change. The caller holds the lock.
func (a *Agent) updateDraining() {
	leaving := a.state.leaving()
	if leaving == a.state.sched.Draining() {
		return
	}
	a.state.sched.SetDraining(leaving)
	for _, l := range a.state.routers {
		a.send(l, messenger.Frame{})
	}
	a.log.Info("target leaving state changed", zap.Bool("leaving", leaving))
}

// SetLeaving stops new work or allows it again, as an operator's change of the target's
// state does. The next configuration overrides it.
func (a *Agent) SetLeaving(on bool) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.state.configLeaving = on
	a.updateDraining()
}

// Drain stops new work, waits until all accepted requests have ended and no router reads
// an answer any more, and stops the agent. If ctx is done before that, it stops the agent
// at once and returns an error.
func (a *Agent) Drain(ctx context.Context) error {
	a.state.mu.Lock()
	a.state.stopping = true
	a.updateDraining()
	a.state.mu.Unlock()
	err := a.waitIdle(ctx)
	if shutdownErr := a.server.Shutdown(ctx); err == nil && shutdownErr != nil && ctx.Err() != nil {
		err = errors.Wrap(shutdownErr, "shut down agent server")
	}
	a.Stop()
	return err
}

// idlePollInterval is how often a draining agent checks whether it is idle.
const idlePollInterval = 10 * time.Millisecond

// waitIdle waits until no grant is outstanding, no request is in progress and no answer
// has a reader. It returns an error if ctx is done before that.
func (a *Agent) waitIdle(ctx context.Context) error {
	for {
		a.state.mu.Lock()
		idle := a.state.sched.Idle() && a.readerCount() == 0
		a.state.mu.Unlock()
		if idle {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for requests in progress to end")
		case <-time.After(idlePollInterval):
		}
	}
}

// readerCount returns how many routers are reading answers. The caller holds the lock.
func (a *Agent) readerCount() int {
	n := 0
	for _, rec := range a.state.records {
		n += rec.readers
	}
	return n
}

// Stop stops the agent at once, as a crash does. It waits for no request.
func (a *Agent) Stop() {
	a.cancel()
	_ = a.server.Close()
	a.state.mu.Lock()
	for _, l := range a.state.routers {
		l.Close()
	}
	for _, p := range a.state.peers {
		if p.link != nil {
			p.link.Close()
		}
	}
	a.state.mu.Unlock()
	select {
	case <-a.done:
	default:
		close(a.done)
	}
}

// Done returns a channel that is closed when the agent has stopped.
func (a *Agent) Done() <-chan struct{} { return a.done }

func now() identifier.Instant { return identifier.InstantOf(time.Now()) }
