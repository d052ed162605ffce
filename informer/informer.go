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
	// ReceivePeerStatus takes in how far another router had followed the configuration at
	// an instant.
	ReceivePeerStatus(at identifier.Instant, s forwarder.Status)
}

// Relay is who knows the store's latest changes, and is told those that others
// know.
type Relay interface {
	// After returns what has changed after a position of the store; ok is false if
	// that is nothing.
	After(position int64) (n relayer.ChangeSet, ok bool)
	// ReceiveChanges takes in what another router knows of.
	ReceiveChanges(n relayer.ChangeSet)
}

// Config sets up an informer.
type Config struct {
	Self identifier.Router
	// Listen is the UDP address, as host:port, on which peers are heard.
	Listen string
	// Weight orders the routers that are asked to be hubs, the highest first.
	Weight int
	State  RouterState
	// Relay is nil where each router asks the store itself.
	Relay Relay
	Log   *zap.Logger
}

// maxDatagram bounds a message, in bytes.
const maxDatagram = 60 << 10

// Informer exchanges messages with the other routers.
type Informer struct {
	cfg         Config
	incarnation identifier.Incarnation
	conn        *net.UDPConn
	log         *zap.Logger
	mu          sync.Mutex
	exchange    *exchange
	// totalNumber is the number of the last total sent, isHub whether this router is to
	// be a hub.
	totalNumber uint64
	isHub       bool
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
	i := &Informer{cfg: cfg, incarnation: identifier.NewIncarnation(), conn: conn, log: cfg.Log.Named("informer"), exchange: newExchange(cfg.Self), isHub: true, done: make(chan struct{})}
	i.exchange.weight = cfg.Weight
	go i.receiveLoop()
	go i.sendLoop(ctx)
	return i, nil
}

// Done is closed when the informer has stopped.
func (i *Informer) Done() <-chan struct{} { return i.done }

// SetPeers replaces the list of routers.
func (i *Informer) SetPeers(list map[identifier.Router]Peer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	peers := make(map[identifier.Router]Peer, len(list))
	for id, p := range list {
		peers[id] = p
	}
	i.exchange.setPeers(peers)
}

// IsHub tells whether this router is one of those that the others report to.
func (i *Informer) IsHub() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.isHub
}

// NeedsEntry tells whether this router is to have an entry in the list of routers.
func (i *Informer) NeedsEntry(now identifier.Instant) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.exchange.needsEntry(now)
}

// HasFreshTotal tells whether a hub has told this router a total lately.
func (i *Informer) HasFreshTotal(now identifier.Instant) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.exchange.hasFreshTotal(now)
}

func (i *Informer) receiveLoop() {
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
		reporter.Guard(i.log, "take message", func() { i.handle(clocker.Now(), m, from) })
	}
}

func (i *Informer) handle(now identifier.Instant, m message, from netip.AddrPort) {
	if !m.isTotal() {
		i.handleReport(now, m, from)
		return
	}
	others, at, mostComplete := i.handleTotal(now, m, i.cfg.State.Status(now).ProofAge)
	if at > 0 {
		i.relayChanges(m)
		i.cfg.State.ReceivePeerStatus(at, m.Status)
	}
	if mostComplete {
		i.cfg.State.ReceivePeerSummary(now, others, m.Routers-1)
	}
}

func (i *Informer) handleReport(now identifier.Instant, m message, from netip.AddrPort) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.exchange.receiveReport(now, m, from)
}

func (i *Informer) handleTotal(now identifier.Instant, m message, proofAge time.Duration) (others forwarder.Summary, at identifier.Instant, mostComplete bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.exchange.receiveTotal(now, m, proofAge)
}

func (i *Informer) relayChanges(m message) {
	if m.Changes != nil && i.cfg.Relay != nil {
		i.cfg.Relay.ReceiveChanges(*m.Changes)
	}
}

// changesAfter returns what a router that has got to a position has not heard, nil if
// that is nothing.
func (i *Informer) changesAfter(position int64) *relayer.ChangeSet {
	if i.cfg.Relay == nil {
		return nil
	}
	changes, ok := i.cfg.Relay.After(position)
	if !ok {
		return nil
	}
	return &changes
}

func (i *Informer) sendLoop(ctx context.Context) {
	for {
		select {
		case <-time.After(i.interval()):
			reporter.Guard(i.log, "tell", func() { i.sendRound(clocker.Now()) })
		case <-ctx.Done():
			_ = i.conn.Close()
			return
		}
	}
}

func (i *Informer) interval() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.exchange.interval()
}

// round is what one message to the hubs and one total to the others need.
type round struct {
	number    uint64
	addresses []netip.AddrPort
	reports   []*report
	// mostComplete tells that this router's own total is the fullest.
	mostComplete bool
}

// startRound begins a round.
func (i *Informer) startRound(now identifier.Instant, own forwarder.Summary) round {
	i.mu.Lock()
	defer i.mu.Unlock()
	to, isHub := i.exchange.chooseHubs(now)
	i.isHub = isHub
	r := round{number: i.exchange.recordSent(now, to, own), reports: i.exchange.liveReports(now)}
	for _, id := range to {
		r.addresses = append(r.addresses, i.exchange.peers[id].Address)
	}
	if isHub {
		i.exchange.routers = len(r.reports) + 1
	}
	r.mostComplete = isHub && i.exchange.isMostComplete(now, i.cfg.Self, len(r.reports)+1)
	return r
}

// sendRound reports to the hubs, and tells those who report here the total.
func (i *Informer) sendRound(now identifier.Instant) {
	own, status := i.cfg.State.Summary(now), i.cfg.State.Status(now)
	r := i.startRound(now, own)
	m := message{From: i.cfg.Self, Incarnation: i.incarnation, Number: r.number, Summary: own, Status: status}
	i.sendReport(m, r.addresses)
	i.sendTotal(now, m, r.reports, r.mostComplete)
}

// sendReport tells the hubs what this router has under way.
func (i *Informer) sendReport(m message, hubs []netip.AddrPort) {
	report, err := m.encode()
	if err != nil {
		i.log.Error("report not sent", reporter.Error(err))
		return
	}
	for _, a := range hubs {
		i.send(report, a)
	}
}

// sendTotal adds up all reports and tells those who sent them.
func (i *Informer) sendTotal(now identifier.Instant, own message, reports []*report, mostComplete bool) {
	if len(reports) == 0 {
		if mostComplete {
			i.cfg.State.ReceivePeerSummary(now, forwarder.Summary{}, 0)
		}
		return
	}
	others := forwarder.NewSummary()
	for _, r := range reports {
		others.Add(r.Summary.Aged(now.Sub(r.receivedAt)))
	}
	if mostComplete {
		i.cfg.State.ReceivePeerSummary(now, others, len(reports))
	}
	i.totalNumber++
	own.Number, own.Summary, own.Routers = i.totalNumber, others.Plus(own.Summary), len(reports)+1
	total, err := own.encode()
	if err != nil {
		i.log.Error("total not sent", reporter.Error(err))
		return
	}
	for _, r := range reports {
		total.Echo = r.Number
		total.Changes = i.changesAfter(r.Status.Position)
		i.send(total, r.address)
	}
}

func (i *Informer) send(m encodedMessage, to netip.AddrPort) {
	raw, err := cbor.Marshal(m)
	if err != nil || len(raw) > maxDatagram {
		i.log.Error("message not sent", zap.Stringer("peer", to), zap.Int("bytes", len(raw)), reporter.Error(err))
		return
	}
	// What cannot be sent now is made up for by the next message.
	_, _ = i.conn.WriteToUDPAddrPort(raw, to)
}
