package admitter

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"buckthorndrum/identifier"
)

const second = identifier.Instant(time.Second)

// newEngines returns an admitter with n model engines.
func newEngines(n int) *Admitter {
	a := New()
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{ID: identifier.Target(fmt.Sprintf("e%d", i)), Pool: "p", Slots: 8}
	}
	a.SetTargets(second, targets)
	return a
}

// testRequest returns a request with the shared segments prefix+100 and prefix, and 500
// tokens of its own.
func testRequest(prefix uint64) Request {
	return Request{Pool: "p", Model: "m", PromptTokens: 3000, MaxOutputTokens: 100, MaxWait: time.Second, WithinShare: true,
		Segments: []PromptSegment{{prefix + 100, 500}, {prefix, 2000}, {prefix + 1000, 500}}}
}

func TestRoutersChooseSameTargetForSharedPrefix(t *testing.T) {
	g := NewWithT(t)
	routers := []*Admitter{newEngines(5), newEngines(5)}
	for prefix := uint64(0); prefix < 20; prefix++ {
		want := routers[0].Choose(second, testRequest(prefix)).Target
		for _, a := range routers {
			c := a.Choose(second, testRequest(prefix))
			g.Expect(c.Target).To(Equal(want), "all routers choose the same target")
			a.EndAttempt(second, a.StartAttempt(second, testRequest(prefix), c), Answered)
			g.Expect(a.Choose(second, testRequest(prefix)).PrefillTokens).To(Equal(500))
		}
	}
}

// A queue at the preferred target costs less than recomputing the shared prefix, up to a
// certain length.
func TestQueueIsWeighedAgainstRecomputation(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(5)
	preferred := a.Choose(second, testRequest(1)).Target
	for _, c := range []struct {
		prefillTokens int
		stays         bool
	}{{0, true}, {2000, true}, {80000, false}} {
		a.SetPeerLoads(second, map[identifier.Target]Load{preferred: {Running: 1, PrefillTokens: c.prefillTokens}})
		g.Expect(a.Choose(second, testRequest(1)).Target == preferred).To(Equal(c.stays), "with %d tokens to prefill", c.prefillTokens)
	}
}

func TestOverflowGoesToOtherPreferredTargets(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(12)
	candidates := append([]candidate(nil), a.ringCandidates(second, a.pools["p"], testRequest(1), prefixKeys("m", testRequest(1).Segments))...)
	loads := map[identifier.Target]Load{candidates[0].target.ID: {Running: 8}}
	a.SetPeerLoads(second, loads)
	g.Expect([]identifier.Target{candidates[1].target.ID, candidates[2].target.ID}).To(ContainElement(a.Choose(second, testRequest(1)).Target))
	for _, c := range candidates[:maxPreferredTargets] {
		loads[c.target.ID] = Load{Running: 8}
	}
	a.SetPeerLoads(second, loads)
	g.Expect(a.Choose(second, testRequest(1)).Refused).To(BeEmpty(), "within the share other targets are considered")
	req := testRequest(1)
	req.WithinShare = false
	g.Expect(a.Choose(second, req).Refused).To(Equal(TargetsBusy))
}

// A workspace that exceeds its share has no prefix recomputed unless the pool has spare
// capacity.
func TestNoRecomputationAboveShareUnderLoad(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(3)
	req := testRequest(1)
	req.WithinShare = false
	preferred := a.Choose(second, req).Target
	loads := map[identifier.Target]Load{preferred: {Running: 8}}
	a.SetPeerLoads(second, loads)
	g.Expect(a.Choose(second, req).Refused).To(BeEmpty(), "the others are idle")
	for id := range a.targets {
		if id != preferred {
			loads[id] = Load{Running: 1, PrefillTokens: 20000}
		}
	}
	a.SetPeerLoads(second, loads)
	g.Expect(a.Choose(second, req).Refused).To(Equal(TargetsBusy))
	req.WithinShare = true
	g.Expect(a.Choose(second, req).Refused).To(BeEmpty())
}

func TestRefusesRequestsBeyondMaxWait(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(2)
	a.SetPeerLoads(second, map[identifier.Target]Load{"e0": {Running: 2, PrefillTokens: 200000}, "e1": {Running: 2, PrefillTokens: 150000}})
	c := a.Choose(second, testRequest(1))
	g.Expect(c.Refused).To(Equal(TargetsBusy))
	g.Expect(c.Wait).To(BeNumerically(">", time.Second), "the wait is that of the faster target")
}

func TestLeavingTargetsAreNotChosen(t *testing.T) {
	g := NewWithT(t)
	a := New()
	a.SetTargets(second, []Target{{ID: "e0", Pool: "p", Slots: 4, Leaving: true}, {ID: "e1", Pool: "p", Slots: 4}})
	for prefix := uint64(0); prefix < 20; prefix++ {
		g.Expect(a.Choose(second, testRequest(prefix)).Target).To(BeEquivalentTo("e1"))
	}
	a.SetTargets(second, []Target{{ID: "e0", Pool: "p", Slots: 4, Leaving: true}})
	g.Expect(a.Choose(second, testRequest(1)).Refused).To(Equal(NoTarget))
}

