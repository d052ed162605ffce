package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"buckthorndrum/clocker"
)

func stringBody(s string) io.Reader { return strings.NewReader(s) }

func TestRequestReachesItsTargetUnchanged(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	r := f.request(http.MethodPost, "/ticket/a%2Fb/../c?x=%20y", "the body")
	r.URL.Opaque, r.URL.RawQuery = "/ticket/a%2Fb/../c", "x=%20y"
	r.Header.Set("Other", "kept")
	r.Header.Set("Workspace", "forged")
	r.Header.Set("Connection", "X-Gone, Other2")
	r.Header.Set("Other2", "of one connection")
	r.Header.Set("Authorization", "secret")
	a := f.send(r)
	g.Expect(a.status).To(Equal(200))
	g.Expect(a.body).To(Equal("whole"))
	g.Expect(a.header.Get("Seal")).To(Equal("s"))
	seen := f.requestsSeen()
	g.Expect(seen).To(HaveLen(1))
	g.Expect(seen[0].uri).To(Equal("/ticket/a%2Fb/../c?x=%20y"))
	g.Expect(seen[0].body).To(Equal("the body"))
	g.Expect(seen[0].header.Get("Other")).To(Equal("kept"))
	g.Expect(seen[0].header.Get("Workspace")).To(Equal("w"))
	for _, name := range []string{"Key", "Authorization", "Other2", "Connection"} {
		g.Expect(seen[0].header).NotTo(HaveKey(name))
	}
}

// A request that may not be repeated runs at most once, and its caller is told the
// outcome, whatever its target does.
func TestNonRepeatableRequestRunsAtMostOnce(t *testing.T) {
	for name, c := range map[string]struct {
		first  script
		status int
		runs   int
	}{
		"target cuts the connection":  {resetConn, http.StatusBadGateway, 1},
		"answer breaks off":           {truncatedAnswer, http.StatusBadGateway, 1},
		"target fails":                {failure, http.StatusInternalServerError, 1},
		"answer is nobody's":          {unsealed, http.StatusBadGateway, 1},
		"all targets did not run it":  {notRun, http.StatusServiceUnavailable, 2},
		"target answers something":    {garbage, http.StatusBadGateway, 1},
		"address is another target's": {misdirected, http.StatusServiceUnavailable, 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, c.first, c.first)
			a := f.send(f.request(http.MethodPost, "/ticket/1", "x"))
			g.Expect(a.status).To(Equal(c.status))
			g.Expect(f.requestsSeen()).To(HaveLen(c.runs))
			g.Expect(a.header.Get("Retry-After") != "").To(Equal(c.status == http.StatusServiceUnavailable), "a hint when to come back goes with \"not run\"")
		})
	}
}

var (
	failure     = fixedAnswer(http.StatusInternalServerError, "Seal: s\r\n", "failed")
	unsealed    = fixedAnswer(http.StatusOK, "", "forged")
	misdirected = fixedAnswer(http.StatusMisdirectedRequest, "", "")
)

func garbage(w net.Conn, _ *http.Request) bool {
	_, _ = io.WriteString(w, "220 ready\r\n")
	return false
}

func TestRepeatableRequestIsRetriedOnAnotherTarget(t *testing.T) {
	for name, bad := range map[string]script{"cut": resetConn, "half": truncatedAnswer, "not run": notRun, "failure": failure, "unsealed": unsealed, "garbage": garbage, "moved": misdirected} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t)
			badOnce := firstThen(bad, completeAnswer)
			f.addTarget("a", badOnce)
			f.addTarget("b", badOnce)
			a := f.send(f.request(http.MethodGet, "/lookup/1", ""))
			g.Expect(a.status).To(Equal(200))
			g.Expect(a.body).To(Equal("whole"))
			seen := f.requestsSeen()
			g.Expect(seen).To(HaveLen(2))
			g.Expect(seen[0].target).NotTo(Equal(seen[1].target))
		})
	}
}

func TestRunsAreBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, resetConn, resetConn, resetConn, resetConn)
	g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusBadGateway))
	g.Expect(f.requestsSeen()).To(HaveLen(2), "the route allows two")
}

