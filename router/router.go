package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"buckthorndrum/acceptor"
	"buckthorndrum/reporter"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"buckthorndrum/configurator"
	"buckthorndrum/exchanger"
	"buckthorndrum/identifier"
	"buckthorndrum/linker"
	"buckthorndrum/messenger"
	"buckthorndrum/queuer"
	"buckthorndrum/securer"
	"buckthorndrum/signer"
)

const (
	// tickInterval is how often changed offers are sent and deadlines are checked.
	tickInterval = 2 * time.Millisecond
	// dialInterval is how often missing links are dialled and unwanted ones closed.
	dialInterval = 200 * time.Millisecond
	// refreshInterval is how often all offers are sent again.
	refreshInterval = 5 * time.Second
)

// Router is a running router. Start returns one.
type Router struct {
	cfg         Config
	incarnation identifier.Incarnation
	state       *state
	security    *securer.Securer
	signer      *signer.Signer
	log         *zap.Logger
	traffic     linker.Traffic
	metrics     *metrics
	// client makes the HTTP calls to agents, peerClient those to other routers, and dialer
	// opens the WebSocket links.
	client     *http.Client
	peerClient *http.Client
	dialer     linker.Dialer
	// claimLimiter limits how many keys per second are claimed through this router.
	claimLimiter *rate.Limiter
	server       *http.Server
	// listener accepts the connections of callers and operators, and connections tracks
	// them.
	listener    *acceptor.Listener
	connections *acceptor.ConnTracker
	// serveDone is closed when the server has accepted its last connection.
	serveDone chan struct{}
	// address is the address on which the router listens, as host:port.
	address string
	// done is closed when the router has stopped.
	done   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	// requestCtx is the parent context of all requests. cancelRequests ends it, so that
	// each request in progress is answered at once with what is known about it.
	requestCtx     context.Context
	cancelRequests context.CancelFunc
}

// Start starts a router: it opens the router's port, serves callers and operators, links
// to agents and follows the configuration and the instance list. It returns an error if
// cfg is not valid or the port cannot be opened.
func Start(cfg Config) (*Router, error) {
	if err := cfg.Check(); err != nil {
		return nil, errors.Wrap(err, "check router settings")
	}
	security, err := securer.New(cfg.Security)
	if err != nil {
		return nil, errors.Wrap(err, "set up router security")
	}
	bounds := acceptor.ProcessConfig(cfg.Listen)
	bounds.Heads.Timeout = readHeaderTimeout
	port, err := acceptor.Listen(bounds)
	if err != nil {
		return nil, errors.Wrapf(err, "start router %q", cfg.Name)
	}
	r := assemble(cfg, security, port.Addr().String())
	r.metrics.registry.MustRegister(bounds.Budget.Collectors()...)
	h, err := r.handler()
	if err != nil {
		_ = port.Close()
		return nil, errors.Wrap(err, "build router handler")
	}
	r.listener = port
	r.server = &http.Server{
		Handler: r.closeWhenDraining(h), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, MaxHeaderBytes: acceptor.DefaultMaxHeadBytes,
		ConnState: r.connections.SetState, BaseContext: func(net.Listener) context.Context { return r.requestCtx },
	}
	go r.serve()
	go r.loop()
	go r.watchConfig()
	go r.pollInstances()
	r.log.Info("router started", zap.String("address", r.address))
	return r, nil
}

const (
	// readHeaderTimeout bounds the time for reading a request's header.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time for reading a whole request.
	readTimeout = 15 * time.Second
)

// assemble returns a router that listens on address. It starts nothing.
func assemble(cfg Config, security *securer.Securer, address string) *Router {
	r := &Router{
		cfg:          cfg,
		incarnation:  identifier.NewIncarnation(),
		state:        newState(queuer.Config{Self: cfg.Name}),
		security:     security,
		signer:       signer.New(cfg.Security.Secret),
		connections:  acceptor.NewConnTracker(0),
		serveDone:    make(chan struct{}),
		log:          cfg.Log.Named("router").With(zap.String("router", string(cfg.Name))),
		client:       security.Client(),
		peerClient:   exchanger.NewClient(cancelTimeout),
		claimLimiter: rate.NewLimiter(0, 1),
		address:      address,
		done:         make(chan struct{}),
	}
	r.metrics = newMetrics(r)
	r.dialer = linker.NewDialer(security, string(cfg.Name), r.hello, &r.traffic)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.requestCtx, r.cancelRequests = context.WithCancel(context.Background())
	return r
}

// Address returns the address on which the router listens, as host:port.
func (r *Router) Address() string { return r.address }

// Revision returns the revision of the configuration in force, zero if there is none.
func (r *Router) Revision() identifier.Revision {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	return r.state.adopter.Revision()
}

// LinkedAgents returns how many agents are linked.
func (r *Router) LinkedAgents() int {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	n := 0
	for _, a := range r.state.agents {
		if a.link != nil {
			n++
		}
	}
	return n
}

// Traffic returns how many bytes of control frames were sent and received.
func (r *Router) Traffic() (sent, received int64) {
	return r.traffic.Sent.Load(), r.traffic.Received.Load()
}

// loop does the router's periodic work until the router stops.
func (r *Router) loop() {
	ticks := time.NewTicker(tickInterval)
	links := time.NewTicker(dialInterval)
	refresh := time.NewTicker(refreshInterval)
	heartbeats := time.NewTicker(linker.BeatCheck)
	defer heartbeats.Stop()
	defer ticks.Stop()
	defer links.Stop()
	defer refresh.Stop()
	for {
		select {
		case <-ticks.C:
			r.tick()
		case <-links.C:
			r.dialAgents()
			r.dropUnwanted()
		case <-heartbeats.C:
			r.sendHeartbeats()
			r.tickIsolator()
		case <-refresh.C:
			r.refreshOffers()
		case <-r.ctx.Done():
			return
		}
	}
}

