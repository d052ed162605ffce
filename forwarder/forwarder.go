package forwarder

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"buckthorndrum/acceptor"
	"buckthorndrum/clocker"
	"buckthorndrum/exchanger"
	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
	"buckthorndrum/reporter"
)

// Config configures a Forwarder.
type Config struct {
	// Listen is the address on which callers connect, as host:port.
	Listen     string
	Name       identifier.Router
	DataCentre identifier.DataCentre
	Dialect    Dialect
	// Identify returns the ID of the request to which a target's answer belongs.
	Identify func(http.Header) string
	// MaxCallers bounds the number of connections from callers, zero for no bound.
	MaxCallers int
	// EvenOutLoad evens out the load of engines although the reports of other routers are
	// out of date (see docs/design/balancing.md).
	EvenOutLoad bool
	// MaxTargetConns bounds the number of connections to targets, zero for no bound.
	MaxTargetConns int
	// Heads bounds the memory of request heads, and is shared with the process's other
	// ports. Nil is no bound.
	Heads *acceptor.HeadBudget
	// MaxBufferedBytes bounds the total size of the request bodies and answers in
	// memory, in bytes, zero for no bound.
	MaxBufferedBytes int64
	Tunables
	Log *zap.Logger
}

// Tunables are the settings that may change while the process runs.
type Tunables struct {
	// MaxProofAge is the maximum age of the freshness proof of the configuration at
	// which keys are accepted. Zero requires no proof.
	MaxProofAge time.Duration
	// MaxRefusalAge is the maximum age of the proof at which a request is refused because its
	// route or key is not in the configuration: that within which a new configuration must be
	// in force. Zero sets no other bound than MaxProofAge.
	MaxRefusalAge time.Duration
	RetryBudget   RetryBudget
	// ColdBound bounds the requests that all routers together send to a cold target.
	ColdBound permitter.ColdBound
}

// check returns an error for the first tunable that is invalid.
func (t Tunables) check() error {
	if t.RetryBudget.Window < time.Second {
		return errors.Errorf("window of the retry budget is %s, below 1s", t.RetryBudget.Window)
	}
	return nil
}

// Check returns an error for the first setting that is missing or invalid.
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
	// dialTimeout bounds the time to open a connection to a target.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is how long the peer of a connection may acknowledge nothing before
	// the connection is considered lost.
	ackTimeout = 1500 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 64
	// headerTimeout is how long a new connection may send nothing.
	headerTimeout = 10 * time.Second
	// slowReaderMargin is how long after the deadline of a request its caller may still
	// take to read the answer, and how long it may take to read one that is given before
	// the deadline is known.
	slowReaderMargin = 3 * time.Second
	// defaultIdleTimeout is how long a caller's connection may be idle if the
	// configuration does not say.
	defaultIdleTimeout = time.Minute
	// idleMargin is added to the idle timeout of the configuration.
	idleMargin = 500 * time.Millisecond
)

// Forwarder is a running request path. It serves callers on its port until it stops.
type Forwarder struct {
	cfg     Config
	state   *state
	conns   *exchanger.Pool
	callers *acceptor.ConnTracker
	// listener accepts the callers' connections.
	listener *acceptor.Listener
	server   *http.Server
	// serveDone is closed when no further connection is accepted.
	serveDone chan struct{}
	memory    memoryBudget
	metrics   *metrics
	overload  overload
	durations durations
	// rejections is what was logged of the rejections on all ports of the process.
	rejections rejectionLog
	// deniedLines bounds the log lines of denied requests that are warnings.
	deniedLines *rate.Limiter
	log         *zap.Logger
	// startedAt is when the forwarder started.
	startedAt identifier.Instant
	ctx       context.Context
	cancel    context.CancelFunc
	// requestCtx is the parent context of all requests in flight. cancelRequests ends
	// it, so that each of them is answered at once with what is known about it.
	requestCtx     context.Context
	cancelRequests context.CancelFunc
	// newerPositions carries positions of the store that other routers know and this
	// one does not.
	newerPositions chan identifier.StorePosition
	// done is closed when the forwarder has stopped.
	done chan struct{}
}

