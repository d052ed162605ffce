package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// requestsAtFirst returns the number of requests that the first target has received.
func (f *fleet) requestsAtFirst() int {
	n := 0
	for _, a := range f.requestsSeen() {
		if a.target == "t0" {
			n++
		}
	}
	return n
}

// connsAtFirst returns the number of open connections to the first target.
func (f *fleet) connsAtFirst() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openConns["t0"]
}

// leavingAnswers are answers by which a target gives notice that it leaves.
var leavingAnswers = map[string]script{
	"a whole answer":            fixedAnswer(http.StatusOK, "Seal: s\r\nLeaving: 1\r\n", "whole"),
	"a failure":                 fixedAnswer(http.StatusInternalServerError, "Seal: s\r\nLeaving: 1\r\n", "failed"),
	"one that did not run it":   fixedAnswer(http.StatusServiceUnavailable, "Not-Run: 1\r\nLeaving: 1\r\n", ""),
	"one that breaks off":       truncatedLeaving,
	"a stream's head":           streamLeaving,
	"a stream that breaks off":  streamLeavingTruncated,
	"one that is nobody's else": fixedAnswer(http.StatusOK, "Leaving: 1\r\n", "unsealed"),
}

func truncatedLeaving(w net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("Id"))
	return false
}

func streamLeaving(w net.Conn, r *http.Request) bool {
	streamLeavingTruncated(w, r)
	_, _ = io.WriteString(w, "0\r\n\r\n")
	return true
}

func streamLeavingTruncated(w net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
	writeChunk(w, "id: 1\ndata: d1\n\n")
	return false
}

// A target that has given notice that it leaves gets no more requests, whatever answer
// carries the notice, even if the store is down or an older list says that the target
// is ready.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	for name, first := range leavingAnswers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, first)
			path := "/lookup/1"
			if name[:3] == "a s" {
				path = "/stream/1"
			}
			f.send(f.request(http.MethodGet, path, ""))
			g.Expect(f.requestsAtFirst()).To(Equal(1))
			f.addTarget("t1", completeAnswer)
			for range 20 {
				f.SetTargets(f.targets)
				g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusOK))
			}
			g.Expect(f.requestsAtFirst()).To(Equal(1))
			g.Eventually(func() int { return f.connsAtFirst() }, "2s").Should(BeZero(), "its connections are closed")
		})
	}
}

// A notice applies to one boot of a target at one address.
func TestNoticeAppliesToOneBoot(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*admitter.Target)
		served bool
	}{
		"the same":         {func(*admitter.Target) {}, false},
		"started anew":     {func(t *admitter.Target) { t.Incarnation++ }, true},
		"at other address": {func(t *admitter.Target) { t.Address = "127.0.0.1:1" }, true},
	} {
		for _, delisted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gone meanwhile %v", name, delisted), func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(t, leavingAnswers["a whole answer"])
				f.send(f.request(http.MethodGet, "/lookup/1", ""))
				if delisted {
					f.SetTargets(nil)
				}
				c.change(&f.targets[0])
				f.SetTargets(f.targets)
				f.state.mu.Lock()
				choice := f.state.admitter.Choose(clocker.Now(), admitter.Request{Pool: testPool})
				f.state.mu.Unlock()
				g.Expect(choice.Refused == "").To(Equal(c.served))
			})
		}
	}
}

// An answer of another target at the address says nothing about the target for which
// the request was meant.
func TestNoticeInMisdirectedAnswerIsIgnored(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, firstThen(fixedAnswer(http.StatusMisdirectedRequest, "Leaving: 1\r\nPause: 60\r\n", ""), completeAnswer))
	f.send(f.request(http.MethodGet, "/lookup/1", ""))
	g.Eventually(func() int { return f.send(f.request(http.MethodGet, "/lookup/1", "")).status }, "3s").Should(Equal(http.StatusOK))
}

