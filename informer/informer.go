package informer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"buckthorndrum/clocker"
	"buckthorndrum/forwarder"
	"buckthorndrum/identifier"
	"buckthorndrum/relayer"
	"buckthorndrum/reporter"
)

// RouterState is who is asked what to say, and told what the other routers say.
type RouterState interface {
	// Summary returns what this router has under way.
	Summary(now identifier.Instant) forwarder.Summary
	// Status returns how far this router has followed the configuration.
	Status(now identifier.Instant) forwarder.Status
	// ReceivePeerSummary takes in what all others together have under way, and how many they
	// are.
	ReceivePeerSummary(now identifier.Instant, others forwarder.Summary, routers int)
	// Vouched takes in how far another router had followed the configuration at
	// an instant.
	Vouched(at identifier.Instant, s forwarder.Status)
}

// Relay is who knows the store's latest changes, and is told those that others
// know.
type Relay interface {
	// After returns what has changed after a position of the store; ok is false if
	// that is nothing.
	After(position int64) (n relayer.ChangeSet, ok bool)
	// Told takes in what another router knows of.
	Told(n relayer.ChangeSet)
}

// Config sets up an informer.
type Config struct {
	Self identifier.Router
	// Listen is the UDP address, as host:port, on which peers are heard.
	Listen string
	// Weight orders the routers that are asked to be hubs, the highest first.
	Weight int
	State RouterState
	// Relay is nil where each router asks the store itself.
	Relay Relay
	Log   *zap.Logger
}

// maxDatagram bounds a message, in bytes.
const maxDatagram = 60 << 10

// Informer exchanges messages with the other routers.
type Informer struct {
	cfg  Config
	inc  identifier.Incarnation
	conn *net.UDPConn
	log  *zap.Logger
	mu   sync.Mutex
	x    *exchange
	// totals is the number of the last total sent, isHub whether this router is to
	// be a hub.
	totals uint64
	isHub  bool
	// done is closed when the informer has stopped.
	done chan struct{}
}

// Start begins to tell and to listen, until ctx ends.
func Start(ctx context.Context, cfg Config) (*Informer, error) {
	address, err := net.ResolveUDPAddr("udp4", cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "address for peers %s", cfg.Listen)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s", cfg.Listen)
	}
	i := &Informer{cfg: cfg, inc: identifier.NewIncarnation(), conn: conn, log: cfg.Log.Named("informer"), x: newExchange(cfg.Self), isHub: true, done: make(chan struct{})}
	i.x.weight = cfg.Weight
	go i.listen()
	go i.tell(ctx)
	return i, nil
}

// Done is closed when the informer has stopped.
func (i *Informer) Done() <-chan struct{} { return i.done }

// SetPeers replaces the list of routers.
func (i *Informer) SetPeers(list map[identifier.Router]Peer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	own := make(map[identifier.Router]Peer, len(list))
	for id, p := range list {
		own[id] = p
	}
	i.x.list(own)
}

// IsHub tells whether this router is one of those that the others report to.
func (i *Informer) IsHub() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.isHub
}

// Needed tells whether this router is to have an entry in the list of routers.
func (i *Informer) Needed(now identifier.Instant) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.x.needed(now)
}

// Told tells whether a hub has told this router a total lately.
func (i *Informer) Told(now identifier.Instant) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.x.told(now)
}

func (i *Informer) listen() {
	defer close(i.done)
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := i.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		m, err := decode(buf[:n])
		if err != nil {
			i.log.Warn("message not understood", zap.Stringer("peer", from), reporter.Error(err))
			continue
		}
		reporter.Guard(i.log, "take message", func() { i.take(clocker.Now(), m, from) })
	}
}

func (i *Informer) take(now identifier.Instant, m message, from netip.AddrPort) {
	if !m.isTotal() {
		i.reported(now, m, from)
		return
	}
	others, at, believed := i.believe(now, m, i.cfg.State.Status(now).ProofAge)
	if at > 0 {
		i.relay(m)
		i.cfg.State.Vouched(at, m.Status)
	}
	if believed {
		i.cfg.State.ReceivePeerSummary(now, others, m.Routers-1)
	}
}

