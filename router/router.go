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
	"buckthorndrum/identifier"
	"buckthorndrum/linker"
	"buckthorndrum/messenger"
	"buckthorndrum/queuer"
	"buckthorndrum/securer"
	"buckthorndrum/signer"
)

const (
	// tick is how often offers are sent and deadlines are looked at.
	tick = 2 * time.Millisecond
	// linkEvery is how often missing links are dialled.
	linkEvery = 200 * time.Millisecond
	// refreshEvery is how often all offers are sent anew.
	refreshEvery = 5 * time.Second
)

// Router is a running router.
type Router struct {
	cfg     Config
	inc     identifier.Incarnation
	board   *board
	sec     *securer.Securer
	sign    *signer.Signer
	log     *zap.Logger
	traffic linker.Traffic
	metrics *metrics
	// client makes the calls to agents, dialer opens the WebSocket links.
	client *http.Client
	dialer linker.Dialer
	claims *rate.Limiter
	server *http.Server
	// port takes the connections of callers and operators, and callers keeps count
	// of them.
	port    *acceptor.Listener
	callers *acceptor.ConnTracker
	// served is closed when the server has taken its last connection.
	served chan struct{}
	// address is where callers and operators reach the router.
	address string
	// done is closed when the router has stopped.
	done   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
}

// Start opens the router's port and begins to serve.
func Start(cfg Config) (*Router, error) {
	if err := cfg.Check(); err != nil {
		return nil, errors.Wrap(err, "check router settings")
	}
	sec, err := securer.New(cfg.Security)
	if err != nil {
		return nil, errors.Wrap(err, "set up router security")
	}
	port, err := acceptor.Listen(net.ListenConfig{}, "tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "start router %q", cfg.Name)
	}
	r := assemble(cfg, sec, port.Addr().String())
	h, err := r.handler()
	if err != nil {
		_ = port.Close()
		return nil, errors.Wrap(err, "build router handler")
	}
	r.port = port
	r.server = &http.Server{Handler: r.asksToLeave(h), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, ConnState: r.callers.SetState}
	go r.serve()
	go r.loop()
	go r.watchConfig()
	go r.followList()
	r.log.Info("router started", zap.String("address", r.address))
	return r, nil
}

const (
	// readHeaderTimeout bounds the reading of a request's header.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the reading of a whole request.
	readTimeout = 15 * time.Second
)

