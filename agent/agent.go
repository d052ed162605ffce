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
	// tick is how often the scheduler is driven without another event.
	tick = 5 * time.Millisecond
	// beatEvery is how often routers are told of the target's load.
	beatEvery = 2 * time.Second
	// resyncEvery is how often one peer is told all counters again.
	resyncEvery = 30 * time.Second
	// syncWait is how long a new agent waits for all its peers' counters before
	// it goes by what it has.
	syncWait = 5 * time.Second
	// housekeepEvery is how often old answers are dropped and peers are dialled.
	housekeepEvery = 200 * time.Millisecond
	// abandonAfter is how long a model answer that nobody follows goes on.
	abandonAfter = 10 * time.Second
)

// Agent is a running agent.
type Agent struct {
	cfg     Config
	self    identifier.Origin
	board   *board
	sec     *securer.Securer
	sign    *signer.Signer
	log     *zap.Logger
	traffic linker.Traffic
	metrics *metrics
	// pacer spaces the publishing of counters.
	pacer   counter.Pacer
	newAgent  *http.Client
	dialer  linker.Dialer
	server  *http.Server
	address string
	started time.Time
	// done is closed when the agent has stopped.
	done   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
}

// Start opens the agent's port and begins to serve.
func Start(cfg Config) (*Agent, error) {
	if err := cfg.Check(); err != nil {
		return nil, errors.Wrap(err, "check agent settings")
	}
	sec, err := securer.New(cfg.Security)
	if err != nil {
		return nil, errors.Wrap(err, "set up agent security")
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for agent of target %q on %s", cfg.Target, cfg.Listen)
	}
	a := assemble(cfg, sec, l.Addr().String())
	a.serve(l)
	go a.loop()
	go a.followEngine()
	a.log.Info("agent started", zap.String("address", a.address), zap.Stringer("origin", a.self))
	return a, nil
}

func assemble(cfg Config, sec *securer.Securer, address string) *Agent {
	if cfg.Retain == 0 {
		cfg.Retain = DefaultRetain
	}
	self := identifier.Origin{Target: cfg.Target, Incarnation: identifier.NewIncarnation()}
	a := &Agent{
		cfg:     cfg,
		self:    self,
		board:   newBoard(self),
		sec:     sec,
		sign:    signer.New(cfg.Security.Secret),
		log:     cfg.Log.Named("agent").With(zap.String("target", string(cfg.Target))),
		metrics: newMetrics(),
		pacer:   counter.Pacer{Budget: counter.DefaultBudget},
		address: address,
		started: time.Now(),
		done:    make(chan struct{}),
	}
	a.newAgent = newTargetClient()
	a.newAgent.Transport = hearer{a.newAgent.Transport, a.heed}
	a.metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "buckthorndrum_agent_running", Help: "Requests that run at the target.",
	}, func() float64 { return float64(a.Load().Running) }))
	a.dialer = linker.NewDialer(sec, string(cfg.Target), a.hello, &a.traffic)
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

