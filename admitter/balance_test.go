package admitter

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"buckthorndrum/identifier"
)

// Guards against herding: routers with reports of the same age choose the same few targets
// at the same time, which are overloaded while others are idle. Callers then get late
// answers and refusals, and shared prefixes are read again elsewhere.
func TestLoadIsEvenWithStaleReports(t *testing.T) {
	for _, c := range []struct {
		replay string
		// The bounds are within a tenth of the figures in docs/design/balancing.md, or those
		// of the former choice if that is less.
		onTime, busiestRequests, again float64
	}{
		{"24x44, half load", 0.95, 1.55, 0.064},
		{"24x44, full load", 0.47, 1.6, 0.16},
		{"24x44, equal engines", 0.75, 1.35, 0.13},
		{"24x44, overload, shares", 0.4, 1.6, 0.09},
		{"46x53, 600 ms", 0.57, 1.55, 0.1},
		{"46x53, 50 ms", 0.74, 1.55, 0.12},
	} {
		t.Run(c.replay, func(t *testing.T) {
			g := NewWithT(t)
			result := runReplay(replayNamed(c.replay), builtChoice{})
			t.Log(result)
			g.Expect(result.goodShare()).To(BeNumerically(">", c.onTime), "share of requests with a first token in time")
			g.Expect(result.busiestRequests).To(BeNumerically("<", c.busiestRequests), "requests of the busiest engine")
			g.Expect(result.againShare()).To(BeNumerically("<", c.again), "share of the shared tokens that are read again")
		})
	}
}

// Guards against oscillation: all routers send to the targets that look idle until the next
// reports, and then all to others. Under the condition of docs/design/balancing.md the queues
// depend neither on the age of the reports nor on the number of routers. With the former
// choice the longest one is 0.8 s with 3 routers and 5 to 10 s with 24 to 300.
func TestLoadDoesNotOscillate(t *testing.T) {
	const longest = 900 * time.Millisecond
	// 300 routers do not report each 50 ms, and take longest to replay.
	const mostWithFastReports = 24
	for _, routers := range []int{3, 24, 300} {
		for _, age := range []time.Duration{fastReports, usualAge, slowReports} {
			if routers > mostWithFastReports && age == fastReports {
				continue
			}
			t.Run(fmt.Sprintf("%d routers, %v", routers, age), func(t *testing.T) {
				g := NewWithT(t)
				cfg := replayConfig{routers: routers, engines: 44, reportAge: age, load: 0.7, seed: 9}
				result := runReplay(cfg, builtChoice{})
				t.Log(result)
				g.Expect(result.longestQueue).To(BeNumerically("<", longest))
				g.Expect(result.lateShare()).To(BeNumerically("<", 0.08))
				g.Expect(result.goodShare()).To(BeNumerically(">", 0.62))
			})
		}
	}
	former := runReplay(replayConfig{routers: 24, engines: 44, reportAge: usualAge, load: 0.7, seed: 9}, &alternative{former: true})
	NewWithT(t).Expect(former.longestQueue).To(BeNumerically(">", 3*longest), "the replay shows oscillation")
}

// Guards against more recomputation, or later answers, without load: there is nothing to
// balance then.
func TestUnloadedChoiceKeepsToCachedPrefixes(t *testing.T) {
	g := NewWithT(t)
	former := runReplay(replayNamed("24x44, no load"), &alternative{former: true})
	built := runReplay(replayNamed("24x44, no load"), builtChoice{})
	g.Expect(built.goodShare()).To(BeNumerically(">=", former.goodShare()))
	g.Expect(built.refusedShare()).To(BeZero())
	g.Expect(built.againShare()).To(BeNumerically("<", 1.1*former.againShare()))
}

// Guards against a router without reports that overloads engines, or refuses what they have
// room for, and against others that suffer from it.
func TestRouterCutOffFromReports(t *testing.T) {
	g := NewWithT(t)
	cfg := replayNamed("24x44, full load")
	whole := runReplay(cfg, builtChoice{})
	cfg.cutOff = true
	cut := runReplay(cfg, builtChoice{})
	g.Expect(cut.goodShare()).To(BeNumerically(">", whole.goodShare()-0.05))
	g.Expect(cut.lateShare()).To(BeNumerically("<", whole.lateShare()+0.05))
}

// Guards against requests to targets that leave, pause or failed, as random targets and those
// of popular prefixes are not taken from the list of candidates, and against overload of the
// others.
func TestWithheldTargetsGetNoRequests(t *testing.T) {
	g := NewWithT(t)
	cfg := replayNamed("24x44, half load")
	var given []int
	count := func(r *replay) []int {
		n := make([]int, 9)
		for i := range n {
			n[i] = r.engines[r.targets[i].ID].requests
		}
		return n
	}
	calls := 0
	cfg.trouble = func(r *replay, now identifier.Instant) {
		const beforeTrouble = int((replayWarmUp + 2*time.Second) / (250 * time.Millisecond))
		calls++
		switch {
		case calls == beforeTrouble:
			for i := range r.targets[:3] {
				r.targets[i].Leaving = true
			}
			for _, a := range r.routers {
				a.SetTargets(now, r.targets)
				for i := 3; i < 6; i++ {
					a.targets[r.targets[i].ID].admission.RecordPause(now, time.Minute, 0)
				}
			}
			given = count(r)
		case calls > beforeTrouble:
			for i := 6; i < 9; i++ {
				for _, a := range r.routers {
					a.targets[r.targets[i].ID].admission.RecordConnectionFailure(now)
				}
			}
			g.Expect(count(r)[:6]).To(Equal(given[:6]), "targets that leave or pause")
		}
	}
	result := runReplay(cfg, builtChoice{})
	t.Log(result)
	g.Expect(given).NotTo(BeEmpty())
	g.Expect(result.goodShare()).To(BeNumerically(">", 0.75), "with 9 of 44 engines out of use")
}