func assemble(cfg Config, sec *securer.Securer, address string) *Router {
	r := &Router{
		cfg:     cfg,
		inc:     identifier.NewIncarnation(),
		board:   newBoard(queuer.Config{Self: cfg.Name}),
		sec:     sec,
		sign:    signer.New(cfg.Security.Secret),
		callers: acceptor.NewConnTracker(0),
		served:  make(chan struct{}),
		log:     cfg.Log.Named("router").With(zap.String("router", string(cfg.Name))),
		client:  sec.Client(),
		claims:  rate.NewLimiter(0, 1),
		address: address,
		done:    make(chan struct{}),
	}
	r.metrics = newMetrics(r)
	r.dialer = linker.NewDialer(sec, string(cfg.Name), r.hello, &r.traffic)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Address returns the address on which the router listens.
func (r *Router) Address() string { return r.address }

// Revision returns the configuration revision in force.
func (r *Router) Revision() identifier.Revision {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	return r.board.adopter.Revision()
}

// Linked returns how many agents are linked.
func (r *Router) Linked() int {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	n := 0
	for _, a := range r.board.agents {
		if a.link != nil {
			n++
		}
	}
	return n
}

// Traffic returns the control bytes sent and received.
func (r *Router) Traffic() (sent, received int64) {
	return r.traffic.Sent.Load(), r.traffic.Received.Load()
}

func (r *Router) loop() {
	ticks := time.NewTicker(tick)
	links := time.NewTicker(linkEvery)
	refresh := time.NewTicker(refreshEvery)
	beats := time.NewTicker(linker.BeatCheck)
	defer beats.Stop()
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
		case <-beats.C:
			r.beat()
		case <-refresh.C:
			r.refresh()
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *Router) refresh() {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	r.board.queues.Refresh()
}

// tick gives up what has passed its deadline and sends the offers that changed.
func (r *Router) tick() {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	for _, it := range r.board.queues.RemoveExpired(now()) {
		if c := r.board.calls[it.Request]; c != nil {
			c.expire()
		}
	}
	r.flush()
}

// flush sends the offers that changed. The caller holds the lock.
func (r *Router) flush() {
	for _, u := range r.board.queues.Updates(now()) {
		if a := r.board.agents[u.Target]; a != nil {
			r.send(a.link, messenger.Frame{Offers: u.Offers})
		}
	}
}

// send adds the revision to a frame and sends it. The caller holds the lock.
func (r *Router) send(l *linker.Link, f messenger.Frame) {
	if l == nil {
		return
	}
	f.Revision = r.board.adopter.Revision()
	if err := l.Send(f); err != nil {
		r.log.Warn("frame not sent", zap.String("peer", l.Peer.Name), reporter.Error(err))
	}
}

// enforce puts a newly adopted configuration in force. The caller holds the
// lock.
func (r *Router) enforce(s *configurator.Snapshot) {
	r.log.Info("configuration in force", zap.Uint64("revision", uint64(s.Revision)))
	r.board.queues.Configure(s.QueuerConfig(r.cfg.Name))
	r.board.budget.SetRatio(s.Document.Limits.RetryRatio)
	r.limitClaims(s)
	r.board.wanted = r.chooseAgents(s)
	r.metrics.revision.Set(float64(s.Revision))
	for t, a := range r.board.agents {
		r.noteServed(t, a)
		r.send(a.link, messenger.Frame{})
	}
}

// serve takes connections until the port is closed.
func (r *Router) serve() {
	defer close(r.served)
	_ = r.server.Serve(r.port)
}

// asksToLeave has callers close their connections while the router is draining.
func (r *Router) asksToLeave(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r.stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, q)
	})
}

func (r *Router) stopping() bool {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	return r.board.stopping
}

// Drain refuses new requests, waits until those in hand have their answers, or
// ctx is done, and then stops the router. What has come to its port is answered.
func (r *Router) Drain(ctx context.Context) error {
	r.board.mu.Lock()
	r.board.stopping = true
	r.board.mu.Unlock()
	r.log.Info("router is draining")
	err := r.waitIdle(ctx)
	if left := r.port.DrainAndClose(r.served); err == nil {
		err = left
	}
	if left := r.callers.Drain(ctx); err == nil {
		err = left
	}
	r.Stop()
	return err
}

// idlePoll is how often a draining router looks whether it is idle.
const idlePoll = 10 * time.Millisecond

func (r *Router) waitIdle(ctx context.Context) error {
	for {
		r.board.mu.Lock()
		n := len(r.board.calls)
		r.board.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %d requests in hand", n)
		case <-time.After(idlePoll):
		}
	}
}

// Stop ends the router at once, as a crash would.
func (r *Router) Stop() {
	r.cancel()
	_ = r.server.Close()
	r.board.mu.Lock()
	for _, a := range r.board.agents {
		if a.link != nil {
			a.link.Close()
		}
	}
	r.board.mu.Unlock()
	select {
	case <-r.done:
	default:
		close(r.done)
	}
}

// Done is closed when the router has stopped.
func (r *Router) Done() <-chan struct{} { return r.done }

// RequestPrefix is what the ids of this router's requests begin with.
func (r *Router) RequestPrefix() string { return fmt.Sprintf("%s-%x-", r.cfg.Name, uint64(r.inc)) }

// nextRequest returns a new request id. The caller holds the lock.
func (r *Router) nextRequest() identifier.Request {
	r.board.serial++
	return identifier.Request(fmt.Sprint(r.RequestPrefix(), r.board.serial))
}

func now() identifier.Instant { return identifier.InstantOf(time.Now()) }

// jitter returns a random number from 0 to 1.
func jitter() float64 { return rand.Float64() }