func TestRetriesStayWithinBudget(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, resetConn, resetConn)
	f.ReceivePeerSummary(clocker.Now(), Summary{}, 1)
	g.Expect(f.SetTunables(Tunables{MaxProofAge: time.Minute, RetryBudget: RetryBudget{Window: 10 * time.Second, Extra: 5}})).To(Succeed())
	for i := 0; i < 20; i++ {
		f.send(f.request(http.MethodGet, "/lookup/1", ""))
	}
	g.Expect(len(f.requestsSeen()) - 20).To(BeNumerically("<=", 5))
}

func TestRetryBudgetIsPerWindow(t *testing.T) {
	g := NewWithT(t)
	cfg := RetryBudget{Ratio: 0.5, Window: 10 * time.Second, Extra: 10}
	b := &retryCounter{}
	now := clocker.Now()
	count := func() int {
		n := 0
		for b.takeRetry(now, cfg, 2) {
			n++
		}
		return n
	}
	g.Expect(count()).To(Equal(4), "four fifths of half the extra")
	for i := 0; i < 10; i++ {
		b.addRequest(now, cfg)
	}
	g.Expect(count()).To(Equal(4), "and of half the requests")
	now = now.Add(5 * time.Second)
	g.Expect(count()).To(BeZero())
	now = now.Add(6 * time.Second)
	g.Expect(count()).To(Equal(4))
}

func TestRetryBudgetCountsUnreachableRouters(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	fleetSize := func() int {
		f.state.mu.Lock()
		defer f.state.mu.Unlock()
		return f.fleetSize()
	}
	g.Expect(fleetSize()).To(Equal(defaultFleetSize))
	f.ReceivePeerSummary(clocker.Now(), Summary{}, 9)
	g.Expect(fleetSize()).To(Equal(10))
	f.ReceivePeerSummary(clocker.Now(), Summary{}, 0)
	g.Expect(fleetSize()).To(Equal(10))
}

func TestTruncatedStreamResumesOnAnotherTarget(t *testing.T) {
	for name, tail := range map[string]string{"between events": "", "in an event": "id: 4\nda", "in an id": "id: "} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t)
			both := firstThen(events(3, false, tail), events(9, true, ""))
			f.addTarget("a", both)
			f.addTarget("b", both)
			a := f.send(f.request(http.MethodPost, "/stream/1", "x"))
			g.Expect(a.truncated).To(BeFalse())
			g.Expect(a.body).To(Equal(numberedEvents(1, 9)))
			g.Expect(f.requestsSeen()[1].header.Get("After")).To(Equal("3"))
		})
	}
}

func TestNonResumableStreamIsTruncated(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, events(3, false, ""), events(3, false, ""))
	a := f.send(f.request(http.MethodPost, "/once/1", "x"))
	g.Expect(a.truncated).To(BeTrue(), "it must not look complete")
	g.Expect(a.body).To(Equal(numberedEvents(1, 3)))
	g.Expect(f.requestsSeen()).To(HaveLen(1))
}

func TestResumedStreamWithGapIsTruncated(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	both := firstThen(events(3, false, ""), func(w net.Conn, r *http.Request) bool {
		r.Header.Set("After", "4")
		return events(9, true, "")(w, r)
	})
	f.addTarget("a", both)
	f.addTarget("b", both)
	a := f.send(f.request(http.MethodPost, "/stream/1", "x"))
	g.Expect(a.truncated).To(BeTrue())
	g.Expect(a.body).To(Equal(numberedEvents(1, 3)))
}

func TestCallerLastEventIDIsForwarded(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, events(9, true, ""))
	r := f.request(http.MethodPost, "/stream/1", "x")
	r.Header.Set("After", "6")
	a := f.send(r)
	g.Expect(a.body).To(Equal(numberedEvents(7, 9)))
}

func TestRouteTimeout(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	f := newFleet(t, hang(closed))
	began := time.Now()
	a := f.send(f.request(http.MethodPost, "/short/1", "x"))
	g.Expect(a.status).To(Equal(http.StatusGatewayTimeout))
	g.Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
	g.Eventually(closed, "2s").Should(BeClosed(), "the target's work is stopped")
	g.Expect(f.requestsSeen()[0].header.Get("Left")).To(Satisfy(func(s string) bool { return len(s) <= 3 }), "the target is told what is left")
}

func TestCallerDisconnectCancelsTargetRequest(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	f := newFleet(t, hang(closed))
	ctx, cancel := context.WithCancel(context.Background())
	go f.send(f.request(http.MethodPost, "/ticket/1", "x").WithContext(ctx))
	eventually(t, "request arrives", func() bool { return len(f.requestsSeen()) == 1 })
	cancel()
	g.Eventually(closed, "2s").Should(BeClosed())
}

