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

// RouterState supplies what this router sends to the others, and receives what they send.
type RouterState interface {
	// Summary returns what this router has under way.
	Summary(now identifier.Instant) forwarder.Summary
	// Status returns how far this router has followed the store.
	Status(now identifier.Instant) forwarder.Status
	// ReceivePeerSummary receives what all other routers together have under way, and
	// the number of these routers.
	ReceivePeerSummary(now identifier.Instant, others forwarder.Summary, routers int)
	// SetPeerSummaryDelay receives how old the next summary of the other routers is when it
	// arrives.
	SetPeerSummaryDelay(d time.Duration)
	// ReceivePeerStatus receives how far another router had followed the store at an
	// instant.
	ReceivePeerStatus(at identifier.Instant, from identifier.Router, s forwarder.Status)
	// ReceivePeerRevision receives the revision of the configuration that another router has.
	ReceivePeerRevision(now identifier.Instant, r identifier.Revision)
}

// Relay holds the latest changes of the store, and receives those that other routers
// send.
type Relay interface {
	// After returns the changes after a position of the store; ok is false if there
	// are none.
	After(position identifier.StorePosition) (n relayer.ChangeSet, ok bool)
	// ReceiveChanges receives changes from another router.
	ReceiveChanges(n relayer.ChangeSet)
}

// Config is the configuration of an informer.
type Config struct {
	Self identifier.Router
	// Listen is the UDP address, as host:port, on which messages of peers arrive.
	Listen string
	// Weight orders the routers by preference as hubs, the highest first.
	Weight int
	State  RouterState
	// Relay is nil if each router reads all changes from the store itself.
	Relay Relay
	Log   *zap.Logger
}

// maxDatagram is the maximum size of a message, in bytes.
const maxDatagram = 60 << 10

// Informer exchanges messages with the other routers over UDP. It is safe for concurrent
// use.
type Informer struct {
	cfg         Config
	incarnation identifier.Incarnation
	conn        *net.UDPConn
	log         *zap.Logger
	mu          sync.Mutex
	exchange    *exchange
	// totalNumber is the number of the last total sent. isHub is true if this router is
	// a hub.
	totalNumber uint64
	isHub       bool
	// done is closed when the informer has stopped.
	done chan struct{}
}

// Start starts an informer that sends and receives messages until ctx ends. It returns an
// error if the address in cfg is not valid or cannot be listened on.
func Start(ctx context.Context, cfg Config) (*Informer, error) {
	address, err := net.ResolveUDPAddr("udp4", cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve UDP address %q for peers", cfg.Listen)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on UDP address %q", cfg.Listen)
	}
	i := &Informer{cfg: cfg, incarnation: identifier.NewIncarnation(), conn: conn, log: cfg.Log.Named("informer"), exchange: newExchange(cfg.Self), isHub: true, done: make(chan struct{})}
	i.exchange.weight = cfg.Weight
	go i.receiveLoop()
	go i.sendLoop(ctx)
	return i, nil
}

// Done returns a channel that is closed when the informer has stopped.
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

// IsHub reports whether this router is one of the hubs.
func (i *Informer) IsHub() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.isHub
}

// NeedsEntry reports whether this router needs an entry in the list of routers, so that
// others can choose it as a hub.
func (i *Informer) NeedsEntry(now identifier.Instant) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.exchange.needsEntry(now)
}

// HasFreshTotal reports whether a hub's total has arrived recently.
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
			i.log.Warn("received message is not valid", zap.Stringer("peer", from), reporter.Error(err))
			continue
		}
		m.size = n
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
		i.cfg.State.ReceivePeerStatus(at, m.From, m.Status)
	}
	if mostComplete {
		// The reports of the others took about as long as this router's own one, which the
		// total echoes.
		i.cfg.State.SetPeerSummaryDelay(now.Sub(at))
		i.cfg.State.ReceivePeerSummary(now, others, m.Routers-1)
	}
}

