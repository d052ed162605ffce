package informer

import (
	"context"
	"fmt"
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
	"buckthorndrum/clocker"
	"buckthorndrum/forwarder"
	"buckthorndrum/identifier"
	"buckthorndrum/sharer"
)

// fakeState is a RouterState that supplies a given summary and records what it receives.
type fakeState struct {
	mu      sync.Mutex
	summary forwarder.Summary
	others  forwarder.Summary
	routers int
	status  forwarder.Status
	delay   time.Duration
}

func newFakeState(running int) *fakeState {
	return &fakeState{summary: summaryRunning(running)}
}

// summaryRunning returns a summary with n running requests at target t.
func summaryRunning(n int) forwarder.Summary {
	return forwarder.Summary{
		Loads: map[identifier.Target]admitter.Load{"t": {Running: n}},
		Rates: map[identifier.Workspace]sharer.Rates{"w": {Requested: 2 * n, Dispatched: n}},
	}
}

func (r *fakeState) Summary(identifier.Instant) forwarder.Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.summary
}

func (r *fakeState) Status(identifier.Instant) forwarder.Status { return forwarder.Status{Position: 9} }

func (r *fakeState) ReceivePeerSummary(_ identifier.Instant, others forwarder.Summary, routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others, r.routers = others, routers
}

func (r *fakeState) SetPeerSummaryDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

func (r *fakeState) ReceivePeerStatus(_ identifier.Instant, _ identifier.Router, s forwarder.Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = s
}

func (r *fakeState) ReceivePeerRevision(identifier.Instant, identifier.Revision) {}

// snapshot returns the others' running requests at target t, the number of other routers,
// and the store position in the latest status received.
func (r *fakeState) snapshot() [3]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return [3]int{r.others.Loads["t"].Running, r.routers, int(r.status.Position)}
}

// startRouters starts a router for each running count and gives all of them the list of
// all routers.
func startRouters(t *testing.T, ctx context.Context, running ...int) ([]*Informer, []*fakeState) {
	t.Helper()
	informers, states := make([]*Informer, len(running)), make([]*fakeState, len(running))
	list := map[identifier.Router]Peer{}
	for n, r := range running {
		states[n] = newFakeState(r)
		id := identifier.Router('a' + rune(n))
		i, err := Start(ctx, Config{Self: id, Listen: "127.0.0.1:0", Weight: 100 - n, State: states[n], Log: zap.NewNop()})
		if err != nil {
			t.Fatal(err)
		}
		informers[n] = i
		list[id] = Peer{Address: i.conn.LocalAddr().(*net.UDPAddr).AddrPort(), Weight: 100 - n}
	}
	for _, i := range informers {
		i.SetPeers(list)
	}
	return informers, states
}

func TestRoutersReceiveTotalOfOthers(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	informers, states := startRouters(t, ctx, 1, 2, 4, 8)
	for n, own := range []int{1, 2, 4, 8} {
		g.Eventually(states[n].snapshot, "3s").Should(Equal([3]int{15 - own, 3, 9}), "router %d", n)
	}
	g.Expect([]bool{informers[0].IsHub(), informers[1].IsHub(), informers[2].IsHub()}).To(Equal([]bool{true, true, false}))
	cancel()
	for _, i := range informers {
		g.Eventually(i.Done(), "2s").Should(BeClosed())
	}
}

// TestSummariesHaveDelay checks that routers and hubs learn how old the reports in a summary
// are. Without it they would take old loads of targets for new ones.
func TestSummariesHaveDelay(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, states := startRouters(t, ctx, 1, 2, 4)
	for n := range states {
		g.Eventually(func() time.Duration {
			states[n].mu.Lock()
			defer states[n].mu.Unlock()
			return states[n].delay
		}, "3s").Should(And(BeNumerically(">", 0), BeNumerically("<", reportTTL)), "router %d", n)
	}
}

// TestNoticesReachOtherRouters checks that the notice that a target has sent to one router
// reaches the others through a hub, with its age increased by the time that this took.
func TestNoticesReachOtherRouters(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, states := startRouters(t, ctx, 1, 2, 4, 8)
	notice := admitter.LeavingReport{Incarnation: 3, Age: time.Second}
	states[2].mu.Lock()
	states[2].summary.Leaving = admitter.LeavingReports{"t": notice}
	states[2].mu.Unlock()
	for _, n := range []int{0, 1, 3} {
		g.Eventually(func() admitter.LeavingReport {
			states[n].mu.Lock()
			defer states[n].mu.Unlock()
			return states[n].others.Leaving["t"]
		}, "3s").Should(And(HaveField("Incarnation", notice.Incarnation), HaveField("Age", BeNumerically(">=", notice.Age))), "router %d", n)
	}
}