func (a *Agent) serve(l net.Listener) {
	a.server = a.sec.Server(a.handler())
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

// Origin returns the agent's incarnation.
func (a *Agent) Origin() identifier.Origin { return a.self }

// Load returns the target's occupancy.
func (a *Agent) Load() scheduler.Load {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	return a.board.sched.Load()
}

// Revision returns the configuration revision in force.
func (a *Agent) Revision() identifier.Revision {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	return a.board.adopter.Revision()
}

// Traffic returns the control bytes sent and received.
func (a *Agent) Traffic() (sent, received int64) {
	return a.traffic.Sent.Load(), a.traffic.Received.Load()
}

// loop drives what happens by time.
func (a *Agent) loop() {
	ticks := time.NewTicker(tick)
	counters := time.NewTimer(counter.MinInterval)
	house := time.NewTicker(housekeepEvery)
	places := time.NewTicker(placeEvery)
	defer places.Stop()
	beats := time.NewTicker(beatEvery)
	resync := time.NewTicker(resyncEvery)
	defer resync.Stop()
	defer beats.Stop()
	defer ticks.Stop()
	defer counters.Stop()
	defer house.Stop()
	for {
		select {
		case <-ticks.C:
			a.tick()
		case <-counters.C:
			counters.Reset(a.pacer.Interval(a.publish()))
		case <-resync.C:
			a.resync()
		case <-places.C:
			a.place()
		case <-house.C:
			a.housekeep()
			go a.lookWhetherGone()
		case <-beats.C:
			a.board.mu.Lock()
			a.beat()
			a.board.mu.Unlock()
		case <-a.ctx.Done():
			return
		}
	}
}

func (a *Agent) tick() {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	a.sync()
	a.holdOrGoOn(now())
	a.apply(a.board.sched.Tick(now()))
	if a.board.toldFull && a.board.sched.WantsWork(now()) {
		a.beat()
	}
}

// apply carries out the scheduler's actions. The caller holds the board's lock.
func (a *Agent) apply(acts scheduler.Actions) {
	byRouter := map[identifier.Router][]messenger.Grant{}
	for _, g := range acts.Grants {
		byRouter[g.To] = append(byRouter[g.To], messenger.Grant{Number: g.ID.Number, Class: g.Class})
	}
	for r, gs := range byRouter {
		a.metrics.grants.Add(float64(len(gs)))
		a.send(a.board.routers[r], messenger.Frame{Grants: gs})
	}
	for _, id := range acts.Preempts {
		a.preempt(id)
	}
	for _, id := range acts.Starts {
		if rec := a.board.records[id]; rec != nil {
			rec.resume()
		}
	}
}

func (a *Agent) preempt(id identifier.Request) {
	rec := a.board.records[id]
	if rec == nil {
		return
	}
	a.metrics.preempted.Inc()
	rec.preempted = true
	if rec.interrupt != nil {
		rec.interrupt()
	}
}

// send adds the revision to a frame and sends it. The caller holds the lock.
func (a *Agent) send(l *linker.Link, f messenger.Frame) {
	if l == nil {
		return
	}
	f.Revision = a.board.adopter.Revision()
	f.Leaving = a.board.leaving()
	if err := l.Send(f); err != nil {
		a.log.Warn("frame not sent", zap.String("peer", l.Peer.Name), reporter.Error(err))
	}
}

// enforce puts a newly adopted configuration in force. The caller holds the
// lock.
func (a *Agent) enforce(s *configurator.Snapshot) {
	a.log.Info("configuration in force", zap.Uint64("revision", uint64(s.Revision)))
	a.metrics.revision.Set(float64(s.Revision))
	t, named := s.Target(a.cfg.Target)
	a.board.configured = named
	a.board.retired = !named || t.State == configurator.Leaving
	a.announceLeaving()
	if !named {
		return
	}
	a.board.pool = t.Pool
	a.board.wanted = choosePeers(s, t)
	a.apply(a.board.sched.Configure(now(), s.SchedulerConfig(t)))
	a.configurePlacer(s, t)
}

// announceLeaving stops or allows grants as the board says and tells the
// routers if that is a change. The caller holds the lock.
func (a *Agent) announceLeaving() {
	leaving := a.board.leaving()
	if leaving == a.board.sched.Draining() {
		return
	}
	a.board.sched.SetDraining(leaving)
	for _, l := range a.board.routers {
		a.send(l, messenger.Frame{})
	}
	a.log.Info("target changed", zap.Bool("leaving", leaving))
}

// SetLeaving stops new work for a while, or allows it again, as an operator's change
// of the target's state would.
func (a *Agent) SetLeaving(on bool) {
	a.board.mu.Lock()
	defer a.board.mu.Unlock()
	a.board.retired = on
	a.announceLeaving()
}

// Drain stops new work, waits until all work in hand has ended and been
// delivered, or ctx is done, and then stops the agent.
func (a *Agent) Drain(ctx context.Context) error {
	a.board.mu.Lock()
	a.board.stopping = true
	a.announceLeaving()
	a.board.mu.Unlock()
	err := a.waitIdle(ctx)
	if shut := a.server.Shutdown(ctx); err == nil && shut != nil && ctx.Err() != nil {
		err = errors.Wrap(shut, "shut down agent server")
	}
	a.Stop()
	return err
}

// idlePoll is how often a draining agent looks whether it is idle.
const idlePoll = 10 * time.Millisecond

func (a *Agent) waitIdle(ctx context.Context) error {
	for {
		a.board.mu.Lock()
		idle := a.board.sched.Idle() && a.unread() == 0
		a.board.mu.Unlock()
		if idle {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for work in hand")
		case <-time.After(idlePoll):
		}
	}
}

// unread counts the answers that routers are still reading.
func (a *Agent) unread() int {
	n := 0
	for _, rec := range a.board.records {
		n += rec.readers
	}
	return n
}

// Stop ends the agent at once, as a crash would.
func (a *Agent) Stop() {
	a.cancel()
	_ = a.server.Close()
	a.board.mu.Lock()
	for _, l := range a.board.routers {
		l.Close()
	}
	for _, p := range a.board.peers {
		if p.link != nil {
			p.link.Close()
		}
	}
	a.board.mu.Unlock()
	select {
	case <-a.done:
	default:
		close(a.done)
	}
}

// Done is closed when the agent has stopped.
func (a *Agent) Done() <-chan struct{} { return a.done }

func now() identifier.Instant { return identifier.InstantOf(time.Now()) }
