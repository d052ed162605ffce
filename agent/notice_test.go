package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/messenger"
	"buckthorndrum/scheduler"
	"buckthorndrum/securer"
)

// newTestAgent returns an agent beside a plain service, without a port of its own, that
// holds a grant and a request that waits to be started.
func newTestAgent(t *testing.T, answer http.HandlerFunc) (*Agent, *httptest.Server, scheduler.Grant) {
	t.Helper()
	srv := httptest.NewServer(answer)
	t.Cleanup(srv.Close)
	sec, err := securer.New(securer.Config{Secret: "a secret of the fleet of this test"})
	if err != nil {
		t.Fatal(err)
	}
	a := newAgent(Config{Target: "t", DataCentre: "d", TargetURL: srv.URL, Log: zap.NewNop()}, sec, "127.0.0.1:1")
	t.Cleanup(a.cancel)
	adoptTestConfig(t, a)
	a.state.sched.Configure(now(), scheduler.Config{Slots: 1, MaxAhead: 2, GrantTTL: time.Minute, CreditWindow: 100, Kinds: map[identifier.Kind]scheduler.KindRule{"k": {Estimate: 1}}})
	class := identifier.Class{Kind: "k", Workspace: "w"}
	acts := a.state.sched.Offered(now(), "r", []scheduler.Offer{{Class: class, Count: 4}})
	if len(acts.Grants) < 2 {
		t.Fatalf("%d grants", len(acts.Grants))
	}
	for _, id := range []identifier.Request{"runs", "waits"} {
		rec := newRecord(messenger.Handover{Request: id, Class: class}, time.Now())
		a.state.records[id] = rec
		_, rec.abort = context.WithCancel(a.ctx)
	}
	_, err = a.state.sched.Accept(now(), acts.Grants[0].ID, scheduler.Handover{Request: "runs", Class: class})
	if err != nil {
		t.Fatal(err)
	}
	return a, srv, acts.Grants[1]
}

// adoptTestConfig gives the agent a configuration.
func adoptTestConfig(t *testing.T, a *Agent) {
	t.Helper()
	raw, err := os.ReadFile("../configurator/testdata/document.json")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := configurator.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	ch, err := configurator.Plan(configurator.Head{}, nil, doc, "o", time.Unix(1, 0))
	if err != nil {
		t.Fatal(err)
	}
	head, err := json.Marshal(ch.Head)
	if err != nil {
		t.Fatal(err)
	}
	_, _, err = a.state.adopter.OfferHead(head)
	for _, part := range ch.Parts {
		if err == nil {
			_, err = a.state.adopter.OfferPart(part)
		}
	}
	if err != nil || a.state.adopter.Current() == nil {
		t.Fatal("no configuration", err)
	}
}

// callTarget sends one call to the target as the agent does.
func (a *Agent) callTarget(t *testing.T) error {
	t.Helper()
	rec := newRecord(messenger.Handover{Request: "q"}, time.Now())
	_, err, _ := a.runAttempt(context.Background(), rec, &serviceClient{baseURL: a.cfg.TargetURL, client: a.client}, configurator.Kind{Path: "/x"}, 1)
	return err
}

func respondWith(status int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(header); i += 2 {
			w.Header().Add(header[i], header[i+1])
		}
		w.WriteHeader(status)
	}
}

// Whatever answer bears it, a target that says that it leaves is given no new work, until
// it is gone: what has been granted is void, and what waits is not sent.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for name, status := range map[string]int{"whole": http.StatusOK, "failed": http.StatusInternalServerError, "turned away": http.StatusServiceUnavailable} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			arrived := 0
			answer := respondWith(status, leavingHeader, leavingValue)
			a, srv, grant := newTestAgent(t, func(w http.ResponseWriter, r *http.Request) {
				arrived++
				answer(w, r)
			})
			g.Expect(a.callTarget(t)).To(Succeed())
			g.Expect(a.state.leaving()).To(BeTrue())
			g.Expect(errors.Is(a.callTarget(t), errNotRun)).To(BeTrue())
			g.Expect(arrived).To(Equal(1))
			_, err := a.state.sched.Accept(now(), grant.ID, scheduler.Handover{Request: "late", Class: grant.Class})
			g.Expect(err).To(HaveOccurred(), "its grant is void")
			g.Expect(a.state.sched.Offered(now(), "r", []scheduler.Offer{{Class: grant.Class, Count: 5}}).Grants).To(BeEmpty())
			a.detectTargetExit()
			g.Expect(a.state.leaving()).To(BeTrue())
			srv.Close()
			a.detectTargetExit()
			g.Expect(a.state.leaving()).To(BeFalse(), "what listens there next is another run of it")
		})
	}
}

// A target that asks for a pause is given nothing until its end, and then what waits.
func TestPausedTargetGetsNoWorkUntilPauseEnds(t *testing.T) {
	g := NewWithT(t)
	a, _, grant := newTestAgent(t, respondWith(http.StatusServiceUnavailable, pauseHeader, "0.2"))
	g.Expect(a.callTarget(t)).To(Succeed())
	g.Expect(errors.Is(a.callTarget(t), errNotRun)).To(BeTrue())
	_, err := a.state.sched.Accept(now(), grant.ID, scheduler.Handover{Request: "late", Class: grant.Class})
	g.Expect(err).To(HaveOccurred())
	a.tickScheduler()
	g.Expect(a.state.sched.WantsWork(now())).To(BeFalse())
	g.Eventually(func() error {
		a.tickScheduler()
		return a.callTarget(t)
	}, "2s").Should(Succeed())
	g.Expect(a.state.leaving()).To(BeFalse())
}

func TestWaitingRequestAtLeavingTargetIsNotRun(t *testing.T) {
	g := NewWithT(t)
	a, _, grant := newTestAgent(t, respondWith(http.StatusOK))
	_, err := a.state.sched.Accept(now(), grant.ID, scheduler.Handover{Request: "waits", Class: grant.Class})
	g.Expect(err).NotTo(HaveOccurred())
	ended := make(chan messenger.End, 1)
	ctx, abort := context.WithCancel(a.ctx)
	rec := a.state.records["waits"]
	rec.abort = abort
	go func() {
		select {
		case <-rec.start:
		case <-ctx.Done():
			ended <- a.waitEnd(rec, false)
		}
	}()
	a.recordNotice(http.StatusOK, http.Header{leavingHeader: {leavingValue}})
	g.Eventually(ended, "2s").Should(Receive(HaveField("Outcome", identifier.NotRun)))
}