func TestNextRouterBecomesHub(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	informers, states := startRouters(t, ctx, 1, 2, 4, 8)
	g.Eventually(states[3].snapshot, "3s").Should(Equal([3]int{7, 3, 9}))
	_ = informers[0].conn.Close()
	_ = informers[1].conn.Close()
	g.Eventually(states[3].snapshot, "5s").Should(Equal([3]int{4, 1, 9}))
	g.Expect(informers[2].IsHub()).To(BeTrue())
}

func TestSingleRouterReceivesNothing(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	informers, states := startRouters(t, ctx, 3)
	g.Consistently(states[0].snapshot, "300ms").Should(Equal([3]int{0, 0, 0}))
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
	g.Expect(report(9, 1)).To(BeEquivalentTo(1), "a new incarnation starts its numbers again")
	x.receiveReport(second, message{From: "c", Incarnation: 4, Number: 1}, anyAddress)
	g.Expect(x.liveReports(second)).To(HaveLen(1), "a router ignores a report of its own")
	g.Expect(x.liveReports(second.Add(2 * reportTTL))).To(BeEmpty())
}

// TestTotalDatesFromEchoedReport checks that a total is dated back to when the report that
// it echoes was sent, since it is not known how long the total was in transit. Its sender's
// freshness proof counts from the same time.
func TestTotalDatesFromEchoedReport(t *testing.T) {
	g := NewWithT(t)
	x := newTestExchange()
	to, isHub := x.chooseHubs(second)
	g.Expect(to).To(Equal([]identifier.Router{"a", "b"}))
	g.Expect(isHub).To(BeFalse())
	first := x.recordSent(second, to, summaryRunning(3))
	x.recordSent(2*second, to, summaryRunning(5))
	total := message{From: "a", Incarnation: 1, Number: 1, Routers: 3, Summary: summaryRunning(10), Echo: first}
	others, at, ok := x.receiveTotal(5*second/2, total, 0)
	g.Expect(ok).To(BeTrue())
	g.Expect(at).To(Equal(second))
	g.Expect(others.Loads["t"].Running).To(Equal(7))
	_, _, ok = x.receiveTotal(5*second/2, total, 0)
	g.Expect(ok).To(BeFalse(), "the total is repeated")
	total.Number, total.Echo = 2, 99
	_, at, ok = x.receiveTotal(5*second/2, total, 0)
	g.Expect(ok || at > 0).To(BeFalse(), "the total echoes a report that was never sent")
	_, _, ok = x.receiveTotal(5*second/2, message{From: "z", Incarnation: 1, Number: 1, Routers: 3, Echo: first}, 0)
	g.Expect(ok).To(BeFalse(), "the sender is no hub of this router")
}

func TestMostCompleteTotalIsUsed(t *testing.T) {
	g := NewWithT(t)
	x := newTestExchange()
	to, _ := x.chooseHubs(second)
	n := x.recordSent(second, to, summaryRunning(1))
	_, _, ok := x.receiveTotal(second, message{From: "a", Incarnation: 1, Number: 1, Routers: 5, Echo: n}, 0)
	g.Expect(ok).To(BeTrue())
	_, _, ok = x.receiveTotal(second, message{From: "b", Incarnation: 1, Number: 1, Routers: 2, Echo: n}, 0)
	g.Expect(ok).To(BeFalse())
	_, _, ok = x.receiveTotal(second.Add(2*totalTTL), message{From: "b", Incarnation: 1, Number: 2, Routers: 2, Echo: n}, 0)
	g.Expect(ok).To(BeTrue(), "the total of the other hub has expired")
}

func TestSilentHubIsSkipped(t *testing.T) {
	g := NewWithT(t)
	x := newTestExchange()
	now := second
	to, _ := x.chooseHubs(now)
	x.recordSent(now, to, summaryRunning(1))
	now = now.Add(2 * hubTimeout)
	to, isHub := x.chooseHubs(now)
	g.Expect(to).To(BeEmpty())
	g.Expect(isHub).To(BeTrue(), "no other router answers")
	to, _ = x.chooseHubs(now.Add(2 * hubRetryDelay))
	g.Expect(to).To(HaveLen(2), "skipped hubs are tried again")
}

