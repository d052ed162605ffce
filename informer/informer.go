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
	"buckthorndrum/reporter"
)

// Reader is who is told what peers say, and asked what to say.
type Reader interface {
	// Summary returns what the peers are told.
	Summary(now identifier.Instant) forwarder.Summary
	// Heard takes in what a peer says.
	Heard(now identifier.Instant, p identifier.Router, s forwarder.Summary)
	// SetPeers takes in how many peers there are.
	SetPeers(n int)
}

// Config sets up an informer.
type Config struct {
	Self identifier.Router
	// Listen is the UDP address, as host:port, on which peers are heard.
	Listen string
	Reader Reader
	Log    *zap.Logger
}

const (
	// every is the time between two messages.
	every = 100 * time.Millisecond
	// forgetAfter is when a peer that is not listed and says nothing is dropped.
	forgetAfter = 5 * time.Second
	// maxDatagram bounds a message, in bytes.
	maxDatagram = 60 << 10
)

// peer is another router.
type peer struct {
	address netip.AddrPort
	// listed tells that the list of routers names it.
	listed bool
	// incarnation and number are of the latest message, heard when it came.
	incarnation identifier.Incarnation
	number      uint64
	heard       identifier.Instant
}

// Informer exchanges messages with the other routers.
type Informer struct {
	cfg  Config
	inc  identifier.Incarnation
	conn *net.UDPConn
	log  *zap.Logger
	mu   sync.Mutex
	// peers holds those that are listed or were heard lately.
	peers  map[identifier.Router]*peer
	number uint64
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
	i := &Informer{cfg: cfg, inc: identifier.NewIncarnation(), conn: conn, log: cfg.Log.Named("informer"), peers: map[identifier.Router]*peer{}, done: make(chan struct{})}
	go i.listen()
	go i.tell(ctx)
	return i, nil
}

// Done is closed when the informer has stopped.
func (i *Informer) Done() <-chan struct{} { return i.done }

// SetPeers replaces the list of routers.
func (i *Informer) SetPeers(list map[identifier.Router]netip.AddrPort) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for id, p := range i.peers {
		p.listed = list[id].IsValid()
	}
	for id, address := range list {
		if id == i.cfg.Self {
			continue
		}
		if p := i.peers[id]; p != nil {
			p.address = address
			continue
		}
		i.peers[id] = &peer{address: address, listed: true}
	}
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
		if now := clocker.Now(); i.newest(now, m, from) {
			i.cfg.Reader.Heard(now, m.From, m.Summary)
		}
	}
}

// newest tells whether a message is later than all before it from its sender.
func (i *Informer) newest(now identifier.Instant, m message, from netip.AddrPort) bool {
	if m.From == i.cfg.Self {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	p := i.peers[m.From]
	if p == nil {
		p = &peer{}
		i.peers[m.From] = p
	}
	if p.incarnation == m.Incarnation && m.Number <= p.number {
		return false
	}
	p.address, p.incarnation, p.number, p.heard = from, m.Incarnation, m.Number, now
	return true
}

func (i *Informer) tell(ctx context.Context) {
	ticks := time.NewTicker(every)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			i.tellOnce(clocker.Now())
		case <-ctx.Done():
			_ = i.conn.Close()
			return
		}
	}
}

func (i *Informer) tellOnce(now identifier.Instant) {
	i.number++
	raw, err := cbor.Marshal(message{From: i.cfg.Self, Incarnation: i.inc, Number: i.number, Summary: i.cfg.Reader.Summary(now)})
	if err != nil || len(raw) > maxDatagram {
		i.log.Error("message not sent", zap.Int("bytes", len(raw)), reporter.Error(err))
		return
	}
	addresses, live := i.addresses(now)
	i.cfg.Reader.SetPeers(live)
	for _, a := range addresses {
		_, _ = i.conn.WriteToUDPAddrPort(raw, a)
	}
}

// addresses returns where to send, and how many peers were heard lately.
func (i *Informer) addresses(now identifier.Instant) ([]netip.AddrPort, int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	live := 0
	list := make([]netip.AddrPort, 0, len(i.peers))
	for id, p := range i.peers {
		quiet := p.heard == 0 || now.Sub(p.heard) > forgetAfter
		if quiet && !p.listed {
			delete(i.peers, id)
			continue
		}
		if !quiet {
			live++
		}
		list = append(list, p.address)
	}
	return list, live
}
