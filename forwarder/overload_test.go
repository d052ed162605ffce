package forwarder

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// countShed returns how many of 1000 requests with a share ratio are shed, while the
// admission level is updated 20 times, as in a second of a running router.
func countShed(o *overload, shareRatio float64) int {
	n := 0
	for i := 0; i < 1000; i++ {
		if i%50 == 0 {
			o.admission.update(max(minServedRatio, 1-shedWithinShare(float64(o.shedPermille.Load())/1000)))
		}
		if o.shouldShed("w", shareRatio) {
			n++
		}
	}
	return n
}

// Requests beyond the fair share are shed first. Under heavy overload nearly all
// requests are shed: a router that accepts them late notices late that their callers
// have given up. In a load run, requests were sent to targets after their callers had
// left.
func TestOverloadedRouterShedsBeyondFairShareFirst(t *testing.T) {
	g := NewWithT(t)
	o := &overload{}
	now := identifier.Instant(time.Hour)
	g.Expect(countShed(o, 0.5)).To(BeZero())
	for o.shedPermille.Load() < 500 {
		now = now.Add(checkInterval)
		o.update(now, 60*time.Millisecond)
	}
	g.Expect(countShed(o, 0.5)).To(BeNumerically(">", 400))
	g.Expect(countShed(o, 1)).To(BeNumerically("<", 400))
	for i := 0; i < 20; i++ {
		o.update(now, 200*time.Millisecond)
	}
	g.Expect(countShed(o, 1)).To(BeNumerically(">", 900))
}

// In a load run all workspaces were shed alike, so that one that asked for little got
// nothing beside one that flooded the router.
func TestFloodDoesNotShedSmallWorkspace(t *testing.T) {
	g := NewWithT(t)
	o := &overload{}
	o.shedPermille.Store(1000)
	served := map[identifier.Workspace]int{}
	for round := 0; round < 100; round++ {
		for i := 0; i < 50; i++ {
			w := identifier.Workspace("flood")
			if i == 0 && round%4 == 0 {
				w = "small"
			}
			if !o.shouldShed(w, 1) {
				served[w]++
			}
		}
		o.admission.update(minServedRatio)
	}
	g.Expect(served["small"]).To(BeNumerically(">", 22), "of 25")
	g.Expect(served["flood"]).To(BeNumerically("<", 400), "of 4975")
}

func TestOverloadedRouterClosesConnectionsAfterRedirectDelay(t *testing.T) {
	g := NewWithT(t)
	o := &overload{}
	now := identifier.Instant(time.Hour)
	for !o.overloaded() {
		o.update(now, 100*time.Millisecond)
	}
	g.Expect(o.closesConnections(now)).To(BeFalse())
	g.Expect(o.closesConnections(now.Add(redirectDelay + time.Second))).To(BeTrue())
	for i := 0; i < 60; i++ {
		o.update(now, 0)
	}
	g.Expect(o.overloaded()).To(BeFalse())
	g.Expect(countShed(o, 0.1)).To(BeZero())
}

func TestOverloadedRouterShedsAndIsNotReady(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	f.overload.shedPermille.Store(1000)
	f.overload.overloadedSince.Store(1)
	for i := 0; i < 100; i++ {
		f.overload.admission.addRequest("w")
	}
	f.overload.admission.update(minServedRatio)
	// One request in fifty is served.
	var a callerAnswer
	sent := 0
	for ; sent < 20 && a.status != http.StatusServiceUnavailable; sent++ {
		a = f.send(f.request(http.MethodPost, "/ticket/1", "x"))
	}
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(a.closing).To(BeTrue())
	g.Expect(f.Ready(clocker.Now())).To(BeFalse())
	g.Expect(f.requestsSeen()).To(HaveLen(sent - 1))
}

func TestQuantileOfAddedCounts(t *testing.T) {
	g := NewWithT(t)
	bounds := []float64{0, 0.001, 0.01, 0.1}
	g.Expect(quantile([]uint64{0, 0, 0}, nil, bounds)).To(BeZero())
	g.Expect(quantile([]uint64{100, 0, 0}, nil, bounds)).To(BeZero())
	g.Expect(quantile([]uint64{100, 2, 8}, []uint64{100, 0, 0}, bounds)).To(Equal(10 * time.Millisecond))
}

// A caller that comes back at once reaches the same router and is shed once more. In a
// load run the shares of workspaces became unfair this way.
func TestRetryAfterCoversRedirectDelay(t *testing.T) {
	g := NewWithT(t)
	o := &overload{}
	now := identifier.Instant(time.Hour)
	g.Expect(o.retryAfter(now)).To(BeNumerically("<=", minRetryAfter+retryAfterSpread))
	o.overloadedSince.Store(int64(now))
	g.Expect(o.retryAfter(now.Add(time.Second))).To(BeNumerically(">=", redirectDelay-time.Second))
	g.Expect(o.retryAfter(now.Add(time.Minute))).To(BeNumerically("<=", minRetryAfter+retryAfterSpread))
}

// Where thousands of goroutines are ready, the ticker's goroutine runs late. In a load
// run decisions were based on measurements that were seconds old, so each request
// updates them.
func TestRequestsUpdateOverload(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	f.overload.checkedAt.Store(int64(clocker.Now()))
	f.updateOverload(clocker.Now())
	f.overload.checkedAt.Store(0)
	before := clocker.Now().Add(-time.Millisecond)
	f.send(f.request(http.MethodPost, "/ticket/1", "x"))
	g.Expect(identifier.Instant(f.overload.checkedAt.Load())).To(BeNumerically(">=", before))
}