// Guards against a slow idle target that is as good as a fast idle one.
func TestFasterIdleTargetIsPreferred(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(3)
	a.EvenOutLoad()
	a.targets["e1"].latency.perToken /= 2
	for seed := uint64(0); seed < 20; seed++ {
		req := Request{Pool: "p", Model: "m", PromptTokens: 3000, Segments: []PromptSegment{{seed, 3000}}, MaxWait: time.Second, Seed: seed}
		g.Expect(a.Choose(second, req).Target).To(BeEquivalentTo("e1"))
	}
}

// Guards against traffic between data centres that saves nothing, and against recomputation
// to avoid it.
func TestLocalDataCentreIsPreferredAtEqualCost(t *testing.T) {
	g := NewWithT(t)
	a := New()
	a.EvenOutLoad()
	a.SetTargets(second, []Target{{ID: "local", Pool: "p", Slots: 8, DataCentre: "z0"}, {ID: "e1", Pool: "p", Slots: 8, DataCentre: "z1"}, {ID: "e2", Pool: "p", Slots: 8, DataCentre: "z2"}})
	cached := 0
	for seed := uint64(0); seed < 40; seed++ {
		req := Request{Pool: "p", Model: "m", PromptTokens: 500, Segments: []PromptSegment{{seed, 500}}, MaxWait: time.Second, Seed: seed, LocalDataCentre: "z0"}
		g.Expect(a.Choose(second, req).Target).To(BeEquivalentTo("local"))
		shared := testRequest(seed)
		shared.LocalDataCentre = "z0"
		if a.Choose(second, shared).Target != "local" {
			cached++
		}
	}
	g.Expect(cached).To(BeNumerically(">", 10), "the preferred targets of shared prefixes stay")
}

// Guards against a choice that considers more targets the more popular a prefix is.
func TestPopularPrefixIsSpread(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(100)
	a.EvenOutLoad()
	a.SetProcesses(50)
	now := second
	used := map[identifier.Target]bool{}
	for i := uint64(0); i < 2000; i++ {
		now = now.Add(2 * time.Millisecond)
		req := testRequest(1)
		req.Seed = i
		c := a.Choose(now, req)
		g.Expect(len(a.candidates)).To(BeNumerically("<=", maxRingCandidates+1))
		used[c.Target] = true
		attempt := a.StartAttempt(now, req, c)
		a.RecordAnswerStart(now, attempt)
		a.EndAttempt(now, attempt, Answered)
	}
	g.Expect(len(used)).To(BeNumerically("~", maxCopies, 4))
	g.Expect(a.copies(now, a.pools["p"], testRequest(2), prefixKeys("m", testRequest(2).Segments))).To(BeZero(), "another prefix stays at its targets")
	later := now.Add(20 * popularityWindow)
	g.Expect(a.copies(later, a.pools["p"], testRequest(1), prefixKeys("m", testRequest(1).Segments))).To(BeZero(), "it is popular no more")
}

// Guards against sums that do not return to zero, which would make targets look busy for
// ever, and against memory that grows with the rate of requests.
func TestUnreportedLoadIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := &unreportedLoad{}
		targets := newTargetStates(0, 3)
		now := second
		for i := 0; i < 200; i++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "step")) * time.Millisecond)
			u.record(now, targets[rapid.IntRange(0, 2).Draw(t, "target")], rapid.IntRange(0, 9000).Draw(t, "tokens"))
			if rapid.Bool().Draw(t, "report") {
				u.dropBefore(now.Add(-time.Duration(rapid.IntRange(0, 600).Draw(t, "age")) * time.Millisecond))
			}
			sum := 0
			for _, s := range targets {
				sum += s.sentTokens
			}
			if sum != u.tokens {
				t.Fatalf("%d tokens by target, %d in all", sum, u.tokens)
			}
		}
		u.dropBefore(now.Add(1))
		if u.tokens != 0 || u.at(targets[0]) != 0 {
			t.Fatalf("%d tokens remain", u.tokens)
		}
	})
	u := &unreportedLoad{}
	s := newTargetStates(0, 1)[0]
	for i := 0; i < 10*maxSendings; i++ {
		u.record(second, s, 1)
	}
	g := NewWithT(t)
	g.Expect(u.tokens).To(Equal(maxSendings))
	g.Expect(len(u.sendings)).To(BeNumerically("<=", 3*maxSendings))
}

// Guards against an estimate from the number of routers alone, which would make a router
// that receives all requests of a fleet refuse them.
func TestEstimateFollowsShareOfRouter(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(10)
	a.EvenOutLoad()
	a.SetProcesses(50)
	for i := uint64(0); i < 40; i++ {
		req := testRequest(i)
		a.StartAttempt(second, req, a.Choose(second, req))
	}
	for i := 0; i < 20; i++ {
		a.SetPeerLoads(second, map[identifier.Target]Load{"e0": {Running: 4}})
		a.Choose(second, testRequest(1))
	}
	g.Expect(a.pools["p"].unreported.ratio).To(BeNumerically("~", 0.1, 0.01))
}