// A request that is running at a target when the target gives notice that it leaves is
// completed.
func TestRequestInFlightAtLeavingTargetCompletes(t *testing.T) {
	g := NewWithT(t)
	leave := make(chan struct{})
	f := newFleet(t, func(w net.Conn, r *http.Request) bool {
		if r.URL.Path == "/lookup/1" {
			reply(w, r, http.StatusOK, "Seal: s\r\nLeaving: 1\r\n", "whole")
			return true
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		writeChunk(w, numberedEvents(1, 1))
		<-leave
		writeChunk(w, numberedEvents(2, 3))
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	})
	stream := make(chan callerAnswer)
	go func() { stream <- f.send(f.request(http.MethodGet, "/once/1", "")) }()
	eventually(t, "the stream is under way", func() bool { return len(f.requestsSeen()) == 1 })
	g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusOK))
	close(leave)
	a := <-stream
	g.Expect(a.truncated).To(BeFalse())
	g.Expect(a.body).To(Equal(numberedEvents(1, 3)))
}

// prepareCall returns a request that the router has accepted and not yet sent.
func (f *fleet) prepareCall(t *testing.T) (context.Context, *call) {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, "/lookup/1", nil)
	r.Host = "desk"
	r.Header.Set("Key", "k")
	r.Header.Set("Id", "id1")
	c := &call{w: httptest.NewRecorder(), r: r, arrived: clocker.Coarse(), memory: reservation{budget: &f.memory}}
	c.info = f.cfg.Dialect.ReadRequest(r.Header)
	ctx, cancel, e := f.prepare(c)
	if e != nil {
		t.Fatal(e.reason)
	}
	t.Cleanup(cancel)
	c.pool = testPool
	return ctx, c
}

// If a target gives notice that it leaves, or asks for a pause, after it was selected
// for a request and before a byte was written, the request goes to another target.
func TestNoticeBeforeWriteMovesRequestToAnotherTarget(t *testing.T) {
	for name, notice := range map[string]admitter.TargetNotice{"leaves": {Leaving: true}, "pauses": {Pause: time.Minute}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, completeAnswer, completeAnswer)
			ctx, c := f.prepareCall(t)
			selected, e := f.selectTarget(c)
			g.Expect(e).To(BeNil())
			f.recordNotice(clocker.Now(), selected, notice)
			done, e := f.attempt(ctx, c, selected)
			g.Expect(done).To(BeFalse())
			g.Expect(e).To(BeNil())
			g.Expect(f.requestsSeen()).To(BeEmpty())
			other, e := f.selectTarget(c)
			g.Expect(e).To(BeNil())
			g.Expect(other.choice.Target).NotTo(Equal(selected.choice.Target))
			g.Expect(f.state.admitter.OwnLoads()).To(HaveLen(1), "only at the other one")
		})
	}
}

// pauseAnswer rejects requests and asks for a pause.
func pauseAnswer(values ...string) script {
	header := "Not-Run: 1\r\n"
	for _, v := range values {
		header += "Pause: " + v + "\r\n"
	}
	return fixedAnswer(http.StatusServiceUnavailable, header, "")
}

// A target that has asked for a pause gets no requests until the pause ends. Other
// targets take its share, and it is used again afterwards.
func TestPausedTargetGetsNoRequestsUntilPauseEnds(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, pauseAnswer("1"))
	f.send(f.request(http.MethodGet, "/lookup/1", ""))
	asked := time.Now()
	g.Expect(f.requestsAtFirst()).To(Equal(1))
	f.addTarget("t1", completeAnswer)
	for time.Since(asked) < 900*time.Millisecond {
		g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusOK))
	}
	g.Expect(f.requestsAtFirst()).To(Equal(1))
	g.Eventually(func() int {
		f.send(f.request(http.MethodGet, "/lookup/1", ""))
		return f.requestsAtFirst()
	}, "5s").Should(BeNumerically(">", 1))
}

