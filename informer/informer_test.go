package informer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
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
	mu      sync.Mutex
	says    forwarder.Summary
	others  forwarder.Summary
	routers int
	vouched forwarder.Status
}

func newReader(running int) *reader {
	return &reader{says: running1(running)}
}

// running1 is a summary with so many requests at target t.
func running1(n int) forwarder.Summary {
	return forwarder.Summary{
		Loads: map[identifier.Target]admitter.Load{"t": {Running: n}},
		Rates: map[identifier.Workspace]sharer.Rates{"w": {Asked: 2 * n, Given: n}},
	}
}

func (r *reader) Summary(identifier.Instant) forwarder.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.says
}

func (r *reader) Status(identifier.Instant) forwarder.Status { return forwarder.Status{Position: 9} }

func (r *reader) ReceivePeerSummary(_ identifier.Instant, others forwarder.Summary, routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others, r.routers = others, routers
}

func (r *reader) ReceivePeerStatus(_ identifier.Instant, s forwarder.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vouched = s
}

// state returns what others run, how many they are and how far one has vouched.
func (r *reader) state() [3]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return [3]int{r.others.Loads["t"].Running, r.routers, int(r.vouched.Position)}
}

// fleet starts a router for each running count, and tells all of all.
func fleet(t *testing.T, ctx context.Context, running ...int) ([]*Informer, []*reader) {
	t.Helper()
	informers, readers := make([]*Informer, len(running)), make([]*reader, len(running))
	list := map[identifier.Router]Peer{}
	for n, r := range running {
		readers[n] = newReader(r)
		id := identifier.Router('a' + rune(n))
		i, err := Start(ctx, Config{Self: id, Listen: "127.0.0.1:0", Weight: 100 - n, State: readers[n], Log: zap.NewNop()})
		if err != nil {
			t.Fatal(err)
		}
		informers[n] = i
		list[id] = Peer{Address: i.conn.LocalAddr().(*net.UDPAddr).AddrPort(), Weight: 100 - n}
	}
	for _, i := range informers {
		i.SetPeers(list)
	}
	return informers, readers
}

func TestEachKnowsWhatAllOthersHave(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	informers, readers := fleet(t, ctx, 1, 2, 4, 8)
	for n, own := range []int{1, 2, 4, 8} {
		g.Eventually(readers[n].state, "3s").Should(Equal([3]int{15 - own, 3, 9}), "router %d", n)
	}
	g.Expect([]bool{informers[0].IsHub(), informers[1].IsHub(), informers[2].IsHub()}).To(Equal([]bool{true, true, false}))
	cancel()
	for _, i := range informers {
		g.Eventually(i.Done(), "2s").Should(BeClosed())
	}
}

// What a target has said to one router reaches the others through a hub, older by the
// time that it took.
func TestNoticesReachTheOthers(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, readers := fleet(t, ctx, 1, 2, 4, 8)
	said := admitter.Notice{Start: 3, Age: time.Second}
	readers[2].mu.Lock()
	readers[2].says.Leaving = admitter.Notices{"t": said}
	readers[2].mu.Unlock()
	for _, n := range []int{0, 1, 3} {
		g.Eventually(func() admitter.Notice {
			readers[n].mu.Lock()
			defer readers[n].mu.Unlock()
			return readers[n].others.Leaving["t"]
		}, "3s").Should(And(HaveField("Start", said.Start), HaveField("Age", BeNumerically(">=", said.Age))), "router %d", n)
	}
}

func TestNextRouterBecomesHub(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	informers, readers := fleet(t, ctx, 1, 2, 4, 8)
	g.Eventually(readers[3].state, "3s").Should(Equal([3]int{7, 3, 9}))
	_ = informers[0].conn.Close()
	_ = informers[1].conn.Close()
	g.Eventually(readers[3].state, "5s").Should(Equal([3]int{4, 1, 9}))
	g.Expect(informers[2].IsHub()).To(BeTrue())
}

func TestLoneRouterHearsOfNobody(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	informers, readers := fleet(t, ctx, 3)
	g.Consistently(readers[0].state, "300ms").Should(Equal([3]int{0, 0, 0}))
	g.Expect(informers[0].IsHub()).To(BeTrue())
}

const second = identifier.Instant(time.Second)

var anyAddress = netip.MustParseAddrPort("127.0.0.1:9")

func newTestExchange() *exchange {
	x := newExchange("c")
	x.setPeers(map[identifier.Router]Peer{"a": {Weight: 2}, "b": {Weight: 1}, "c": {}})
	return x
}

func TestOldReportsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	x := newTestExchange()
	report := func(inc identifier.Incarnation, n uint64) uint64 {
		x.receiveReport(second, message{From: "b", Incarnation: inc, Number: n}, anyAddress)
		return x.reports["b"].Number
	}
	g.Expect(report(4, 7)).To(BeEquivalentTo(7))
	g.Expect(report(4, 6)).To(BeEquivalentTo(7))
	g.Expect(report(9, 1)).To(BeEquivalentTo(1), "it has started anew")
	x.receiveReport(second, message{From: "c", Incarnation: 4, Number: 1}, anyAddress)
	g.Expect(x.liveReports(second)).To(HaveLen(1), "its own is none")
	g.Expect(x.liveReports(second.Add(2 * reportTTL))).To(BeEmpty())
}

// A total counts from the report that it echoes, and its proof from when that was
// sent, since nobody knows how long the total was on its way.
func TestTotalCountsFromItsEcho(t *testing.T) {
	g := NewWithT(t)
	x := newTestExchange()
	to, isHub := x.chooseHubs(second)
	g.Expect(to).To(Equal([]identifier.Router{"a", "b"}))
	g.Expect(isHub).To(BeFalse())
	first := x.recordSent(second, to, running1(3))
	x.recordSent(2*second, to, running1(5))
	total := message{From: "a", Incarnation: 1, Number: 1, Routers: 3, Summary: running1(10), Echo: first}
	others, at, ok := x.receiveTotal(5*second/2, total, 0)
	g.Expect(ok).To(BeTrue())
	g.Expect(at).To(Equal(second))
	g.Expect(others.Loads["t"].Running).To(Equal(7))
	_, _, ok = x.receiveTotal(5*second/2, total, 0)
	g.Expect(ok).To(BeFalse(), "it came twice")
	total.Number, total.Echo = 2, 99
	_, at, ok = x.receiveTotal(5*second/2, total, 0)
	g.Expect(ok || at > 0).To(BeFalse(), "it echoes a report that was never sent")
	_, _, ok = x.receiveTotal(5*second/2, message{From: "z", Incarnation: 1, Number: 1, Routers: 3, Echo: first}, 0)
	g.Expect(ok).To(BeFalse(), "it is nobody's that was asked")
}

func TestFullestTotalIsBelieved(t *testing.T) {
	g := NewWithT(t)
	x := newTestExchange()
	to, _ := x.chooseHubs(second)
	n := x.recordSent(second, to, running1(1))
	_, _, ok := x.receiveTotal(second, message{From: "a", Incarnation: 1, Number: 1, Routers: 5, Echo: n}, 0)
	g.Expect(ok).To(BeTrue())
	_, _, ok = x.receiveTotal(second, message{From: "b", Incarnation: 1, Number: 1, Routers: 2, Echo: n}, 0)
	g.Expect(ok).To(BeFalse())
	_, _, ok = x.receiveTotal(second.Add(2*totalTTL), message{From: "b", Incarnation: 1, Number: 2, Routers: 2, Echo: n}, 0)
	g.Expect(ok).To(BeTrue(), "the other one is silent")
}

func TestSilentHubIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	x := newTestExchange()
	now := second
	to, _ := x.chooseHubs(now)
	x.recordSent(now, to, running1(1))
	now = now.Add(2 * hubTimeout)
	to, isHub := x.chooseHubs(now)
	g.Expect(to).To(BeEmpty())
	g.Expect(isHub).To(BeTrue(), "it is the only one left")
	to, _ = x.chooseHubs(now.Add(2 * hubRetryDelay))
	g.Expect(to).To(HaveLen(2), "they are tried again")
}

func TestPaceFollowsTheFleet(t *testing.T) {
	g := NewWithT(t)
	x := newExchange("a")
	g.Expect(x.interval()).To(Equal(minInterval))
	list := map[identifier.Router]Peer{}
	for n := 0; n < 1000; n++ {
		list[identifier.Router(rune(n))] = Peer{}
	}
	x.setPeers(list)
	g.Expect(x.interval()).To(Equal(maxInterval))
}

// The pace follows the routers that a hub has counted, as few are listed.
func TestPaceFollowsWhatHubsCount(t *testing.T) {
	g := NewWithT(t)
	x := newTestExchange()
	to, _ := x.chooseHubs(second)
	n := x.recordSent(second, to, running1(1))
	x.receiveTotal(second, message{From: "a", Incarnation: 1, Number: 1, Routers: 500, Echo: n}, 0)
	g.Expect(x.interval()).To(Equal(maxInterval))
}

