package informer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"buckthorndrum/admitter"
	"buckthorndrum/forwarder"
	"buckthorndrum/identifier"
	"buckthorndrum/sharer"
)

// reader keeps what it is told.
type reader struct {
	mu    sync.Mutex
	says  forwarder.Summary
	heard map[identifier.Router]forwarder.Summary
	peers int
}

func newReader(running int) *reader {
	return &reader{
		heard: map[identifier.Router]forwarder.Summary{},
		says: forwarder.Summary{
			Loads: map[identifier.Target]admitter.Load{"t": {Running: running}},
			Rates: map[identifier.Workspace]sharer.Rates{"w": {Asked: 2, Given: 1}},
		},
	}
}

func (r *reader) Summary(identifier.Instant) forwarder.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.says
}

func (r *reader) Heard(_ identifier.Instant, p identifier.Router, s forwarder.Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[p] = s
}

func (r *reader) SetPeers(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = n
}

func (r *reader) of(p identifier.Router) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heard[p].Loads["t"].Running
}

func (r *reader) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers
}

func start(t *testing.T, ctx context.Context, self identifier.Router, r *reader) (*Informer, netip.AddrPort) {
	t.Helper()
	i, err := Start(ctx, Config{Self: self, Listen: "127.0.0.1:0", Reader: r, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	return i, i.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// One side that knows the other is enough for both to hear each other.
func TestRoutersTellEachOther(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	a, b := newReader(3), newReader(5)
	ia, _ := start(t, ctx, "a", a)
	ib, address := start(t, ctx, "b", b)
	ia.SetPeers(map[identifier.Router]netip.AddrPort{"a": address, "b": address})
	g.Eventually(func() int { return b.of("a") }, "2s").Should(Equal(3))
	g.Eventually(func() int { return a.of("b") }, "2s").Should(Equal(5))
	g.Eventually(a.count, "2s").Should(Equal(1))
	cancel()
	g.Eventually(ia.Done(), "2s").Should(BeClosed())
	g.Eventually(ib.Done(), "2s").Should(BeClosed())
}

func TestOldMessagesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	i := &Informer{cfg: Config{Self: "a"}, peers: map[identifier.Router]*peer{}}
	from := netip.MustParseAddrPort("127.0.0.1:9")
	g.Expect(i.newest(1, message{From: "b", Incarnation: 4, Number: 7}, from)).To(BeTrue())
	g.Expect(i.newest(1, message{From: "b", Incarnation: 4, Number: 7}, from)).To(BeFalse())
	g.Expect(i.newest(1, message{From: "b", Incarnation: 4, Number: 6}, from)).To(BeFalse())
	g.Expect(i.newest(1, message{From: "b", Incarnation: 9, Number: 1}, from)).To(BeTrue(), "it has started anew")
	g.Expect(i.newest(1, message{From: "a", Incarnation: 4, Number: 1}, from)).To(BeFalse(), "it is its own")
}

func TestSilentPeersAreDropped(t *testing.T) {
	g := NewWithT(t)
	i := &Informer{cfg: Config{Self: "a"}, peers: map[identifier.Router]*peer{}}
	from := netip.MustParseAddrPort("127.0.0.1:9")
	now := identifier.Instant(time.Hour)
	i.newest(now, message{From: "b", Incarnation: 4, Number: 7}, from)
	i.SetPeers(map[identifier.Router]netip.AddrPort{"c": from})
	list, live := i.addresses(now)
	g.Expect(list).To(HaveLen(2))
	g.Expect(live).To(Equal(1))
	list, live = i.addresses(now.Add(2 * forgetAfter))
	g.Expect(list).To(HaveLen(1), "the listed one may only be out of reach")
	g.Expect(live).To(BeZero())
}

func FuzzDecode(f *testing.F) {
	raw, err := cbor.Marshal(message{From: "a", Incarnation: 1, Summary: newReader(1).says})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := decode(raw)
		if err != nil {
			return
		}
		for id, l := range m.Summary.Loads {
			if l.Running < 0 || l.Unread < 0 || l.Memory < 0 {
				t.Fatalf("load of %s is %+v", id, l)
			}
		}
	})
}
