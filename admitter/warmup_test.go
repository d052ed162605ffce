package admitter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// testColdRates and testPolicy are those of a typical deployment, for one router alone.
var (
	testColdRates = map[identifier.Pool]permitter.ColdRate{"p": {Duration: 30 * time.Second, PerSecond: 11}}
	testPolicy    = WarmUpPolicy{Routers: 1, Bound: permitter.ColdBound{Overage: 1.5, Slack: 5}}
)

// newColdRouter returns a router whose targets can be cold.
func newColdRouter(seed uint64, routers int, targets []Target) *Admitter {
	a := New()
	a.SetSeed(seed)
	policy := testPolicy
	policy.Routers = routers
	a.SetWarmUpPolicy(second, policy)
	a.SetColdRates(second, testColdRates)
	a.SetTargets(second, targets)
	return a
}

// coldTargets returns n targets, the first of which is cold for the time left.
func coldTargets(n int, left time.Duration) []Target {
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = Target{ID: identifier.Target(fmt.Sprintf("e%d", i)), Pool: "p", Slots: 64, Incarnation: 1, Address: "a"}
	}
	targets[0].ColdLeft = left
	return targets
}

// isCold reports whether the first target is cold.
func (a *Admitter) isCold(now identifier.Instant) bool { return a.targets["e0"].warmUp.Cold(now) }

// play sends requests to random routers for 20 s and returns when those to the first target
// began. perSecond is the rate of all.
func play(routers []*Admitter, rng *rand.Rand, perSecond int, model string) (begun []identifier.Instant) {
	step := time.Second / time.Duration(perSecond)
	for now := second; now < 21*second; now = now.Add(step) {
		a := routers[rng.IntN(len(routers))]
		req := testRequest(rng.Uint64N(200))
		req.Model, req.Seed = model, rng.Uint64()
		c := a.Choose(now, req)
		if c.Refused != "" {
			continue
		}
		attempt := a.StartAttempt(now, req, c)
		if a.RecheckAdmission(now, attempt).Open() && c.Target == "e0" {
			begun = append(begun, now)
		}
		a.EndAttempt(now, attempt, Answered)
	}
	return begun
}

// mostInSecond returns the most of the instants, which are in order, in some second.
func mostInSecond(times []identifier.Instant) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against choices that send a cold target more than it stands, or leave it cold: the
// fleet's requests must use a fair part of the permits. Among 300 routers a permit is seldom
// met by a request for which its target is preferred, so that less is asked of those.
func TestFleetWarmsColdTarget(t *testing.T) {
	for _, c := range []struct {
		routers, targets, perSecond int
		model                       string
		used                        float64
	}{
		{3, 3, 200, "m", 0.8}, {3, 3, 200, "", 0.8}, {46, 53, 2000, "m", 0.5}, {46, 53, 500, "", 0.8}, {300, 53, 6000, "m", 0.3}, {300, 53, 3000, "", 0.8},
	} {
		t.Run(fmt.Sprintf("%d routers, model %q", c.routers, c.model), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			for seed := range uint64(3) {
				routers := make([]*Admitter, c.routers)
				for i := range routers {
					routers[i] = newColdRouter(1000*seed+uint64(i), c.routers, coldTargets(c.targets, time.Minute))
				}
				begun := play(routers, rand.New(rand.NewPCG(seed, 3)), c.perSecond, c.model)
				g.Expect(mostInSecond(begun)).To(BeNumerically("<=", 21), "seed %d", seed)
				permits := 20 * testPolicy.Bound.PermitRate(11)
				g.Expect(float64(len(begun))).To(BeNumerically(">", c.used*permits), "seed %d", seed)
			}
		})
	}
}

