package forwarder

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// refusedOf returns how many of 1000 requests of a standing are refused by a
// router that looks as it does in a second.
func refusedOf(s *overload, standing float64) int {
	n := 0
	for i := 0; i < 1000; i++ {
		if i%50 == 0 {
			s.admission.update(max(minServedRatio, 1-shedWithinShare(float64(s.shedPermille.Load())/1000)))
		}
		if s.shouldShed("w", standing) {
			n++
		}
	}
	return n
}

// What is taken in late is not given up in time either (ndtra-baling-grown
// trouble-1: GONE).
func TestStrainedRouterRefusesBeyondTheShareFirst(t *testing.T) {
	g := NewWithT(t)
	s := &overload{}
	now := identifier.Instant(time.Hour)
	g.Expect(refusedOf(s, 0.5)).To(BeZero())
	for s.shedPermille.Load() < 500 {
		now = now.Add(checkInterval)
		s.update(now, 60*time.Millisecond)
	}
	g.Expect(refusedOf(s, 0.5)).To(BeNumerically(">", 400))
	g.Expect(refusedOf(s, 1)).To(BeNumerically("<", 400))
	for i := 0; i < 20; i++ {
		s.update(now, 200*time.Millisecond)
	}
	g.Expect(refusedOf(s, 1)).To(BeNumerically(">", 900))
}

// All were refused alike, so that one that asked for little got nothing
// (karakoram-grown trouble-3: FAIR).
func TestFloodKeepsOutItselfOnly(t *testing.T) {
	g := NewWithT(t)
	s := &overload{}
	s.shedPermille.Store(1000)
	served := map[identifier.Workspace]int{}
	for look := 0; look < 100; look++ {
		for i := 0; i < 50; i++ {
			w := identifier.Workspace("flood")
			if i == 0 && look%4 == 0 {
				w = "small"
			}
			if !s.shouldShed(w, 1) {
				served[w]++
			}
		}
		s.admission.update(minServedRatio)
	}
	g.Expect(served["small"]).To(BeNumerically(">", 22), "of 25")
	g.Expect(served["flood"]).To(BeNumerically("<", 400), "of 4975")
}

func TestStrainedRouterSendsCallersAwayOnceTheyReachOthers(t *testing.T) {
	g := NewWithT(t)
	s := &overload{}
	now := identifier.Instant(time.Hour)
	for !s.overloaded() {
		s.update(now, 100*time.Millisecond)
	}
	g.Expect(s.closesConnections(now)).To(BeFalse())
	g.Expect(s.closesConnections(now.Add(redirectDelay + time.Second))).To(BeTrue())
	for i := 0; i < 60; i++ {
		s.update(now, 0)
	}
	g.Expect(s.overloaded()).To(BeFalse())
	g.Expect(refusedOf(s, 0.1)).To(BeZero())
}

func TestStrainShows(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, whole)
	f.overload.shedPermille.Store(1000)
	f.overload.overloadedSince.Store(1)
	for i := 0; i < 100; i++ {
		f.overload.admission.addRequest("w")
	}
	f.overload.admission.update(minServedRatio)
	// One in fifty is served.
	var a got
	sent := 0
	for ; sent < 20 && a.status != http.StatusServiceUnavailable; sent++ {
		a = f.send(f.request(http.MethodPost, "/ticket/1", "x"))
	}
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(a.closing).To(BeTrue())
	g.Expect(f.Ready(clocker.Now())).To(BeFalse())
	g.Expect(f.seen()).To(HaveLen(sent - 1))
}

func TestQuantileOfWhatWasAdded(t *testing.T) {
	g := NewWithT(t)
	bounds := []float64{0, 0.001, 0.01, 0.1}
	g.Expect(quantile([]uint64{0, 0, 0}, nil, bounds)).To(BeZero())
	g.Expect(quantile([]uint64{100, 0, 0}, nil, bounds)).To(BeZero())
	g.Expect(quantile([]uint64{100, 2, 8}, []uint64{100, 0, 0}, bounds)).To(Equal(10 * time.Millisecond))
}

// A caller that comes back at once is refused by the same router once more
// (karakoram-grown trouble-3: FAIR, and worth refused again).
func TestRefusedCallerComesBackWhenItReachesOthers(t *testing.T) {
	g := NewWithT(t)
	s := &overload{}
	now := identifier.Instant(time.Hour)
	g.Expect(s.retryAfter(now)).To(BeNumerically("<=", minRetryAfter+retryAfterSpread))
	s.overloadedSince.Store(int64(now))
	g.Expect(s.retryAfter(now.Add(time.Second))).To(BeNumerically(">=", redirectDelay-time.Second))
	g.Expect(s.retryAfter(now.Add(time.Minute))).To(BeNumerically("<=", minRetryAfter+retryAfterSpread))
}

// Where thousands of goroutines are ready, the ticker's turn comes late, and what
// it found out seconds ago still decided (karakoram-grown trouble-3).
func TestRequestsLookHowLateTheProcessIs(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, whole)
	f.overload.checkedAt.Store(int64(clocker.Now()))
	f.updateOverload(clocker.Now())
	f.overload.checkedAt.Store(0)
	before := clocker.Now().Add(-time.Millisecond)
	f.send(f.request(http.MethodPost, "/ticket/1", "x"))
	g.Expect(identifier.Instant(f.overload.checkedAt.Load())).To(BeNumerically(">=", before))
}