// A request whose caller disconnected while the connection waited is not forwarded.
// Such requests were sent to targets in a load run (seed 871042971214).
func TestRequestOfDisconnectedCallerIsNotForwarded(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	for i := 0; i < 20; i++ {
		c, err := net.Dial("tcp4", f.address)
		g.Expect(err).NotTo(HaveOccurred())
		// The lock keeps the router from sending the request before the caller has
		// disconnected.
		f.state.mu.Lock()
		_, _ = io.WriteString(c, "GET /lookup/1 HTTP/1.1\r\nHost: desk\r\nKey: k\r\nId: gone\r\n\r\n")
		g.Expect(c.Close()).To(Succeed())
		time.Sleep(5 * time.Millisecond)
		f.state.mu.Unlock()
	}
	g.Consistently(func() int { return len(f.requestsSeen()) }, "200ms").Should(BeZero())
}

func TestKeysAndRoutes(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	status := func(path, key string) int {
		r := f.request(http.MethodGet, path, "")
		r.Header.Set("Key", key)
		return f.send(r).status
	}
	g.Expect(status("/lookup/1", "k")).To(Equal(200))
	g.Expect(status("/lookup/1", "unknown")).To(Equal(http.StatusUnauthorized))
	g.Expect(status("/lookup/1", "")).To(Equal(http.StatusUnauthorized))
	g.Expect(status("/open/1", "")).To(Equal(200))
	g.Expect(status("/nowhere/1", "k")).To(Equal(http.StatusNotFound))
}

// Without a recent proof of freshness the router does not know whether a key was
// revoked or a route added.
func TestStaleConfigurationRejectsRequests(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	g.Expect(f.Ready(clocker.Now())).To(BeTrue())
	g.Expect(f.SetTunables(Tunables{MaxProofAge: time.Millisecond, RetryBudget: RetryBudget{Window: time.Second}})).To(Succeed())
	time.Sleep(5 * time.Millisecond)
	for _, path := range []string{"/lookup/1", "/nowhere/1"} {
		a := f.send(f.request(http.MethodGet, path, ""))
		g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	}
	g.Expect(f.Ready(clocker.Now())).To(BeFalse())
	g.Expect(f.requestsSeen()).To(BeEmpty())
}

// Against refusals that only an older configuration allows: a route or a key that a newer
// one has was denied under a proof older than the time within which that one must be in
// force. What the configuration allows is served until the proof is too old for keys.
func TestOldProofDeniesNothing(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	g.Expect(f.SetTunables(Tunables{MaxProofAge: 1000 * time.Hour, MaxRefusalAge: time.Minute, RetryBudget: RetryBudget{Ratio: 0.2, Window: time.Second}})).To(Succeed())
	denied := func() []int {
		wrongKey := f.request(http.MethodGet, "/lookup/1", "")
		wrongKey.Header.Set("Key", "nobody's")
		return []int{f.send(f.request(http.MethodGet, "/nowhere/1", "")).status, f.send(wrongKey).status}
	}
	g.Expect(denied()).To(Equal([]int{http.StatusNotFound, http.StatusUnauthorized}))
	f.state.confirmedAt.Store(int64(clocker.Now().Add(-2 * time.Minute)))
	g.Expect(denied()).To(Equal([]int{http.StatusServiceUnavailable, http.StatusServiceUnavailable}))
	g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusOK))
}

// Against refusals that nobody could trace: among 150 other lines a second that of a denied
// request was left out, and it did not tell where the proof came from.
func TestDeniedRequestIsLoggedWithItsProof(t *testing.T) {
	g := NewWithT(t)
	core, lines := observer.New(zapcore.WarnLevel)
	f := newFleet(t, completeAnswer)
	f.log = zap.New(core)
	f.ReceivePeerStatus(clocker.Now().Add(time.Second), "hub-1", Status{Position: 1})
	g.Expect(f.send(f.request(http.MethodGet, "/nowhere/1", "")).status).To(Equal(http.StatusNotFound))
	g.Eventually(lines.Len, "2s").Should(Equal(1))
	fields := lines.All()[0].ContextMap()
	g.Expect(fields).To(And(HaveKeyWithValue("proof_from", "hub-1"), HaveKey("position"), HaveKey("proof_age"), HaveKeyWithValue("revision", BeNumerically(">", 0))))
}