// A few routers that are as strong and answer are enough to choose hubs from.
func TestEntriesAreNeededWhileFewAnswer(t *testing.T) {
	g := NewWithT(t)
	x := newExchange("self")
	x.weight = 5
	list := map[identifier.Router]Peer{"weak": {Weight: 1}}
	x.setPeers(list)
	g.Expect(x.needsEntry(second)).To(BeTrue())
	for n := 0; n < maxCandidates; n++ {
		list[identifier.Router(rune('a'+n))] = Peer{Weight: 5}
	}
	x.setPeers(list)
	g.Expect(x.needsEntry(second)).To(BeFalse())
	_, isHub := x.chooseHubs(second)
	g.Expect(isHub).To(BeFalse(), "nobody reports to a router without an entry")
	to, _ := x.chooseHubs(second)
	x.recordSent(second, to, running1(1))
	now := second.Add(2 * hubTimeout)
	g.Expect(x.needsEntry(now)).To(BeTrue(), "two do not answer")
	list["self"] = Peer{Weight: 5}
	x.setPeers(list)
	g.Expect(x.needsEntry(second)).To(BeTrue(), "it has one")
}

func FuzzDecode(f *testing.F) {
	raw, err := cbor.Marshal(message{From: "a", Incarnation: 1, Summary: running1(1), Routers: 2, Echo: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := decode(raw)
		if err != nil {
			return
		}
		x := newTestExchange()
		x.receiveReport(second, m, anyAddress)
		x.receiveTotal(second, m, 0)
		if err := m.Summary.Without(m.Summary.Plus(m.Summary)).Check(); err != nil {
			t.Fatal(err)
		}
	})
}

// A hub that is cut off from the store knows no changes; another takes its place
// (karakoram-grown scale-2).
func TestHubsThatDoNotReachTheStoreArePassedOver(t *testing.T) {
	g := NewWithT(t)
	x := newExchange("d")
	x.setPeers(map[identifier.Router]Peer{"a": {Weight: 3}, "b": {Weight: 3}, "c": {Weight: 2}, "d": {Weight: 1}})
	to, _ := x.chooseHubs(second)
	g.Expect(to).To(Equal([]identifier.Router{"a", "b"}))
	n := x.recordSent(second, to, forwarder.Summary{})
	x.receiveTotal(second, message{From: "a", Incarnation: 1, Number: 1, Routers: 3, Echo: n, Status: forwarder.Status{ProofAge: 2 * time.Second}}, 100*time.Millisecond)
	to, _ = x.chooseHubs(second)
	g.Expect(to).To(Equal([]identifier.Router{"b", "c"}))
	x.receiveTotal(second, message{From: "b", Incarnation: 1, Number: 1, Routers: 3, Echo: n}, 0)
	to, _ = x.chooseHubs(second.Add(hubRetryDelay))
	g.Expect(to).To(Equal([]identifier.Router{"a", "b"}))
	now := second.Add(hubRetryDelay)
	n = x.recordSent(now, to, forwarder.Summary{})
	for _, id := range to {
		x.receiveTotal(now, message{From: id, Incarnation: 1, Number: 2, Routers: 3, Echo: n, Status: forwarder.Status{ProofAge: 20 * time.Second}}, 20*time.Second)
	}
	to, _ = x.chooseHubs(now)
	g.Expect(to).To(Equal([]identifier.Router{"a", "b"}), "nobody reaches a store that is down")
}

// panicky fails unexpectedly at whatever it is told.
type panicky struct {
	*reader
	told atomic.Int64
}

// ReceivePeerStatus implements Reader.
func (p *panicky) ReceivePeerStatus(identifier.Instant, forwarder.Status) {
	p.told.Add(1)
	panic("odd total")
}

// One message that fails unexpectedly does not end the process, nor what follows.
func TestUnexpectedErrorDoesNotEndTheExchange(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	odd := &panicky{reader: newReader(1)}
	hub, err := Start(ctx, Config{Self: "a", Listen: "127.0.0.1:0", Weight: 2, State: newReader(2), Log: zap.NewNop()})
	g.Expect(err).NotTo(HaveOccurred())
	other, err := Start(ctx, Config{Self: "b", Listen: "127.0.0.1:0", Weight: 1, State: odd, Log: zap.NewNop()})
	g.Expect(err).NotTo(HaveOccurred())
	list := map[identifier.Router]Peer{}
	for id, i := range map[identifier.Router]*Informer{"a": hub, "b": other} {
		list[id] = Peer{Address: i.conn.LocalAddr().(*net.UDPAddr).AddrPort(), Weight: 1}
	}
	hub.SetPeers(list)
	other.SetPeers(list)
	g.Eventually(odd.told.Load, "3s").Should(BeNumerically(">=", 3))
}
