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

// engines returns an admitter with n engines.
func engines(n int) *Admitter {
	a := New()
	list := make([]Target, n)
	for i := range list {
		list[i] = Target{ID: identifier.Target(fmt.Sprintf("e%d", i)), Pool: "p", Slots: 8}
	}
	a.SetTargets(list)
	return a
}

// ask is a request with shared parts s and s+100, and 500 tokens of its own.
func ask(s uint64) Request {
	return Request{Pool: "p", Model: "m", PromptTokens: 3000, MaxOutputTokens: 100, MaxWait: time.Second, WithinShare: true,
		Segments: []PromptSegment{{s + 100, 500}, {s, 2000}, {s + 1000, 500}}}
}

func TestSharedPartsStayAtTheirHome(t *testing.T) {
	g := NewWithT(t)
	routers := []*Admitter{engines(5), engines(5)}
	for s := uint64(0); s < 20; s++ {
		home := routers[0].Choose(second, ask(s)).Target
		for _, a := range routers {
			c := a.Choose(second, ask(s))
			g.Expect(c.Target).To(Equal(home), "all routers choose the same home")
			a.EndAttempt(second, a.StartAttempt(second, ask(s), c), Answered)
			g.Expect(a.Choose(second, ask(s)).PrefillTokens).To(Equal(500))
		}
	}
}

// A queue at the home is cheaper than reading the shared parts again, up to a
// point.
func TestSpillsOnlyWhereItPays(t *testing.T) {
	g := NewWithT(t)
	a := engines(5)
	home := a.Choose(second, ask(1)).Target
	for _, c := range []struct {
		unread int
		stays  bool
	}{{0, true}, {2000, true}, {80000, false}} {
		a.SetPeerLoads(second, map[identifier.Target]Load{home: {Running: 1, PrefillTokens: c.unread}})
		g.Expect(a.Choose(second, ask(1)).Target == home).To(Equal(c.stays), "with %d tokens ahead", c.unread)
	}
}

func TestSpillGoesToTheFirstHomes(t *testing.T) {
	g := NewWithT(t)
	a := engines(12)
	list := append([]candidate(nil), a.ringCandidates(second, a.pools["p"], ask(1), prefixKeys("m", ask(1).Segments))...)
	load := map[identifier.Target]Load{list[0].target.ID: {Running: 8}}
	a.SetPeerLoads(second, load)
	g.Expect([]identifier.Target{list[1].target.ID, list[2].target.ID}).To(ContainElement(a.Choose(second, ask(1)).Target))
	for _, o := range list[:preferredTargets] {
		load[o.target.ID] = Load{Running: 8}
	}
	a.SetPeerLoads(second, load)
	g.Expect(a.Choose(second, ask(1)).Refused).To(BeEmpty(), "within the share it goes further")
	q := ask(1)
	q.WithinShare = false
	g.Expect(a.Choose(second, q).Refused).To(Equal(TargetsBusy))
}

// What is beyond the share reads nothing again unless there is room to spare.
func TestBeyondTheShareNothingIsReadAgainUnderLoad(t *testing.T) {
	g := NewWithT(t)
	a := engines(3)
	q := ask(1)
	q.WithinShare = false
	home := a.Choose(second, q).Target
	load := map[identifier.Target]Load{home: {Running: 8}}
	a.SetPeerLoads(second, load)
	g.Expect(a.Choose(second, q).Refused).To(BeEmpty(), "the others are idle")
	for id := range a.targets {
		if id != home {
			load[id] = Load{Running: 1, PrefillTokens: 20000}
		}
	}
	a.SetPeerLoads(second, load)
	g.Expect(a.Choose(second, q).Refused).To(Equal(TargetsBusy))
	q.WithinShare = true
	g.Expect(a.Choose(second, q).Refused).To(BeEmpty())
}

func TestRefusesWhatCannotBeOnTime(t *testing.T) {
	g := NewWithT(t)
	a := engines(2)
	a.SetPeerLoads(second, map[identifier.Target]Load{"e0": {Running: 2, PrefillTokens: 200000}, "e1": {Running: 2, PrefillTokens: 150000}})
	c := a.Choose(second, ask(1))
	g.Expect(c.Refused).To(Equal(TargetsBusy))
	g.Expect(c.Wait).To(BeNumerically(">", time.Second), "and says how long the sooner one takes")
}

func TestTargetsThatLeaveGetNoWork(t *testing.T) {
	g := NewWithT(t)
	a := New()
	a.SetTargets([]Target{{ID: "e0", Pool: "p", Slots: 4, Leaving: true}, {ID: "e1", Pool: "p", Slots: 4}})
	for s := uint64(0); s < 20; s++ {
		g.Expect(a.Choose(second, ask(s)).Target).To(BeEquivalentTo("e1"))
	}
	a.SetTargets([]Target{{ID: "e0", Pool: "p", Slots: 4, Leaving: true}})
	g.Expect(a.Choose(second, ask(1)).Refused).To(Equal(NoTarget))
}

func TestTargetThatStartedAnewHoldsNothing(t *testing.T) {
	g := NewWithT(t)
	a := New()
	a.SetTargets([]Target{{ID: "e0", Pool: "p", Slots: 4, Incarnation: 1}})
	a.EndAttempt(second, a.StartAttempt(second, ask(1), a.Choose(second, ask(1))), Answered)
	g.Expect(a.targets["e0"].prefixes).NotTo(BeEmpty())
	a.SetTargets([]Target{{ID: "e0", Pool: "p", Slots: 4, Incarnation: 1}})
	g.Expect(a.targets["e0"].prefixes).NotTo(BeEmpty())
	a.SetTargets([]Target{{ID: "e0", Pool: "p", Slots: 4, Incarnation: 2}})
	g.Expect(a.targets["e0"].prefixes).To(BeEmpty())
}