func TestRestartedTargetHasEmptyPrefixCache(t *testing.T) {
	g := NewWithT(t)
	a := New()
	a.SetTargets(second, []Target{{ID: "e0", Pool: "p", Slots: 4, Incarnation: 1}})
	a.EndAttempt(second, a.StartAttempt(second, testRequest(1), a.Choose(second, testRequest(1))), Answered)
	g.Expect(a.targets["e0"].prefixes).NotTo(BeEmpty())
	a.SetTargets(second, []Target{{ID: "e0", Pool: "p", Slots: 4, Incarnation: 1}})
	g.Expect(a.targets["e0"].prefixes).NotTo(BeEmpty())
	a.SetTargets(second, []Target{{ID: "e0", Pool: "p", Slots: 4, Incarnation: 2}})
	g.Expect(a.targets["e0"].prefixes).To(BeEmpty())
}

func TestConnectionFailureBlocksTarget(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(2)
	preferred := a.Choose(second, testRequest(1)).Target
	a.EndAttempt(second, a.StartAttempt(second, testRequest(1), a.Choose(second, testRequest(1))), ConnectionFailed)
	g.Expect(a.Choose(second, testRequest(1)).Target).NotTo(Equal(preferred))
	g.Expect(a.Choose(a.targets[preferred].admissionDecision(second).Until, testRequest(1)).Target).To(Equal(preferred))
}

// A target that passes its health checks and fails some of its requests is detected by
// its answers, and tried again at intervals.
func TestFailingTargetIsProbed(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(3)
	failing := a.targets["e0"]
	now := second
	for i := 0; i < 20; i++ {
		failing.recordAnswer(true)
	}
	failing.lastAttempt = now
	for prefix := uint64(0); prefix < 20; prefix++ {
		g.Expect(a.Choose(now, testRequest(prefix)).Target).NotTo(BeEquivalentTo("e0"))
	}
	now = now.Add(probeInterval + time.Millisecond)
	var probed bool
	for prefix := uint64(0); prefix < 20; prefix++ {
		probed = probed || a.Choose(now, testRequest(prefix)).Target == "e0"
	}
	g.Expect(probed).To(BeTrue())
	for i := 0; i < 40; i++ {
		failing.recordAnswer(false)
	}
	g.Expect(failing.failureRate).To(BeNumerically("<", failureMargin))
}

func TestLatencyEstimateConverges(t *testing.T) {
	g := NewWithT(t)
	e := latencyEstimate{base: initialBase, perToken: initialPerToken}
	for i := 0; i < 400; i++ {
		e.observe(100, 80*time.Millisecond+e.prefillTime(100))
		e.observe(10000, 80*time.Millisecond+200*time.Millisecond)
	}
	g.Expect(e.base).To(BeNumerically("~", 80*time.Millisecond, 8*time.Millisecond))
	g.Expect(e.prefillTime(10000)).To(BeNumerically("~", 200*time.Millisecond, 20*time.Millisecond))
}

func TestPeerLoadsExpire(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(2)
	a.SetPeerLoads(second, map[identifier.Target]Load{"e0": {Running: 3}})
	g.Expect(a.targets["e0"].totalLoad().Running).To(Equal(3))
	a.Tick(second.Add(2 * peerLoadTTL))
	g.Expect(a.targets["e0"].totalLoad().Running).To(BeZero())
}

// The loads are never negative, and are zero when all attempts have ended.
func TestOwnLoadsStayConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newEngines(rapid.IntRange(1, 5).Draw(t, "engines"))
		now := second
		var attempts []*Attempt
		for i := 0; i < 60; i++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "step")) * time.Millisecond)
			req := testRequest(uint64(rapid.IntRange(0, 5).Draw(t, "part")))
			if c := a.Choose(now, req); c.Refused == "" && rapid.Bool().Draw(t, "send") {
				attempts = append(attempts, a.StartAttempt(now, req, c))
			}
			if len(attempts) == 0 {
				continue
			}
			n := rapid.IntRange(0, len(attempts)-1).Draw(t, "which")
			if rapid.Bool().Draw(t, "began") {
				a.RecordAnswerStart(now, attempts[n])
				continue
			}
			a.EndAttempt(now, attempts[n], Result(rapid.IntRange(0, 3).Draw(t, "result")))
			attempts = append(attempts[:n], attempts[n+1:]...)
			for id, l := range a.OwnLoads() {
				if l.Running < 0 || l.PrefillTokens < 0 || l.MemoryTokens < 0 {
					t.Fatalf("load of %s is %+v", id, l)
				}
			}
		}
		for _, attempt := range attempts {
			a.EndAttempt(now, attempt, Answered)
		}
		if own := a.OwnLoads(); len(own) > 0 {
			t.Fatalf("all attempts have ended, but the load is %+v", own)
		}
	})
}

func TestPlainServiceRequestsAreBalanced(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(3)
	count := map[identifier.Target]int{}
	for i := uint64(0); i < 12; i++ {
		req := Request{Pool: "p", Seed: i}
		c := a.Choose(second, req)
		a.StartAttempt(second, req, c)
		count[c.Target]++
	}
	for id := range a.targets {
		g.Expect(count[id]).To(Equal(4))
	}
}

// An attempt that ends after its target has restarted does not reduce the load of the new
// incarnation: peers reject the report of a router with a negative load.
func TestAttemptAtPreviousIncarnationLeavesLoadUnchanged(t *testing.T) {
	g := NewWithT(t)
	a := New()
	setTarget := func(incarnation int64) {
		a.SetTargets(second, []Target{{ID: "e0", Pool: "p", Slots: 4, Incarnation: incarnation}})
	}
	setTarget(1)
	attempt := a.StartAttempt(second, testRequest(1), a.Choose(second, testRequest(1)))
	setTarget(2)
	a.RecordAnswerStart(second, attempt)
	a.EndAttempt(second, attempt, Answered)
	g.Expect(a.OwnLoads()).To(BeEmpty())
}