func TestIntervalGrowsWithListedRouters(t *testing.T) {
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

// TestIntervalGrowsWithRoutersInTotal checks that the message interval follows the number of
// routers in a hub's total, since only a few routers are listed.
func TestIntervalGrowsWithRoutersInTotal(t *testing.T) {
	g := NewWithT(t)
	x := newTestExchange()
	to, _ := x.chooseHubs(second)
	n := x.recordSent(second, to, summaryRunning(1))
	x.receiveTotal(second, message{From: "a", Incarnation: 1, Number: 1, Routers: 500, Echo: n}, 0)
	g.Expect(x.interval()).To(Equal(maxInterval))
}

// TestNeedsEntryWhileFewHubsAnswer checks that a router needs no entry once enough routers
// of at least its weight are listed and answer.
func TestNeedsEntryWhileFewHubsAnswer(t *testing.T) {
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
	x.recordSent(second, to, summaryRunning(1))
	now := second.Add(2 * hubTimeout)
	g.Expect(x.needsEntry(now)).To(BeTrue(), "two hubs do not answer")
	list["self"] = Peer{Weight: 5}
	x.setPeers(list)
	g.Expect(x.needsEntry(second)).To(BeTrue(), "a router keeps its entry")
}

func FuzzDecode(f *testing.F) {
	raw, err := cbor.Marshal(message{From: "a", Incarnation: 1, Summary: summaryRunning(1), Routers: 2, Echo: 1})
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

// TestHubsCutOffFromStoreAreSkipped checks that a hub that is cut off from the store, and
// so receives no changes, is replaced by another router. This was seen in a scale scenario.
func TestHubsCutOffFromStoreAreSkipped(t *testing.T) {
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
	g.Expect(to).To(Equal([]identifier.Router{"a", "b"}), "no router reaches the store, so no hub is skipped")
}

// panickingState panics on each status that it receives.
type panickingState struct {
	*fakeState
	calls atomic.Int64
}

// ReceivePeerStatus implements RouterState.
func (p *panickingState) ReceivePeerStatus(identifier.Instant, identifier.Router, forwarder.Status) {
	p.calls.Add(1)
	panic("status cannot be handled")
}

// TestPanicDoesNotStopExchange checks that a panic while one message is handled ends neither
// the process nor the handling of later messages.
func TestPanicDoesNotStopExchange(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	panicking := &panickingState{fakeState: newFakeState(1)}
	hub, err := Start(ctx, Config{Self: "a", Listen: "127.0.0.1:0", Weight: 2, State: newFakeState(2), Log: zap.NewNop()})
	g.Expect(err).NotTo(HaveOccurred())
	other, err := Start(ctx, Config{Self: "b", Listen: "127.0.0.1:0", Weight: 1, State: panicking, Log: zap.NewNop()})
	g.Expect(err).NotTo(HaveOccurred())
	list := map[identifier.Router]Peer{}
	for id, i := range map[identifier.Router]*Informer{"a": hub, "b": other} {
		list[id] = Peer{Address: i.conn.LocalAddr().(*net.UDPAddr).AddrPort(), Weight: 1}
	}
	hub.SetPeers(list)
	other.SetPeers(list)
	g.Eventually(panicking.calls.Load, "3s").Should(BeNumerically(">=", 3))
}

// Anyone may send reports of any number of routers. Those that a router holds are bounded,
// and reports of the routers that it already holds are still taken.
func TestStoredReportsAreBounded(t *testing.T) {
	g := NewWithT(t)
	const second, size = identifier.Instant(time.Second), 50 << 10
	x := newExchange("a")
	for n := range uint64(1000) {
		x.receiveReport(second, message{From: identifier.Router(fmt.Sprint("r", n)), Incarnation: 1, Number: 1, size: size}, anyAddress)
	}
	g.Expect(x.reports).To(HaveLen(maxReportBytes / size))
	x.receiveReport(second, message{From: "r0", Incarnation: 1, Number: 2, size: size}, anyAddress)
	g.Expect(x.reports["r0"].Number).To(BeEquivalentTo(2))
	g.Expect(x.liveReports(second.Add(2 * reportTTL))).To(BeEmpty())
	g.Expect(x.reportBytes).To(BeZero())
}

// slowState takes a while to sum up what it has in flight, as a process does that is suspended
// meanwhile.
type slowState struct {
	*fakeState
	// summedUp is when it last did so, and asked the latest instant for which it was asked
	// for its status.
	summedUp, asked identifier.Instant
}

// Summary implements RouterState.
func (s *slowState) Summary(now identifier.Instant) forwarder.Summary {
	time.Sleep(20 * time.Millisecond)
	s.summedUp = clocker.Now()
	return s.fakeState.Summary(now)
}

// Status implements RouterState.
func (s *slowState) Status(now identifier.Instant) forwarder.Status {
	s.asked = now
	return s.fakeState.Status(now)
}

// Against proofs that look younger than they are: a hub that was suspended between reading the
// age of its proof and collecting the reports that it answers told the age from before.
func TestProofIsDatedAfterReportsAreCollected(t *testing.T) {
	g := NewWithT(t)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	s := &slowState{fakeState: newFakeState(1)}
	i := &Informer{cfg: Config{Self: "a", State: s}, conn: conn, log: zap.NewNop(), exchange: newExchange("a")}
	i.sendRound(clocker.Now())
	g.Expect(s.asked).To(BeNumerically(">=", s.summedUp))
}
