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

// arrivalsAtFirst counts the requests that came to the first target.
func (f *fleet) arrivalsAtFirst() int {
	n := 0
	for _, a := range f.seen() {
		if a.target == "t0" {
			n++
		}
	}
	return n
}

// openAtFirst counts the open connections to the first target.
func (f *fleet) openAtFirst() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open["t0"]
}

// leavesWith are the answers by which a target says that it leaves.
var leavesWith = map[string]script{
	"a whole answer":            replies(http.StatusOK, "Seal: s\r\nLeaving: 1\r\n", "whole"),
	"a failure":                 replies(http.StatusInternalServerError, "Seal: s\r\nLeaving: 1\r\n", "failed"),
	"one that did not run it":   replies(http.StatusServiceUnavailable, "Not-Run: 1\r\nLeaving: 1\r\n", ""),
	"one that breaks off":       halfLeaving,
	"a stream's head":           streamLeaving,
	"a stream that breaks off":  streamLeavingBroken,
	"one that is nobody's else": replies(http.StatusOK, "Leaving: 1\r\n", "unsealed"),
}

func halfLeaving(w net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("Id"))
	return false
}

func streamLeaving(w net.Conn, r *http.Request) bool {
	streamLeavingBroken(w, r)
	_, _ = io.WriteString(w, "0\r\n\r\n")
	return true
}

func streamLeavingBroken(w net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
	chunk(w, "id: 1\ndata: d1\n\n")
	return false
}

// Whatever answer bears it, nothing is sent to a target after it has said that it leaves:
// not while the store is down, nor when a list from before says that it is ready.
func TestTargetThatSaysThatItLeavesGetsNoWork(t *testing.T) {
	for name, first := range leavesWith {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, first)
			path := "/lookup/1"
			if name[:3] == "a s" {
				path = "/stream/1"
			}
			f.send(f.request(http.MethodGet, path, ""))
			g.Expect(f.arrivalsAtFirst()).To(Equal(1))
			f.addTarget("t1", whole)
			for range 20 {
				f.SetTargets(f.list)
				g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusOK))
			}
			g.Expect(f.arrivalsAtFirst()).To(Equal(1))
			g.Eventually(func() int { return f.openAtFirst() }, "2s").Should(BeZero(), "its connections are closed")
		})
	}
}

// What a target said holds for one boot of it at one address.
func TestWhatATargetSaidIsOfItsBoot(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*admitter.Target)
		served bool
	}{
		"the same":         {func(*admitter.Target) {}, false},
		"started anew":     {func(t *admitter.Target) { t.Start++ }, true},
		"at other address": {func(t *admitter.Target) { t.Address = "127.0.0.1:1" }, true},
	} {
		for _, gone := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gone meanwhile %v", name, gone), func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(t, leavesWith["a whole answer"])
				f.send(f.request(http.MethodGet, "/lookup/1", ""))
				if gone {
					f.SetTargets(nil)
				}
				c.change(&f.list[0])
				f.SetTargets(f.list)
				f.board.mu.Lock()
				choice := f.board.admitter.Choose(clocker.Now(), admitter.Ask{Pool: testPool})
				f.board.mu.Unlock()
				g.Expect(choice.Refused == "").To(Equal(c.served))
			})
		}
	}
}

// An answer of another target at the address says nothing of the one that was meant.
func TestWordOfAnotherTargetAtTheAddressIsNotHeeded(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, firstThen(replies(http.StatusMisdirectedRequest, "Leaving: 1\r\nPause: 60\r\n", ""), whole))
	f.send(f.request(http.MethodGet, "/lookup/1", ""))
	g.Eventually(func() int { return f.send(f.request(http.MethodGet, "/lookup/1", "")).status }, "3s").Should(Equal(http.StatusOK))
}