// Readers of many lines cut off their ends, and with them why a request was denied.
func TestWhatDeniedRequestStandsFirstInItsLine(t *testing.T) {
	g := NewWithT(t)
	core, lines := observer.New(zapcore.WarnLevel)
	f := newFleet(t, completeAnswer)
	f.log = zap.New(core)
	g.Expect(f.send(f.request(http.MethodGet, "/nowhere/1", "")).status).To(Equal(http.StatusNotFound))
	g.Eventually(lines.Len, "2s").Should(Equal(1))
	var keys []string
	for _, field := range lines.All()[0].Context {
		keys = append(keys, field.Key)
	}
	g.Expect(keys[:5]).To(Equal([]string{"request", "revision", "proof_age", "proof_from", "position"}))
}

// A key that is revoked while a request is being retried is not used for the next
// attempt.
func TestKeyIsCheckedBeforeEachAttempt(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	revoke := func(w net.Conn, r *http.Request) bool {
		f.SetSnapshot(NewSnapshot(2, Limits{}, testRoutes(), []Pool{{ID: testPool}}, nil))
		return notRun(w, r)
	}
	f.addTarget("a", revoke)
	f.addTarget("b", revoke)
	g.Expect(f.send(f.request(http.MethodPost, "/ticket/1", "x")).status).To(Equal(http.StatusUnauthorized))
	g.Expect(f.requestsSeen()).To(HaveLen(1))
}

// A key that is revoked after its request may have run is no reason to report that the
// request was rejected (found by a soak of processes, seed 1).
func TestRevokedKeyDoesNotHideThatRequestMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	lose := func(net.Conn, *http.Request) bool {
		f.SetSnapshot(NewSnapshot(2, Limits{}, testRoutes(), []Pool{{ID: testPool}}, nil))
		return false
	}
	f.addTarget("a", lose)
	f.addTarget("b", lose)
	g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusBadGateway))
}

func TestOlderRevisionIsIgnored(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	f.configure(7)
	f.configure(3)
	g.Expect(f.Revision()).To(BeEquivalentTo(7))
}

func TestInvalidTunablesAreRejected(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	g.Expect(f.SetTunables(Tunables{})).NotTo(Succeed())
	g.Expect(f.state.tunables.Load().MaxProofAge).To(Equal(time.Minute))
}

func TestDrainCompletesRequests(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	f := newFleet(t, func(w net.Conn, r *http.Request) bool {
		<-release
		return completeAnswer(w, r)
	})
	answers := make(chan callerAnswer, 1)
	go func() { answers <- f.send(f.request(http.MethodPost, "/ticket/1", "x")) }()
	eventually(t, "request arrives", func() bool { return len(f.requestsSeen()) == 1 })
	drained := make(chan error, 1)
	go func() { drained <- f.Drain(context.Background()) }()
	eventually(t, "router says that it is not ready", func() bool { return !f.Ready(clocker.Now()) })
	second := make(chan callerAnswer, 1)
	go func() { second <- f.send(f.request(http.MethodPost, "/ticket/2", "x")) }()
	eventually(t, "a request that comes meanwhile is served", func() bool { return len(f.requestsSeen()) == 2 })
	close(release)
	g.Expect((<-answers).body).To(Equal("whole"))
	a := <-second
	g.Expect(a.body).To(Equal("whole"))
	g.Eventually(drained, "10s").Should(Receive(BeNil()))
	g.Expect(f.Done()).To(BeClosed())
}