func (i *Informer) reported(now identifier.Instant, m message, from netip.AddrPort) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.x.reported(now, m, from)
}

func (i *Informer) believe(now identifier.Instant, m message, proved time.Duration) (others forwarder.Summary, at identifier.Instant, believed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.x.total(now, m, proved)
}

func (i *Informer) relay(m message) {
	if m.News != nil && i.cfg.Relay != nil {
		i.cfg.Relay.Told(*m.News)
	}
}

// newsFor returns what a router that has got to a position has not heard, nil if
// that is nothing.
func (i *Informer) newsFor(position int64) *relayer.ChangeSet {
	if i.cfg.Relay == nil {
		return nil
	}
	n, ok := i.cfg.Relay.After(position)
	if !ok {
		return nil
	}
	return &n
}

func (i *Informer) tell(ctx context.Context) {
	for {
		select {
		case <-time.After(i.pause()):
			reporter.Guard(i.log, "tell", func() { i.tellOnce(clocker.Now()) })
		case <-ctx.Done():
			_ = i.conn.Close()
			return
		}
	}
}

func (i *Informer) pause() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.x.every()
}

// round is what one message to the hubs and one total to the others need.
type round struct {
	number    uint64
	addresses []netip.AddrPort
	live      []*report
	// believed tells that this router's own total is the fullest.
	believed bool
}

// next begins a round.
func (i *Informer) next(now identifier.Instant, own forwarder.Summary) round {
	i.mu.Lock()
	defer i.mu.Unlock()
	to, isHub := i.x.chosen(now)
	i.isHub = isHub
	r := round{number: i.x.reporting(now, to, own), live: i.x.live(now)}
	for _, id := range to {
		r.addresses = append(r.addresses, i.x.listed[id].Address)
	}
	if isHub {
		i.x.routers = len(r.live) + 1
	}
	r.believed = isHub && i.x.believes(now, i.cfg.Self, len(r.live)+1)
	return r
}

// tellOnce reports to the hubs, and tells those who report here the total.
func (i *Informer) tellOnce(now identifier.Instant) {
	own, status := i.cfg.State.Summary(now), i.cfg.State.Status(now)
	r := i.next(now, own)
	m := message{From: i.cfg.Self, Incarnation: i.inc, Number: r.number, Summary: own, Status: status}
	i.report(m, r.addresses)
	i.total(now, m, r.live, r.believed)
}

// report tells the hubs what this router has under way.
func (i *Informer) report(m message, hubs []netip.AddrPort) {
	report, err := m.encode()
	if err != nil {
		i.log.Error("report not sent", reporter.Error(err))
		return
	}
	for _, a := range hubs {
		i.send(report, a)
	}
}

// total adds up all reports and tells those who sent them.
func (i *Informer) total(now identifier.Instant, own message, live []*report, believed bool) {
	if len(live) == 0 {
		if believed {
			i.cfg.State.ReceivePeerSummary(now, forwarder.Summary{}, 0)
		}
		return
	}
	others := forwarder.NewSummary()
	for _, r := range live {
		others.Add(r.Summary.Aged(now.Sub(r.heard)))
	}
	if believed {
		i.cfg.State.ReceivePeerSummary(now, others, len(live))
	}
	i.totals++
	own.Number, own.Summary, own.Routers = i.totals, others.Plus(own.Summary), len(live)+1
	total, err := own.encode()
	if err != nil {
		i.log.Error("total not sent", reporter.Error(err))
		return
	}
	for _, r := range live {
		total.Echo = r.Number
		total.News = i.newsFor(r.Status.Position)
		i.send(total, r.address)
	}
}

func (i *Informer) send(m encoded, to netip.AddrPort) {
	raw, err := cbor.Marshal(m)
	if err != nil || len(raw) > maxDatagram {
		i.log.Error("message not sent", zap.Stringer("peer", to), zap.Int("bytes", len(raw)), reporter.Error(err))
		return
	}
	// What cannot be sent now is made up for by the next message.
	_, _ = i.conn.WriteToUDPAddrPort(raw, to)
}