// Guards against a permit that is used up by asking: a stream that may have stalled asks
// whether another target has capacity without starting an attempt.
func TestChoosingTakesNoPermit(t *testing.T) {
	g := NewWithT(t)
	a := newColdRouter(1, 1, coldTargets(1, time.Minute))
	now := a.Choose(second, testRequest(1)).nextTry(second)
	for range 10 {
		g.Expect(a.Choose(now, testRequest(1)).Refused).To(BeEmpty())
	}
	attempt := a.StartAttempt(now, testRequest(1), a.Choose(now, testRequest(1)))
	g.Expect(a.RecheckAdmission(now, attempt).Open()).To(BeTrue(), "the permit is its own")
	c := a.Choose(now, testRequest(2))
	g.Expect(c.Refused).To(Equal(TargetsWarmingUp))
	g.Expect(a.RecheckAdmission(c.nextTry(now), attempt).Reason).To(Equal(permitter.WarmingUp), "its permit has expired")
	g.Expect(a.CountUnavailable(now)).To(Equal(map[permitter.Reason]int{permitter.WarmingUp: 1}))
}

// nextTry returns when the refused request may be tried again, or now if it was not refused.
func (c Choice) nextTry(now identifier.Instant) identifier.Instant {
	if c.Refused == "" {
		return now
	}
	return now.Add(c.Wait)
}

// Guards against refusals without a cause, and against isolated and plain requests that pass
// over the permits.
func TestAllTargetsWarmUp(t *testing.T) {
	for name, req := range evacuationRequests() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			targets := coldTargets(3, time.Minute)
			targets[1].ColdLeft, targets[2].ColdLeft = time.Minute, time.Minute
			a := newColdRouter(1, 300, targets)
			c := a.Choose(second, req)
			g.Expect(c.Refused).To(Equal(TargetsWarmingUp))
			g.Expect(c.Wait).To(BeNumerically(">", 0))
			sent := 0
			for now := second; now < 31*second; now = now.Add(10 * time.Millisecond) {
				if c := a.Choose(now, req); c.Refused == "" {
					a.EndAttempt(now, a.StartAttempt(now, req, c), Answered)
					sent++
				}
			}
			g.Expect(sent).To(BeNumerically("<=", 3), "one permit a minute for each target")
		})
	}
}

// Guards against a period that starts anew with an entry that is read again, and against one
// that a changed entry does not extend or shortens.
func TestEntryBeginsColdPeriod(t *testing.T) {
	g := NewWithT(t)
	targets := coldTargets(2, 10*time.Second)
	a := newColdRouter(1, 1, targets)
	a.SetTargets(5*second, targets)
	g.Expect(a.isCold(11*second - 1)).To(BeTrue())
	g.Expect(a.isCold(11 * second)).To(BeFalse())
	targets[0].ColdLeft = 8 * time.Second
	a.SetTargets(6*second, targets)
	g.Expect(a.isCold(14*second - 1)).To(BeTrue())
	targets[0].ColdLeft = 0
	a.SetTargets(7*second, targets)
	g.Expect(a.isCold(14*second - 1)).To(BeTrue())
	g.Expect(a.isCold(14 * second)).To(BeFalse())
	targets[0].ColdLeft = time.Hour
	a.SetTargets(20*second, targets)
	g.Expect(a.isCold(50*second - 1)).To(BeTrue())
	g.Expect(a.isCold(50*second)).To(BeFalse(), "an implausible time is capped at the usual one")
	targets[0].Incarnation, targets[0].ColdLeft = 2, 0
	a.SetTargets(40*second, targets)
	g.Expect(a.isCold(50*second-1)).To(BeTrue(), "another incarnation is no less cold")
	a.SetColdRates(41*second, nil)
	g.Expect(a.isCold(41*second)).To(BeFalse(), "targets of other pools are never cold")
}

