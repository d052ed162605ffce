package forwarder

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// newColdFleet starts a router whose targets can be cold. It has been running for an hour and
// is one of two, and its log is observed.
func newColdFleet(t *testing.T, scripts ...script) (*fleet, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	cfg := testConfig(t)
	cfg.Log = zap.New(core)
	cfg.ColdBound = permitter.ColdBound{Overage: 1.5, Slack: 5}
	f := newFleetWith(t, cfg, scripts...)
	pool := Pool{ID: testPool, Cold: permitter.ColdRate{Duration: 2 * time.Second, PerSecond: 11}}
	f.SetSnapshot(NewSnapshot(2, Limits{}, testRoutes(), []Pool{pool}, []Workspace{{ID: "w", Keys: []string{"k"}}}))
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.startedAt -= identifier.Instant(time.Hour)
	f.updateWarmUpPolicy(clocker.Now())
	return f, logs
}

// Guards against a target that says in an answer that it is cold and gets its usual share,
// whatever kind of answer says so, and against one that stays cold.
func TestAnswersThatSayColdArePaced(t *testing.T) {
	for name, first := range map[string]script{
		"a whole answer":          fixedAnswer(http.StatusOK, "Seal: s\r\nCold: 1500\r\n", "whole"),
		"a failure":               fixedAnswer(http.StatusInternalServerError, "Seal: s\r\nCold: 1500\r\n", "failed"),
		"one that did not run it": fixedAnswer(http.StatusServiceUnavailable, "Not-Run: 1\r\nCold: 1500\r\n", ""),
		"one that isn't its own":  fixedAnswer(http.StatusOK, "Cold: 1500\r\n", "unsealed"),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, logs := newColdFleet(t, firstThen(first, completeAnswer))
			f.send(f.request(http.MethodGet, "/ticket/1", ""))
			refused, began := callerAnswer{}, time.Now()
			for time.Since(began) < time.Second {
				if a := f.send(f.request(http.MethodGet, "/ticket/1", "")); a.status == http.StatusServiceUnavailable {
					refused = a
				}
			}
			g.Expect(f.requestsAt("t0")).To(BeNumerically("<=", 1+7), "at most 6.4 permits in 1.25 s, of this router alone")
			g.Expect(f.requestsAt("t0")).To(BeNumerically(">=", 1+2), "it is warmed")
			g.Expect(refused.body).To(Equal("All targets warm up.\n"))
			g.Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
			g.Eventually(func() int { return logs.FilterMessage("target is warm").Len() }, "3s").Should(Equal(1))
			g.Expect(logs.FilterMessage("target warms up").FilterField(zap.String("told_by", "an answer")).Len()).To(Equal(1))
			before := f.requestsAt("t0")
			for range 50 {
				f.send(f.request(http.MethodGet, "/ticket/1", ""))
			}
			g.Expect(f.requestsAt("t0")).To(Equal(before+50), "it is warm")
		})
	}
}

// Guards against an answer of another target at the address that makes a target cold.
func TestColdTimeOfMisdirectedAnswerIsIgnored(t *testing.T) {
	g := NewWithT(t)
	f, logs := newColdFleet(t, firstThen(fixedAnswer(http.StatusMisdirectedRequest, "Cold: 60000\r\n", ""), completeAnswer))
	f.send(f.request(http.MethodGet, "/lookup/1", ""))
	g.Consistently(func() int { return logs.FilterMessage("target warms up").Len() }, "400ms").Should(BeZero())
}

// Guards against values that are logged for each answer or lose the answer.
func TestMalformedColdTimeIsLoggedOnce(t *testing.T) {
	for _, v := range []string{"soon", "-3", "NaN", ""} {
		g := NewWithT(t)
		f, logs := newColdFleet(t, fixedAnswer(http.StatusOK, "Seal: s\r\nCold: "+v+"\r\n", "whole"))
		for range 5 {
			g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusOK))
		}
		g.Expect(logs.FilterMessage("cold time not understood").Len()).To(Equal(1))
	}
}

// Guards against a target that gets all requests at once when its process returns.
func TestRefusedConnectionBeginsColdPeriod(t *testing.T) {
	g := NewWithT(t)
	f, logs := newColdFleet(t, completeAnswer)
	free := freeAddress(t)
	f.targets = append(f.targets, admitter.Target{ID: "gone", Pool: testPool, Slots: 8, Incarnation: 1, Address: free})
	f.SetTargets(f.targets)
	for range 20 {
		g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusOK))
	}
	g.Eventually(func() int {
		return logs.FilterMessage("target warms up").FilterField(zap.String("target", "gone")).FilterField(zap.String("told_by", "refused connections")).Len()
	}, "2s").Should(Equal(1))
	l, err := net.Listen("tcp4", free)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serveTarget("gone", c, completeAnswer)
		}
	}()
	g.Eventually(func() int {
		f.send(f.request(http.MethodGet, "/lookup/1", ""))
		return f.requestsAt("gone")
	}, "5s", "5ms").Should(Equal(1))
	for began := time.Now(); time.Since(began) < time.Second; {
		f.send(f.request(http.MethodGet, "/lookup/1", ""))
	}
	g.Expect(f.requestsAt("gone")).To(BeNumerically("<=", 1+7))
	g.Eventually(func() int { return logs.FilterMessage("target is warm").Len() }, "4s").Should(Equal(1))
}

// Guards against a router that starts, knows no other, and sends as if it were alone, and
// against one that counts less of the fleet when it is cut off.
func TestPacingCountsRouters(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	pacing := func(uptime time.Duration, peers int) int {
		f.state.mu.Lock()
		defer f.state.mu.Unlock()
		f.state.peers = peers
		f.updateWarmUpPolicy(f.startedAt.Add(uptime))
		return f.state.admitter.WarmUpPolicy().Routers
	}
	g.Expect(pacing(0, 0)).To(Equal(defaultFleetSize))
	g.Expect(pacing(time.Second, 2)).To(Equal(defaultFleetSize))
	g.Expect(pacing(2*time.Second, 299)).To(Equal(300))
	g.Expect(pacing(3*time.Second, 2)).To(Equal(300))
	g.Expect(pacing(50*time.Second, 0)).To(Equal(300), "a router that is cut off")
	g.Expect(pacing(70*time.Second, 2)).To(Equal(300), "heard within the last two minutes")
	g.Expect(pacing(140*time.Second, 2)).To(Equal(3))
	g.Expect(f.state.admitter.WarmUpPolicy().NotBefore).To(Equal(f.startedAt.Add(warmUpHold)))
}

// Guards against a request that is written after its permit has expired, while its connection
// was being opened.
func TestExpiredPermitIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	f, _ := newColdFleet(t, completeAnswer)
	f.targets[0].ColdLeft = time.Minute
	f.SetTargets(f.targets)
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	req := admitter.Request{Pool: testPool}
	now := clocker.Now()
	for range 10_000 {
		if f.state.admitter.Choose(now, req).Refused == "" {
			break
		}
		now = now.Add(time.Millisecond)
	}
	sent := f.state.admitter.StartAttempt(now, req, f.state.admitter.Choose(now, req))
	g.Expect(f.state.admitter.RecheckAdmission(now, sent).Open()).To(BeTrue())
	g.Expect(f.state.admitter.RecheckAdmission(now.Add(300*time.Millisecond), sent).Reason).To(Equal(permitter.WarmingUp))
}