// A stopping router answers the requests that it cannot wait for any longer, and the
// answer does not claim that they did not run: a ticket that was requested of a target
// may have been issued.
func TestDrainTimeoutAnswersRequestsInFlight(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	f := newFleet(t, func(net.Conn, *http.Request) bool {
		<-release
		return false
	})
	answers := make(chan callerAnswer, 1)
	go func() { answers <- f.send(f.request(http.MethodPost, "/ticket/1", "x")) }()
	eventually(t, "request arrives", func() bool { return len(f.requestsSeen()) == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	g.Expect(f.Drain(ctx)).To(MatchError(ContainSubstring("1 connections are left")))
	a := <-answers
	g.Expect(a.status).To(Equal(http.StatusGatewayTimeout))
	g.Expect(a.body).To(Equal("This router stops.\n"))
}

func TestTooManyCallersGetConnectionClose(t *testing.T) {
	g := NewWithT(t)
	cfg := testConfig(t)
	cfg.MaxCallers = 10
	f := newFleetWith(t, cfg, completeAnswer)
	var conns []net.Conn
	for i := 0; i < 9; i++ {
		c, err := net.Dial("tcp4", f.address)
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, c)
		_, _ = io.WriteString(c, "GET /open/1 HTTP/1.1\r\nHost: desk\r\nId: a\r\n\r\n")
		time.Sleep(2 * time.Millisecond)
	}
	last := make([]byte, 4096)
	n, _ := conns[8].Read(last)
	g.Expect(string(last[:n])).To(ContainSubstring("Connection: close"))
	f.callers.CloseIdle(clocker.Now(), time.Nanosecond)
	eventually(t, "idle connections are closed", func() bool { return f.callers.Count() == 0 })
}

func TestBodyLimit(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	f.SetSnapshot(NewSnapshot(2, Limits{MaxBodyBytes: 4}, testRoutes(), []Pool{{ID: testPool}}, []Workspace{{ID: "w", Keys: []string{"k"}}}))
	g.Expect(f.send(f.request(http.MethodPost, "/ticket/1", "1234")).status).To(Equal(200))
	g.Expect(f.send(f.request(http.MethodPost, "/ticket/1", "12345")).status).To(Equal(http.StatusRequestEntityTooLarge))
}

func TestLongestPrefixWins(t *testing.T) {
	g := NewWithT(t)
	s := NewSnapshot(1, Limits{}, []Route{{Host: "Desk", Prefix: "/a/", Kind: "short"}, {Host: "desk", Prefix: "/a/b/", Kind: "long"}}, nil, nil)
	g.Expect(s.Match("desk:80", "/a/b/c").Kind).To(BeEquivalentTo("long"))
	g.Expect(s.Match("DESK", "/a/c").Kind).To(BeEquivalentTo("short"))
	g.Expect(s.Match("desk", "/a")).To(BeNil())
	g.Expect(s.Match("other", "/a/b/c")).To(BeNil())
}

func TestSplitFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	r := Route{Split: []PoolWeight{{Pool: "a", Weight: 3}, {Pool: "never", Weight: 0}, {Pool: "b", Weight: 1}}}
	count := map[string]int{}
	for n := uint64(0); n < 400; n++ {
		p, ok := r.pickPool(n)
		g.Expect(ok).To(BeTrue())
		count[string(p)]++
	}
	g.Expect(count).To(Equal(map[string]int{"a": 300, "b": 100}))
	_, ok := (&Route{}).pickPool(1)
	g.Expect(ok).To(BeFalse())
}

// A request counts as completed for its workspace once its caller has the answer, and
// not as soon as it is sent.
func TestCompletedTokensAreCountedAfterAnswer(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	f := newFleet(t, func(w net.Conn, r *http.Request) bool {
		<-release
		return completeAnswer(w, r)
	})
	r := f.request(http.MethodPost, "/once/1", "x")
	r.Header.Set("Model", "m")
	answered := make(chan callerAnswer, 1)
	go func() { answered <- f.send(r) }()
	eventually(t, "request arrives", func() bool { return len(f.requestsSeen()) == 1 })
	rates := f.Summary(clocker.Now()).Rates["w"]
	g.Expect(rates.Dispatched).To(BeNumerically(">", 0))
	g.Expect(rates.Completed).To(BeZero())
	close(release)
	<-answered
	g.Eventually(func() int { return f.Summary(clocker.Now()).Rates["w"].Completed }, "2s").Should(BeNumerically(">", 0))
}

// A stream that has started and does not reach its caller completely does not count as
// completed for its workspace.
func TestTruncatedStreamIsNotCountedAsCompleted(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, events(3, false, ""))
	r := f.request(http.MethodPost, "/once/1", "x")
	r.Header.Set("Model", "m")
	answer := f.send(r)
	g.Expect(answer.body).To(ContainSubstring("d3"))
	g.Expect(answer.truncated).To(BeTrue())
	time.Sleep(50 * time.Millisecond)
	rates := f.Summary(clocker.Now()).Rates["w"]
	g.Expect(rates.Dispatched).To(BeNumerically(">", 0))
	g.Expect(rates.Completed).To(BeZero())
}