// Guards against notices by answers that are lost, shorten a period or apply to another
// incarnation.
func TestAnswerBeginsColdPeriod(t *testing.T) {
	g := NewWithT(t)
	targets := coldTargets(1, 0)
	a := newColdRouter(1, 1, targets)
	attempt := a.StartAttempt(second, testRequest(1), a.Choose(second, testRequest(1)))
	a.RecordResponse(second, attempt, 0)
	g.Expect(a.isCold(second)).To(BeFalse())
	a.RecordResponse(second, attempt, 7*time.Second)
	a.RecordResponse(second, attempt, time.Second)
	g.Expect(a.isCold(8*second - 1)).To(BeTrue())
	g.Expect(a.isCold(8 * second)).To(BeFalse())
	targets[0].Incarnation = 2
	a.SetTargets(20*second, targets)
	a.RecordResponse(20*second, attempt, time.Minute)
	g.Expect(a.isCold(20 * second)).To(BeFalse())
	a.RecordResponse(20*second, &Attempt{}, time.Minute)
}

// Guards against a full load on targets that became cold while nobody sent to them.
func TestEndOfEvacuationBeginsColdPeriod(t *testing.T) {
	g := NewWithT(t)
	targets := coldTargets(2, 0)
	targets[0].DataCentre, targets[1].DataCentre = "a", "b"
	a := newColdRouter(1, 1, targets)
	a.SetEvacuated(second, zones("a"))
	a.SetEvacuated(5*second, zones("a", "b"))
	g.Expect(a.isCold(5 * second)).To(BeFalse())
	a.SetEvacuated(10*second, zones("b"))
	g.Expect(a.isCold(40*second - 1)).To(BeTrue())
	g.Expect(a.isCold(40 * second)).To(BeFalse())
	g.Expect(a.targets["e1"].warmUp.Cold(10 * second)).To(BeFalse())
}

// Guards against a target that crashes again at its start, and against one that stays cold
// although its entry shows that it runs.
func TestRefusalBeginsColdPeriod(t *testing.T) {
	g := NewWithT(t)
	targets := coldTargets(1, 0)
	a := newColdRouter(1, 1, targets)
	before := a.StartAttempt(second, testRequest(1), a.Choose(second, testRequest(1)))
	a.RecordRefused(2*second, Target{ID: "e0", Address: "a", Incarnation: 9})
	g.Expect(a.isCold(2*second)).To(BeFalse(), "another incarnation refused")
	a.RecordRefused(2*second, targets[0])
	a.RecordResponse(3*second, before, 0)
	g.Expect(a.isCold(100*second)).To(BeTrue(), "the answer is of the process that has ended")
	now := a.Choose(100*second, testRequest(1)).nextTry(100 * second)
	after := a.StartAttempt(now, testRequest(1), a.Choose(now, testRequest(1)))
	a.RecordResponse(now, after, 0)
	g.Expect(a.isCold(now.Add(30*time.Second) - 1)).To(BeTrue())
	g.Expect(a.isCold(now.Add(30 * time.Second))).To(BeFalse())
	a.RecordRefused(200*second, targets[0])
	targets[0].Incarnation = 2
	a.SetTargets(210*second, targets)
	g.Expect(a.isCold(240*second-1)).To(BeTrue(), "the next incarnation runs, and has just started")
	g.Expect(a.isCold(240 * second)).To(BeFalse())
}

// Guards against log lines that are missing, repeated, or lack what the operator looks for.
func TestWarmUpChanges(t *testing.T) {
	g := NewWithT(t)
	targets := coldTargets(2, 10*time.Second)
	a := newColdRouter(1, 1, targets)
	g.Expect(a.WarmUpChanges(second)).To(Equal([]WarmUpChange{{Target: "e0", Cold: true, For: 10 * time.Second, Cause: permitter.ColdByEntry}}))
	targets[0].Incarnation = 2
	a.SetTargets(2*second, targets)
	g.Expect(a.WarmUpChanges(2 * second)).To(BeEmpty())
	g.Expect(a.WarmUpChanges(12 * second)).To(Equal([]WarmUpChange{{Target: "e0"}}))
	a.RecordRefused(13*second, targets[0])
	g.Expect(a.WarmUpChanges(13 * second)).To(Equal([]WarmUpChange{{Target: "e0", Cold: true, For: 30 * time.Second, Cause: permitter.ColdByRefusal}}))
}