// Start opens the callers' port and starts to serve. It fails if cfg is invalid or the
// port cannot be opened.
func Start(cfg Config) (*Forwarder, error) {
	if err := cfg.Check(); err != nil {
		return nil, errors.Wrap(err, "check forwarder settings")
	}
	if cfg.Heads == nil {
		cfg.Heads = acceptor.NewHeadBudget(0)
	}
	// Keep-alive probes on callers' connections would cost four system calls each. They
	// are not needed: idle connections are closed, and others have a time limit.
	l, err := acceptor.Listen(acceptor.Config{
		Network: "tcp4", Address: cfg.Listen, Options: net.ListenConfig{KeepAlive: -1},
		Budget: cfg.Heads, MaxConns: cfg.MaxCallers,
	})
	if err != nil {
		return nil, errors.Wrap(err, "open the callers' port")
	}
	f := &Forwarder{
		cfg:            cfg,
		state:          newState(cfg),
		conns:          exchanger.New(exchanger.Config{DialTimeout: dialTimeout, AckTimeout: ackTimeout, MaxIdle: maxIdlePerTarget, MaxConns: cfg.MaxTargetConns, Identify: cfg.Identify}),
		log:            cfg.Log.Named("forwarder"),
		callers:        acceptor.NewConnTracker(cfg.MaxCallers),
		newerPositions: make(chan identifier.StorePosition, 1),
		serveDone:      make(chan struct{}),
		startedAt:      clocker.Now(),
		done:           make(chan struct{}),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.requestCtx, f.cancelRequests = context.WithCancel(context.Background())
	f.listener = l
	f.memory.limit = cfg.MaxBufferedBytes
	f.rejections.counts = map[acceptor.Rejection]int64{}
	f.deniedLines = rate.NewLimiter(deniedLinesPerSecond, deniedLinesAtOnce)
	if cfg.EvenOutLoad {
		f.state.admitter.EvenOutLoad()
	}
	f.metrics = newMetrics(f)
	f.updateWarmUpPolicy(f.startedAt)
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      slowReaderMargin,
		MaxHeaderBytes:    acceptor.MaxHeadBytes,
		ConnState:         f.callers.SetState,
		BaseContext:       func(net.Listener) context.Context { return f.requestCtx },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return acceptor.WithConnection(ctx, c, f.listener.EarliestArrival())
		},
		ErrorLog: zap.NewStdLog(f.log),
	}
	go f.serve()
	go f.sweep()
	go f.watchOverload()
	f.log.Info("serving callers", zap.String("address", l.Addr().String()))
	return f, nil
}

// serve accepts callers' connections until the listener is closed.
func (f *Forwarder) serve() {
	defer close(f.serveDone)
	err := f.server.Serve(f.listener)
	if !errors.Is(err, http.ErrServerClosed) && !f.state.stopping.Load() {
		f.log.Error("serving callers failed", reporter.Error(err))
	}
}

// sweep calls sweepOnce every sweepInterval until the forwarder stops.
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

// sweepOnce closes connections that have been idle for too long and has the admitter
// drop outdated state.
func (f *Forwarder) sweepOnce(now identifier.Instant) {
	f.conns.CloseExpired(now)
	f.callers.CloseIdle(now, f.idleTimeout())
	f.logRejections(now)
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.updateWarmUpPolicy(now)
	f.logWarmUps(now)
	f.state.admitter.Tick(now)
	f.tickIsolator(now)
}

// idleTimeout returns how long a caller's connection may be idle.
func (f *Forwarder) idleTimeout() time.Duration {
	if s := f.state.snapshot.Load(); s != nil && s.Limits.IdleTimeout > 0 {
		return s.Limits.IdleTimeout + idleMargin
	}
	return defaultIdleTimeout
}

// drainDelay is how long a stopping router still accepts new requests while it reports
// that it is not ready, so that callers are directed to other routers first.
const drainDelay = 3 * time.Second

// finalAnswerTimeout is how long a stopping router takes to answer the requests that it
// can no longer wait for.
const finalAnswerTimeout = 200 * time.Millisecond

// Drain stops the forwarder gracefully. It makes Ready report false, goes on serving
// for drainDelay, closes the port, waits for the requests in flight until ctx ends, and
// stops. Requests that are not expected to be done by then are refused. Callers whose
// requests are still in flight then are answered with what is known about their requests,
// and Drain returns an error.
func (f *Forwarder) Drain(ctx context.Context) error {
	f.beginStop(ctx)
	select {
	case <-time.After(drainDelay):
	case <-ctx.Done():
	}
	if err := f.listener.DrainAndClose(f.serveDone); err != nil {
		f.log.Info("closing the callers' port failed", reporter.Error(err))
	}
	f.logStopStep("callers' port closed")
	err := f.callers.Drain(ctx)
	if err != nil {
		f.cancelInFlight()
	}
	f.Stop()
	f.logStopStep("stopped")
	return errors.Wrap(err, "wait for requests in flight")
}

// cancelInFlight ends the requests in flight and waits until their callers have been
// answered, for finalAnswerTimeout at most.
func (f *Forwarder) cancelInFlight() {
	f.cancelRequests()
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTimeout)
	defer cancel()
	if err := f.callers.Drain(ctx); err != nil {
		f.log.Warn("requests in flight were aborted", reporter.Error(err))
	}
}

// Stop stops the forwarder at once.
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

// SetTunables replaces the tunables. It returns an error and changes nothing if they
// are invalid.
func (f *Forwarder) SetTunables(t Tunables) error {
	if err := t.check(); err != nil {
		return errors.Wrap(err, "check tunables")
	}
	f.state.tunables.Store(&t)
	return nil
}

// Done returns a channel that is closed when the forwarder has stopped.
func (f *Forwarder) Done() <-chan struct{} { return f.done }
