package forwarder

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/assigner"
	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

func TestElapsedTimeFollowsTimeLimits(t *testing.T) {
	g := NewWithT(t)
	var l timeLimits
	const routeLimit = 9 * time.Second
	known := func(left time.Duration) bool { _, ok := l.elapsed("k", routeLimit, left); return ok }
	g.Expect(known(time.Second)).To(BeFalse(), "nothing was seen")
	for i := range minLimitsSeen {
		g.Expect(known(time.Second)).To(BeFalse(), "little was seen")
		l.record("k", 10*time.Second-time.Duration(i)*time.Millisecond)
		l.record("k", 0)
	}
	elapsed, ok := l.elapsed("k", routeLimit, 4*time.Second)
	g.Expect(ok).To(BeTrue())
	g.Expect(elapsed).To(Equal(6 * time.Second))
	g.Expect(known(0)).To(BeFalse(), "the caller does not say")
	g.Expect(known(11*time.Second)).To(BeFalse(), "callers have longer limits than were seen")
	_, ok = l.elapsed("other", routeLimit, time.Second)
	g.Expect(ok).To(BeFalse())
	_, ok = l.elapsed("k", 0, time.Second)
	g.Expect(ok).To(BeFalse(), "the route has no limit")
	for i := range 2 * maxLimitKinds {
		l.record(identifier.Kind(fmt.Sprint(i)), time.Second)
	}
	g.Expect(l.kinds).To(HaveLen(maxLimitKinds))
}

// After a start the first requests may all be of callers that had waited before, whose limits are
// what is left to them.
func TestElapsedTimeIsNotGuessedFromCallersThatWaited(t *testing.T) {
	g := NewWithT(t)
	var l timeLimits
	for range minLimitsSeen {
		l.record("k", 6*time.Second)
	}
	elapsed, ok := l.elapsed("k", 12*time.Second, 5*time.Second)
	g.Expect(ok).To(BeTrue())
	g.Expect(elapsed).To(Equal(7 * time.Second))
}

// Guards against a plan that counts although the stream began after no router used it any more,
// and against one that does not although a router may have used it.
func TestTakeUpCountsPlansSinceItsStreamMayHaveBegun(t *testing.T) {
	g := NewWithT(t)
	f := newSoftwareFleet(t, whole, "1", "2")
	f.settleWithin(time.Second)
	tunables := *f.state.tunables.Load()
	tunables.MaxProofAge = 3 * time.Second
	g.Expect(f.SetTunables(tunables)).To(Succeed())
	now := clocker.Now()
	one, two := newPlan(1, softwareWeights{"1": 1}), newPlan(2, softwareWeights{"2": 1})
	f.LearnPlans(now.Add(-time.Minute), testPool, []assigner.Plan{one})
	f.LearnPlans(now.Add(-8*time.Second), testPool, []assigner.Plan{one, two}) // The first has ended 6 s ago.
	_, c := f.prepareCall(t)
	route := *c.route
	route.Stream, route.Resumable, route.Timeout = true, true, 10*time.Second
	c.route, c.info.LastEventID, c.info.Resumes = &route, "3", "a"
	c.earliestArrival = now
	takeUp := func(left time.Duration) *errorAnswer {
		c.pin, c.info.Timeout = softwarePin{}, left
		return f.pinTakeUp(now, now, c)
	}
	g.Expect(takeUp(9*time.Second)).NotTo(BeNil(), "nothing is known of time limits")
	for range minLimitsSeen {
		f.state.timeLimits.record(route.Kind, 10*time.Second)
	}
	g.Expect(takeUp(9 * time.Second)).To(BeNil())
	g.Expect(c.pin).To(Equal(softwarePin{set: true, software: "2"}))
	g.Expect(takeUp(7 * time.Second)).To(BeNil())
	g.Expect(takeUp(6500*time.Millisecond)).NotTo(BeNil(), "4 s ago, at a router that learned of the second with a proof of 3 s, and put it in force 1 s later")
	g.Expect(takeUp(0)).NotTo(BeNil())
	route.Public = true
	g.Expect(takeUp(9*time.Second)).NotTo(BeNil(), "routers serve it under any proof")
	route.Public = false
	f.LearnPlans(now.Add(time.Hour), testPool, nil)
	g.Expect(takeUp(9 * time.Second)).To(BeNil())
	g.Expect(takeUp(6500*time.Millisecond)).NotTo(BeNil(), "the plan by which it may have begun is dropped")
}