// Work that is under way at a target goes on to its end after the target has said that
// it leaves.
func TestWorkUnderWayAtALeavingTargetGoesOn(t *testing.T) {
	g := NewWithT(t)
	leave := make(chan struct{})
	f := newFleet(t, func(w net.Conn, r *http.Request) bool {
		if r.URL.Path == "/lookup/1" {
			reply(w, r, http.StatusOK, "Seal: s\r\nLeaving: 1\r\n", "whole")
			return true
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		chunk(w, numbered(1, 1))
		<-leave
		chunk(w, numbered(2, 3))
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	})
	stream := make(chan got)
	go func() { stream <- f.send(f.request(http.MethodGet, "/once/1", "")) }()
	eventually(t, "the stream is under way", func() bool { return len(f.seen()) == 1 })
	g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusOK))
	close(leave)
	a := <-stream
	g.Expect(a.broken).To(BeFalse())
	g.Expect(a.body).To(Equal(numbered(1, 3)))
}

// inHand returns a request that came but was not sent.
func (f *fleet) inHand(t *testing.T) (context.Context, *call) {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, "/lookup/1", nil)
	r.Host = "desk"
	r.Header.Set("Key", "k")
	r.Header.Set("Id", "id1")
	c := &call{w: httptest.NewRecorder(), r: r, arrived: clocker.Coarse(), held: holding{ledger: &f.ledger}}
	c.facts = f.cfg.Dialect.Read(r.Header)
	ctx, cancel, e := f.intake(c)
	if e != nil {
		t.Fatal(e.reason)
	}
	t.Cleanup(cancel)
	c.pool = testPool
	return ctx, c
}

// A request whose target says that it leaves, or asks for a pause, after it was chosen and
// before a byte was written goes to another one.
func TestRequestThatIsChosenAndNotWrittenIsHeldBackToo(t *testing.T) {
	for name, w := range map[string]admitter.Word{"leaves": {Leaving: true}, "pauses": {Pause: time.Minute}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, whole, whole)
			ctx, c := f.inHand(t)
			chosen, e := f.choose(c)
			g.Expect(e).To(BeNil())
			f.said(clocker.Now(), chosen, w)
			done, e := f.attempt(ctx, c, chosen)
			g.Expect(done).To(BeFalse())
			g.Expect(e).To(BeNil())
			g.Expect(f.seen()).To(BeEmpty())
			other, e := f.choose(c)
			g.Expect(e).To(BeNil())
			g.Expect(other.choice.Target).NotTo(Equal(chosen.choice.Target))
			g.Expect(f.board.admitter.Own()).To(HaveLen(1), "only at the other one")
		})
	}
}

// pausing turns requests away and asks for a pause.
func pausing(values ...string) script {
	header := "Not-Run: 1\r\n"
	for _, v := range values {
		header += "Pause: " + v + "\r\n"
	}
	return replies(http.StatusServiceUnavailable, header, "")
}

// A target that has asked for a pause gets nothing until its end, others take its share,
// and it is none the worse for it afterwards.
func TestTargetThatAsksForAPauseGetsNoWorkUntilItsEnd(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, pausing("1"))
	f.send(f.request(http.MethodGet, "/lookup/1", ""))
	asked := time.Now()
	g.Expect(f.arrivalsAtFirst()).To(Equal(1))
	f.addTarget("t1", whole)
	for time.Since(asked) < 900*time.Millisecond {
		g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusOK))
	}
	g.Expect(f.arrivalsAtFirst()).To(Equal(1))
	g.Eventually(func() int {
		f.send(f.request(http.MethodGet, "/lookup/1", ""))
		return f.arrivalsAtFirst()
	}, "5s").Should(BeNumerically(">", 1))
}

