package forwarder

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"buckthorndrum/acceptor"
	"buckthorndrum/clocker"
	"buckthorndrum/exchanger"
	"buckthorndrum/identifier"
	"buckthorndrum/reporter"
)

// Config sets up a forwarder.
type Config struct {
	// Listen is where callers connect, as host:port.
	Listen     string
	Name       identifier.Router
	DataCentre identifier.DataCentre
	Dialect    Dialect
	// Identify returns the id of the request that a target's answer belongs to.
	Identify func(http.Header) string
	// MaxCallers bounds the callers' connections, zero for no bound.
	MaxCallers int
	// MaxBufferedBytes bounds the bytes of bodies and answers that are held at a time, zero
	// for no bound.
	MaxBufferedBytes int64
	Tunables
	Log *zap.Logger
}

// Tunables are the settings that may change while the process runs.
type Tunables struct {
	// MaxProofAge is how old the proof may be that the configuration is the newest,
	// for a key to be relied on. Zero asks for no proof.
	MaxProofAge time.Duration
	RetryBudget  RetryBudget
}

// check reports the first tunable that is wrong.
func (t Tunables) check() error {
	if t.RetryBudget.Window < time.Second {
		return errors.Errorf("window of the retry budget is %s, below 1s", t.RetryBudget.Window)
	}
	return nil
}

// Check reports the first setting that is missing or wrong.
func (c Config) Check() error {
	switch {
	case c.Listen == "":
		return errors.New("listen address is missing")
	case c.Dialect == nil:
		return errors.New("dialect is missing")
	case c.Log == nil:
		return errors.New("log is missing")
	}
	return c.check()
}

const (
	// dialTimeout bounds the opening of a connection to a target.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is when a connection whose peer acknowledges nothing is lost.
	ackTimeout = 1500 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 64
	// maxHeaderBytes bounds the head of a caller's request, in bytes.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the reading of a caller's header.
	headerTimeout = 10 * time.Second
	// defaultIdleTimeout is how long a caller's connection may be idle if the
	// configuration does not say.
	defaultIdleTimeout = time.Minute
	// idleMargin is how much longer it is kept.
	idleMargin = 500 * time.Millisecond
)

// Forwarder is a running request path.
type Forwarder struct {
	cfg     Config
	state   *state
	conns    *exchanger.Pool
	callers *acceptor.Callers
	// listener takes the callers' connections.
	listener *acceptor.Port
	server   *http.Server
	// serveDone is closed when no connection is taken any more.
	serveDone  chan struct{}
	memory  memoryBudget
	metrics *metrics
	overload  overload
	log     *zap.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	// requestCtx is the context of all requests in hand. endCalls ends it, so that each is
	// answered at once with what is known of it.
	requestCtx    context.Context
	cancelRequests context.CancelFunc
	newerPositions   chan int64
	// done is closed when the forwarder has stopped.
	done chan struct{}
}

// Start opens the callers' port and begins to serve.
func Start(cfg Config) (*Forwarder, error) {
	if err := cfg.Check(); err != nil {
		return nil, errors.Wrap(err, "check forwarder settings")
	}
	// Probes of callers' connections would cost four system calls each; idle ones
	// are closed, and others have a time limit.
	l, err := acceptor.Listen(net.ListenConfig{KeepAlive: -1}, "tcp4", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "start forwarder")
	}
	f := &Forwarder{
		cfg:     cfg,
		state:   newState(cfg.Tunables),
		conns:    exchanger.New(exchanger.Config{DialTimeout: dialTimeout, SilentAfter: ackTimeout, MaxIdle: maxIdlePerTarget, Identify: cfg.Identify}),
		log:     cfg.Log.Named("forwarder"),
		callers: acceptor.NewCallers(cfg.MaxCallers),
		newerPositions:  make(chan int64, 1),
		serveDone:  make(chan struct{}),
		done:    make(chan struct{}),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.requestCtx, f.cancelRequests = context.WithCancel(context.Background())
	f.listener = l
	f.memory.limit = cfg.MaxBufferedBytes
	f.metrics = newMetrics(f)
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         f.callers.Note,
		BaseContext:       func(net.Listener) context.Context { return f.requestCtx },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return acceptor.Remember(ctx, c, f.listener.Since())
		},
		ErrorLog: zap.NewStdLog(f.log),
	}
	go f.serve()
	go f.sweep()
	go f.watchOverload()
	f.log.Info("serving callers", zap.String("address", l.Addr().String()))
	return f, nil
}

func (f *Forwarder) serve() {
	defer close(f.serveDone)
	err := f.server.Serve(f.listener)
	if !errors.Is(err, http.ErrServerClosed) && !f.state.stopping.Load() {
		f.log.Error("callers' port lost", reporter.Error(err))
	}
}

// sweep drops what has grown old until the forwarder stops.
func (f *Forwarder) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			reporter.Guard(f.log, "sweep", func() { f.sweepOnce(clocker.Now()) })
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Forwarder) sweepOnce(now identifier.Instant) {
	f.conns.Sweep(now)
	f.callers.Sweep(now, f.idleTimeout())
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.admitter.Tick(now)
}

// idleTimeout returns how long a caller's connection may be idle.
func (f *Forwarder) idleTimeout() time.Duration {
	if s := f.state.snapshot.Load(); s != nil && s.Limits.IdleTimeout > 0 {
		return s.Limits.IdleTimeout + idleMargin
	}
	return defaultIdleTimeout
}

// drainDelay is how long a stopping router goes on taking new requests, so that
// callers are sent elsewhere first.
const drainDelay = 3 * time.Second

// finalAnswerTimeout is how long a stopping router takes to answer the requests that it cannot
// wait for any longer.
const finalAnswerTimeout = 200 * time.Millisecond

// Drain says that the router is not ready, goes on serving while callers are
// sent elsewhere, waits for the requests in hand until ctx ends, and stops. Callers whose
// requests are still in hand then are told what is known of them.
func (f *Forwarder) Drain(ctx context.Context) error {
	f.state.stopping.Store(true)
	f.log.Info("stopping")
	select {
	case <-time.After(drainDelay):
	case <-ctx.Done():
	}
	if err := f.listener.Leave(f.serveDone); err != nil {
		f.log.Info("callers' port was closed before", reporter.Error(err))
	}
	err := f.callers.Leave(ctx)
	if err != nil {
		f.cancelInFlight()
	}
	f.Stop()
	return errors.Wrap(err, "wait for requests in hand")
}

// cancelInFlight ends the requests in hand, and waits until their callers have their answers.
func (f *Forwarder) cancelInFlight() {
	f.cancelRequests()
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTimeout)
	defer cancel()
	if err := f.callers.Leave(ctx); err != nil {
		f.log.Warn("requests in hand are cut off", reporter.Error(err))
	}
}

// Stop ends the forwarder at once.
func (f *Forwarder) Stop() {
	f.cancel()
	f.cancelRequests()
	_ = f.server.Close()
	select {
	case <-f.done:
	default:
		close(f.done)
	}
}

// SetTunables replaces the settings that may change. Wrong ones change nothing.
func (f *Forwarder) SetTunables(t Tunables) error {
	if err := t.check(); err != nil {
		return errors.Wrap(err, "check new settings")
	}
	f.state.tunables.Store(&t)
	return nil
}

// Done is closed when the forwarder has stopped.
func (f *Forwarder) Done() <-chan struct{} { return f.done }