// refreshOffers makes the next tick send all offers again, changed or not.
func (r *Router) refreshOffers() {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.state.queues.Refresh()
}

// tick ends the requests whose deadline passed while they waited, and sends the offers
// that changed.
func (r *Router) tick() {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	for _, it := range r.state.queues.RemoveExpired(now()) {
		if c := r.state.calls[it.Request]; c != nil {
			c.expire()
		}
	}
	r.sendOffers()
}

// sendOffers sends each agent the offers that changed. The caller holds the lock.
func (r *Router) sendOffers() {
	for _, u := range r.state.queues.Updates(now()) {
		if a := r.state.agents[u.Target]; a != nil {
			r.sendFrame(a.link, messenger.Frame{Offers: u.Offers})
		}
	}
}

// sendFrame adds the revision in force to a frame and sends it on l, if l is not nil. A
// failure is logged. The caller holds the lock.
func (r *Router) sendFrame(l *linker.Link, f messenger.Frame) {
	if l == nil {
		return
	}
	f.Revision = r.state.adopter.Revision()
	if err := l.Send(f); err != nil {
		r.log.Warn("frame not sent", zap.String("peer", l.Peer.Name), reporter.Error(err))
	}
}

// applyConfig applies a newly adopted configuration to the queues, the retry budget, the
// claim limit and the links, and sends its revision to the agents. The caller holds the
// lock.
func (r *Router) applyConfig(s *configurator.Snapshot) {
	r.log.Info("configuration in force", zap.Uint64("revision", uint64(s.Revision)))
	r.state.queues.Configure(s.QueuerConfig(r.cfg.Name))
	r.state.budget.SetRatio(s.Document.Limits.RetryRatio)
	r.limitClaims(s)
	r.state.wanted = r.chooseAgents(s)
	r.metrics.revision.Set(float64(s.Revision))
	for t, a := range r.state.agents {
		r.updateServed(t, a)
		r.sendFrame(a.link, messenger.Frame{})
	}
}

// serve accepts connections until the listener is closed.
func (r *Router) serve() {
	defer close(r.serveDone)
	_ = r.server.Serve(r.listener)
}

// closeWhenDraining makes responses of a draining router close their connections.
func (r *Router) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r.stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, q)
	})
}

// stopping reports whether the router is draining.
func (r *Router) stopping() bool {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	return r.state.stopping
}

// Drain refuses new requests, waits until those in progress have their answers or ctx is
// done, and then stops the router. Calls that have already come to its port, even on
// connections that are not yet accepted, get a response. So do the requests still in
// progress when ctx is done: what is known about them. Drain returns the first error of
// these steps.
func (r *Router) Drain(ctx context.Context) error {
	r.state.mu.Lock()
	r.state.stopping = true
	r.state.mu.Unlock()
	r.log.Info("router is draining")
	err := r.waitIdle(ctx)
	if leaveErr := r.listener.DrainAndClose(r.serveDone); err == nil {
		err = leaveErr
	}
	if leaveErr := r.connections.Drain(ctx); leaveErr != nil {
		r.endRequests()
		if err == nil {
			err = leaveErr
		}
	}
	r.Stop()
	return err
}

// finalAnswerTimeout is how long a stopping router takes to answer the requests that it can
// no longer wait for.
const finalAnswerTimeout = 200 * time.Millisecond

// endRequests ends the requests in progress and waits until their callers have been
// answered, for finalAnswerTimeout at most.
func (r *Router) endRequests() {
	r.cancelRequests()
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTimeout)
	defer cancel()
	if err := r.connections.Drain(ctx); err != nil {
		r.log.Warn("requests in progress were cut off", reporter.Error(err))
	}
}

// idlePollInterval is how often a draining router checks whether it is idle.
const idlePollInterval = 10 * time.Millisecond

// waitIdle waits until no request is in progress. It returns an error if ctx ends first.
func (r *Router) waitIdle(ctx context.Context) error {
	for {
		r.state.mu.Lock()
		n := len(r.state.calls)
		r.state.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %d requests in progress", n)
		case <-time.After(idlePollInterval):
		}
	}
}

// Stop stops the router at once, like a crash: it closes all connections and links.
func (r *Router) Stop() {
	r.cancel()
	r.cancelRequests()
	_ = r.server.Close()
	r.state.mu.Lock()
	for _, a := range r.state.agents {
		if a.link != nil {
			a.link.Close()
		}
	}
	r.state.mu.Unlock()
	select {
	case <-r.done:
	default:
		close(r.done)
	}
}

// Done returns a channel that is closed when the router has stopped.
func (r *Router) Done() <-chan struct{} { return r.done }

// RequestPrefix returns the prefix of the ids of this router's requests, made of its name
// and incarnation.
func (r *Router) RequestPrefix() string {
	return fmt.Sprintf("%s-%x-", r.cfg.Name, uint64(r.incarnation))
}

// nextRequest returns a new request id. The caller holds the lock.
func (r *Router) nextRequest() identifier.Request {
	r.state.serial++
	return identifier.Request(fmt.Sprint(r.RequestPrefix(), r.state.serial))
}

// now returns the current time.
func now() identifier.Instant { return identifier.InstantOf(time.Now()) }

// jitter returns a random number from 0 up to, but not including, 1.
func jitter() float64 { return rand.Float64() }