// If all targets of a pool pause, callers are told at once to come back after the
// shortest remaining pause, and not sooner. Nothing is sent, and no retry is taken from
// the budget.
func TestAllTargetsPausing(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, pauseAnswer("30"), pauseAnswer("20"))
	f.send(f.request(http.MethodGet, "/lookup/1", ""))
	f.send(f.request(http.MethodGet, "/lookup/1", ""))
	sent := len(f.requestsSeen())
	g.Expect(sent).To(BeNumerically("<=", 3))
	least, most := 1000.0, 0.0
	for range 50 {
		began := time.Now()
		a := f.send(f.request(http.MethodGet, "/lookup/1", ""))
		g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second), "at once")
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		least, most = min(least, after), max(most, after)
	}
	g.Expect(f.requestsSeen()).To(HaveLen(sent))
	g.Expect(least).To(BeNumerically(">=", 15), "of 20 seconds no more than five have passed")
	g.Expect(most).To(BeNumerically(">", least+1), "they are spread out")
}

// The request after which all targets pause is answered with the remaining pause too.
func TestLastTargetAsksForPause(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, pauseAnswer("30"))
	a := f.send(f.request(http.MethodPost, "/ticket/1", "x"))
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after).To(BeNumerically(">=", 29))
	g.Expect(f.requestsSeen()).To(HaveLen(1))
}

// A request for a pause does not count as a failure of the target, whether the target
// has run the request or not.
func TestPauseIsNotAFailure(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, fixedAnswer(http.StatusServiceUnavailable, "Seal: s\r\nPause: 0.1\r\n", ""))
	f.addTarget("t1", completeAnswer)
	for range 200 {
		f.send(f.request(http.MethodGet, "/lookup/1", ""))
	}
	g.Expect(f.requestsAtFirst()).To(BeNumerically(">", 0))
	page := httptest.NewRecorder()
	f.Metrics().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	g.Expect(page.Body.String()).To(ContainSubstring(`sendings_total{result="answered"}`))
	g.Expect(page.Body.String()).NotTo(ContainSubstring(`sendings_total{result="failed"}`))
}

// A pause that cannot be parsed counts as the default pause, after which the target
// serves again.
func TestMalformedPause(t *testing.T) {
	for _, value := range []string{"-1", "soon", "Fri, 04 Dec 2026 14:00:00 GMT"} {
		t.Run(value, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, firstThen(pauseAnswer(value), completeAnswer))
			g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(f.requestsSeen()).To(HaveLen(1))
			g.Eventually(func() int { return f.send(f.request(http.MethodGet, "/lookup/1", "")).status }, "5s", "100ms").Should(Equal(http.StatusOK))
		})
	}
}

// A target that only another router has reported as leaving is used if there is no
// other target.
func TestTargetReportedLeavingByPeerIsLastChoice(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer, completeAnswer)
	others := NewSummary()
	others.Leaving.Add("t0", admitter.LeavingReport{Incarnation: 1, Age: time.Second})
	f.ReceivePeerSummary(clocker.Now(), others, 1)
	for range 20 {
		g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusOK))
	}
	g.Expect(f.requestsAtFirst()).To(BeZero())
	f.targets = f.targets[:1]
	f.SetTargets(f.targets)
	g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusOK))
	g.Expect(f.requestsAtFirst()).To(Equal(1))
}

// A router reports the targets that have given it notice that they leave to its peers,
// until they are listed as leaving.
func TestSummaryReportsLeavingTargets(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, leavingAnswers["a whole answer"])
	f.send(f.request(http.MethodGet, "/lookup/1", ""))
	now := clocker.Now().Add(time.Second)
	n, reported := f.Summary(now).Leaving["t0"]
	g.Expect(reported).To(BeTrue())
	g.Expect(n.Incarnation).To(BeEquivalentTo(1))
	g.Expect(n.Age).To(BeNumerically(">=", time.Second))
	g.Expect(f.Summary(now).Aged(time.Second).Leaving["t0"].Age).To(Equal(n.Age + time.Second))
	f.targets[0].Leaving = true
	f.SetTargets(f.targets)
	g.Expect(f.Summary(now).Leaving).To(BeEmpty())
}

// A summary holds a bounded number of notices, so that it fits in a message.
func TestNoticesAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := NewSummary()
	for n := range 1000 {
		s.Leaving.Add(identifier.Target(fmt.Sprint(n)), admitter.LeavingReport{Age: time.Duration(n)})
	}
	g.Expect(s.Leaving).To(HaveLen(64))
	g.Expect(s.Leaving).To(HaveKey(identifier.Target("0")), "the latest")
}