func TestBrokenConnectionsShunATarget(t *testing.T) {
	g := NewWithT(t)
	a := engines(2)
	home := a.Choose(second, ask(1)).Target
	a.EndAttempt(second, a.StartAttempt(second, ask(1), a.Choose(second, ask(1))), ConnectionFailed)
	g.Expect(a.Choose(second, ask(1)).Target).NotTo(Equal(home))
	g.Expect(a.Choose(a.targets[home].admissionDecision(second).Until, ask(1)).Target).To(Equal(home))
}

// A target that fails part of its requests with a good health is found from its
// answers, and tried again now and then.
func TestFailingTargetIsTriedNowAndThen(t *testing.T) {
	g := NewWithT(t)
	a := engines(3)
	bad := a.targets["e0"]
	now := second
	for i := 0; i < 20; i++ {
		bad.recordAnswer(true)
	}
	bad.lastAttempt = now
	for s := uint64(0); s < 20; s++ {
		g.Expect(a.Choose(now, ask(s)).Target).NotTo(BeEquivalentTo("e0"))
	}
	now = now.Add(probeInterval + time.Millisecond)
	var tried bool
	for s := uint64(0); s < 20; s++ {
		tried = tried || a.Choose(now, ask(s)).Target == "e0"
	}
	g.Expect(tried).To(BeTrue())
	for i := 0; i < 40; i++ {
		bad.recordAnswer(false)
	}
	g.Expect(bad.failureRate).To(BeNumerically("<", failureMargin))
}

func TestPaceIsLearnt(t *testing.T) {
	g := NewWithT(t)
	p := latencyEstimate{base: initialBase, perToken: initialPerToken}
	for i := 0; i < 400; i++ {
		p.observe(100, 80*time.Millisecond+p.prefillTime(100))
		p.observe(10000, 80*time.Millisecond+200*time.Millisecond)
	}
	g.Expect(p.base).To(BeNumerically("~", 80*time.Millisecond, 8*time.Millisecond))
	g.Expect(p.prefillTime(10000)).To(BeNumerically("~", 200*time.Millisecond, 20*time.Millisecond))
}

func TestSilentPeersAreForgotten(t *testing.T) {
	g := NewWithT(t)
	a := engines(2)
	a.SetPeerLoads(second, map[identifier.Target]Load{"e0": {Running: 3}})
	g.Expect(a.targets["e0"].totalLoad().Running).To(Equal(3))
	a.Tick(second.Add(2 * peerLoadTTL))
	g.Expect(a.targets["e0"].totalLoad().Running).To(BeZero())
}

// Whatever happens, what is under way is never negative and ends at nothing.
func TestLoadsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := engines(rapid.IntRange(1, 5).Draw(t, "engines"))
		now := second
		var open []*Attempt
		for i := 0; i < 60; i++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "step")) * time.Millisecond)
			q := ask(uint64(rapid.IntRange(0, 5).Draw(t, "part")))
			if c := a.Choose(now, q); c.Refused == "" && rapid.Bool().Draw(t, "send") {
				open = append(open, a.StartAttempt(now, q, c))
			}
			if len(open) == 0 {
				continue
			}
			n := rapid.IntRange(0, len(open)-1).Draw(t, "which")
			if rapid.Bool().Draw(t, "began") {
				a.RecordAnswerStart(now, open[n])
				continue
			}
			a.EndAttempt(now, open[n], Result(rapid.IntRange(0, 3).Draw(t, "result")))
			open = append(open[:n], open[n+1:]...)
			for id, l := range a.OwnLoads() {
				if l.Running < 0 || l.PrefillTokens < 0 || l.MemoryTokens < 0 {
					t.Fatalf("load of %s is %+v", id, l)
				}
			}
		}
		for _, s := range open {
			a.EndAttempt(now, s, Answered)
		}
		if own := a.OwnLoads(); len(own) > 0 {
			t.Fatalf("all have ended and %+v is left", own)
		}
	})
}

func TestPlainServicesShareTheirWork(t *testing.T) {
	g := NewWithT(t)
	a := engines(3)
	count := map[identifier.Target]int{}
	for i := uint64(0); i < 12; i++ {
		q := Request{Pool: "p", Seed: i}
		c := a.Choose(second, q)
		a.StartAttempt(second, q, c)
		count[c.Target]++
	}
	for id := range a.targets {
		g.Expect(count[id]).To(Equal(4))
	}
}

// A request that ends after its target has started anew takes nothing away from what is
// under way there: a router with less than nothing under way is not heard by its peers.
func TestRequestThatOutlivesItsTargetsBootTakesNothingAway(t *testing.T) {
	g := NewWithT(t)
	a := New()
	list := func(start int64) { a.SetTargets([]Target{{ID: "e0", Pool: "p", Slots: 4, Incarnation: start}}) }
	list(1)
	sent := a.StartAttempt(second, ask(1), a.Choose(second, ask(1)))
	list(2)
	a.RecordAnswerStart(second, sent)
	a.EndAttempt(second, sent, Answered)
	g.Expect(a.OwnLoads()).To(BeEmpty())
}