// handleReport records a report. Anyone may send one, so that the revision in it counts only if
// it comes from the address of a listed router.
func (i *Informer) handleReport(now identifier.Instant, m message, from netip.AddrPort) {
	i.mu.Lock()
	i.exchange.receiveReport(now, m, from)
	listed := i.exchange.peers[m.From].Address == from
	i.mu.Unlock()
	if listed {
		i.cfg.State.ReceivePeerRevision(now, m.Revision)
	}
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

// changesAfter returns the changes for a router that has followed the store up to a
// position, nil if there are none.
func (i *Informer) changesAfter(position identifier.StorePosition) *relayer.ChangeSet {
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
		case <-time.After(i.Interval()):
			reporter.Guard(i.log, "tell", func() { i.sendRound(clocker.Now()) })
		case <-ctx.Done():
			_ = i.conn.Close()
			return
		}
	}
}

// Interval returns the time between two messages to a hub, or of a hub.
func (i *Informer) Interval() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.exchange.interval()
}

// round holds what is needed to send one report to the hubs and one total to the routers
// that report to this one.
type round struct {
	number    uint64
	addresses []netip.AddrPort
	reports   []*report
	// mostComplete is true if this router is a hub and no fresh total of another hub is
	// more complete than its own.
	mostComplete bool
}

// startRound chooses the hubs, records the report that is about to be sent to them, and
// collects the reports for the total.
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

// sendRound sends a report to the hubs, and the total to the routers that report to this
// one.
func (i *Informer) sendRound(now identifier.Instant) {
	own := i.cfg.State.Summary(now)
	r := i.startRound(now, own)
	// The status is read after the reports were collected. The routers date its proof back
	// from their reports, and this process may have been suspended before.
	status := i.cfg.State.Status(clocker.Now())
	m := message{From: i.cfg.Self, Incarnation: i.incarnation, Number: r.number, Summary: own, Status: status}
	i.sendReport(m, r.addresses)
	i.sendTotal(now, m, r.reports, r.mostComplete)
}

// sendReport sends this router's report to the hubs.
func (i *Informer) sendReport(m message, hubs []netip.AddrPort) {
	report, err := m.encode()
	if err != nil {
		i.log.Error("report could not be encoded", reporter.Error(err))
		return
	}
	for _, a := range hubs {
		i.send(report, a)
	}
}

// sendTotal adds up all reports and sends the total to the routers that sent them. If this
// router's own total is the most complete one, its State receives the others' part.
func (i *Informer) sendTotal(now identifier.Instant, own message, reports []*report, mostComplete bool) {
	if len(reports) == 0 {
		if mostComplete {
			i.cfg.State.ReceivePeerSummary(now, forwarder.Summary{}, 0)
		}
		return
	}
	others := forwarder.NewSummary()
	var ages time.Duration
	for _, r := range reports {
		others.Add(r.Summary.Aged(now.Sub(r.receivedAt)))
		ages += now.Sub(r.receivedAt)
	}
	if mostComplete {
		i.cfg.State.SetPeerSummaryDelay(ages / time.Duration(len(reports)))
		i.cfg.State.ReceivePeerSummary(now, others, len(reports))
	}
	i.totalNumber++
	own.Number, own.Summary, own.Routers = i.totalNumber, others.Plus(own.Summary), len(reports)+1
	total, err := own.encode()
	if err != nil {
		i.log.Error("total could not be encoded", reporter.Error(err))
		return
	}
	for _, r := range reports {
		total.Echo = r.Number
		total.Changes = i.changesAfter(identifier.StorePosition{Era: r.Status.Era, Revision: r.Status.Position})
		i.send(total, r.address)
	}
}

func (i *Informer) send(m encodedMessage, to netip.AddrPort) {
	raw, err := cbor.Marshal(m)
	if err != nil || len(raw) > maxDatagram {
		i.log.Error("message could not be encoded or is too large", zap.Stringer("peer", to), zap.Int("bytes", len(raw)), reporter.Error(err))
		return
	}
	// The next message replaces one that cannot be sent.
	_, _ = i.conn.WriteToUDPAddrPort(raw, to)
}
