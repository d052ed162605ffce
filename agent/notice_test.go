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

// newTestAgent returns an agent of a plain service, without a port of its own. The agent
// has accepted the request "runs", which takes the only slot, and has a record of the
// request "waits". The grant that is returned is outstanding.
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
	a.state.sched.Configure(now(), scheduler.Config{Slots: 1, MaxOvercommit: 2, GrantTTL: time.Minute, CreditWindow: 100, Kinds: map[identifier.Kind]scheduler.KindRule{"k": {Estimate: 1}}})
	class := identifier.Class{Kind: "k", Workspace: "w"}
	acts := a.state.sched.UpdateOffers(now(), "r", []scheduler.Offer{{Class: class, Count: 4}})
	if len(acts.Grants) < 2 {
		t.Fatalf("got only %d grants", len(acts.Grants))
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

// adoptTestConfig lets the agent adopt the configuration in testdata.
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

// respondWith returns a handler that responds with the status and the header fields,
// given as pairs of name and value.
func respondWith(status int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(header); i += 2 {
			w.Header().Add(header[i], header[i+1])
		}
		w.WriteHeader(status)
	}
}

// TestLeavingTargetGetsNoNewWork checks that a target that gives notice in any response
// that it is leaving gets no new work until it has exited: its grants are void, and
// waiting requests are not sent.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for name, status := range map[string]int{"complete": http.StatusOK, "failed": http.StatusInternalServerError, "rejected": http.StatusServiceUnavailable} {
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
			g.Expect(err).To(HaveOccurred(), "the grant of a leaving target is void")
			g.Expect(a.state.sched.UpdateOffers(now(), "r", []scheduler.Offer{{Class: grant.Class, Count: 5}}).Grants).To(BeEmpty())
			a.detectTargetExit()
			g.Expect(a.state.leaving()).To(BeTrue())
			srv.Close()
			a.detectTargetExit()
			g.Expect(a.state.leaving()).To(BeFalse(), "what listens there next is another boot of the target")
		})
	}
}

// TestPausedTargetGetsNoWorkUntilPauseEnds checks that a target that asks for a pause
// gets no work until the pause ends, and then gets work again.
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

// TestWaitingRequestAtLeavingTargetIsNotRun checks that a request that waits for a start
// at a target when its leaving notice arrives ends as not run.
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