// When all targets of a pool want a pause callers are told at once to come back after the
// least that is left, and not sooner; nothing is sent, and no retry is used up.
func TestAllTargetsPausing(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, pausing("30"), pausing("20"))
	f.send(f.request(http.MethodGet, "/lookup/1", ""))
	f.send(f.request(http.MethodGet, "/lookup/1", ""))
	sent := len(f.seen())
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
	g.Expect(f.seen()).To(HaveLen(sent))
	g.Expect(least).To(BeNumerically(">=", 15), "of 20 seconds no more than five have passed")
	g.Expect(most).To(BeNumerically(">", least+1), "they are spread out")
}

// The request after whose sending all targets pause is told so too.
func TestLastTargetThatAsksForAPause(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, pausing("30"))
	a := f.send(f.request(http.MethodPost, "/ticket/1", "x"))
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after).To(BeNumerically(">=", 29))
	g.Expect(f.seen()).To(HaveLen(1))
}

// A pause is no failure of the target, whether it has run the request or not.
func TestPauseIsNoFailure(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, replies(http.StatusServiceUnavailable, "Seal: s\r\nPause: 0.1\r\n", ""))
	f.addTarget("t1", whole)
	for range 200 {
		f.send(f.request(http.MethodGet, "/lookup/1", ""))
	}
	g.Expect(f.arrivalsAtFirst()).To(BeNumerically(">", 0))
	page := httptest.NewRecorder()
	f.Metrics().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	g.Expect(page.Body.String()).To(ContainSubstring(`sendings_total{result="answered"}`))
	g.Expect(page.Body.String()).NotTo(ContainSubstring(`sendings_total{result="failed"}`))
}

// Pauses that cannot be read have a default, and their target serves again after it.
func TestPauseThatCannotBeRead(t *testing.T) {
	for _, value := range []string{"-1", "soon", "Fri, 04 Dec 2026 14:00:00 GMT"} {
		t.Run(value, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, firstThen(pausing(value), whole))
			g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(f.seen()).To(HaveLen(1))
			g.Eventually(func() int { return f.send(f.request(http.MethodGet, "/lookup/1", "")).status }, "5s", "100ms").Should(Equal(http.StatusOK))
		})
	}
}

// A target of which only another router knows that it leaves is used if there is no
// other one.
func TestTargetThatAnotherRouterSaysLeavesComesLast(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, whole, whole)
	others := NewSummary()
	others.Leaving.Add("t0", admitter.Notice{Start: 1, Age: time.Second})
	f.ReceivePeerSummary(clocker.Now(), others, 1)
	for range 20 {
		g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusOK))
	}
	g.Expect(f.arrivalsAtFirst()).To(BeZero())
	f.list = f.list[:1]
	f.SetTargets(f.list)
	g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusOK))
	g.Expect(f.arrivalsAtFirst()).To(Equal(1))
}

// A router tells others what targets have said to it, until the list says so too.
func TestRoutersAreToldOfTargetsThatLeave(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, leavesWith["a whole answer"])
	f.send(f.request(http.MethodGet, "/lookup/1", ""))
	now := clocker.Now().Add(time.Second)
	n, told := f.Summary(now).Leaving["t0"]
	g.Expect(told).To(BeTrue())
	g.Expect(n.Start).To(BeEquivalentTo(1))
	g.Expect(n.Age).To(BeNumerically(">=", time.Second))
	g.Expect(f.Summary(now).Aged(time.Second).Leaving["t0"].Age).To(Equal(n.Age + time.Second))
	f.list[0].Leaving = true
	f.SetTargets(f.list)
	g.Expect(f.Summary(now).Leaving).To(BeEmpty())
}

// Of many targets that leave only so many are told of that a message holds them.
func TestNoticesHaveABound(t *testing.T) {
	g := NewWithT(t)
	s := NewSummary()
	for n := range 1000 {
		s.Leaving.Add(identifier.Target(fmt.Sprint(n)), admitter.Notice{Age: time.Duration(n)})
	}
	g.Expect(s.Leaving).To(HaveLen(64))
	g.Expect(s.Leaving).To(HaveKey(identifier.Target("0")), "the latest")
}
