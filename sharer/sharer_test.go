package sharer

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"buckthorndrum/identifier"
)

func TestMaxMinLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(1, 1000), 1, 20).Draw(t, "asked")
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		total := 0.0
		for _, demand := range demands {
			total += demand
		}
		level := MaxMinLevel(append([]float64(nil), demands...), capacity)
		if math.IsInf(level, 1) {
			if total > capacity*1.0001 {
				t.Fatalf("level is infinite, but demands of %.1f exceed capacity %.1f", total, capacity)
			}
			return
		}
		allocated := 0.0
		for _, demand := range demands {
			allocated += min(demand, level)
		}
		if math.Abs(allocated-capacity) > capacity/1e6 {
			t.Fatalf("level %.2f allocates %.2f of capacity %.2f", level, allocated, capacity)
		}
	})
}

const second = identifier.Instant(time.Second)

// allCompleted returns rates at which all dispatched requests complete.
func allCompleted(requested, dispatched int) Rates {
	return Rates{Requested: requested, Dispatched: dispatched, Completed: dispatched}
}

// playRates records constant rates, in tokens per second.
func playRates(s *Sharer, from, to identifier.Instant, rates map[identifier.Workspace]Rates) {
	const steps = 20
	for at := from; at < to; at += second / steps {
		for w, r := range rates {
			s.RecordRequest(at, w, r.Requested/steps)
			s.RecordDispatch(at, w, r.Dispatched/steps)
			s.RecordCompletion(at, w, r.Completed/steps)
			s.RecordShed(at, w, r.Shed/steps)
		}
	}
}

func TestShareRatioFallsBeyondFairShare(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.SetCapacity(1000)
	playRates(s, second, 4*second, map[identifier.Workspace]Rates{
		"small": {Requested: 100, Dispatched: 100},
		"large": {Requested: 2000, Dispatched: 900},
		"other": {Requested: 2000, Dispatched: 300},
	})
	now := 4 * second
	s.recompute(now)
	g.Expect(s.fairShare).To(BeNumerically("~", 450, 30))
	g.Expect(s.ShareRatio(now, "small")).To(Equal(1.0))
	g.Expect(s.ShareRatio(now, "other")).To(Equal(1.0))
	g.Expect(s.ShareRatio(now, "large")).To(BeNumerically("~", 0.5, 0.05))
}

// settleSeconds is the most time that shares take to settle, in seconds.
const settleSeconds = 30

// playUntilSettled records constant requested rates until the shares settle, and then for
// count seconds. Each workspace is dispatched at its rate Dispatched, or, if that is
// zero, a part room of what is admitted. It returns what each is dispatched after
// settling, in tokens per second.
func playUntilSettled(s *Sharer, rates map[identifier.Workspace]Rates, room float64) map[identifier.Workspace]float64 {
	const (
		steps = 20
		count = 5
	)
	dispatched := map[identifier.Workspace]float64{}
	for at := second; at < (settleSeconds+count)*second; at += second / steps {
		for w, r := range rates {
			n := r.Dispatched
			if r.Dispatched == 0 {
				n = int(s.AdmissionRatio(at, w) * room * float64(r.Requested))
			}
			s.RecordRequest(at, w, r.Requested/steps)
			s.RecordDispatch(at, w, n/steps)
			s.RecordCompletion(at, w, min(n, r.Completed)/steps)
			s.RecordShed(at, w, r.Shed/steps)
			if at >= settleSeconds*second {
				dispatched[w] += float64(n) / steps / count
			}
		}
	}
	return dispatched
}

// A workspace may be underserved although there is capacity, as its router is short of
// processor time. The fairness check failed on this.
func TestOthersStayNearUnderservedWorkspace(t *testing.T) {
	for _, capacity := range []float64{1e5, 25e5} {
		for _, room := range []float64{1, 0.3} {
			t.Run(fmt.Sprintf("capacity %.0f, room %.1f", capacity, room), func(t *testing.T) {
				g := NewWithT(t)
				s := New()
				s.SetCapacity(capacity)
				got := playUntilSettled(s, map[identifier.Workspace]Rates{
					"held": allCompleted(4_800_000, 300_000), "a": {Requested: 4_500_000}, "b": {Requested: 2_000_000}, "modest": allCompleted(400_000, 380_000),
				}, room)
				for _, w := range []identifier.Workspace{"a", "b"} {
					g.Expect(got[w]).To(BeNumerically("<", 2*got["held"]), string(w))
					g.Expect(got[w]).To(BeNumerically(">", got["held"]), string(w))
				}
				g.Expect(s.AdmissionRatio((settleSeconds+5)*second, "held")).To(Equal(1.0), "no workspace gets less")
				g.Expect(s.AdmissionRatio((settleSeconds+5)*second, "modest")).To(Equal(1.0), "it gets little more")
			})
		}
	}
}

// A workspace that gets less than half of what it requests counts as underserved also if
// others get a little more than it requests. The fairness check failed on this.
func TestSlightlySmallerDemandThrottlesOthers(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.SetCapacity(1e6)
	got := playUntilSettled(s, map[identifier.Workspace]Rates{"held": allCompleted(1_500_000, 600_000), "a": {Requested: 1_700_000}, "little": allCompleted(70_000, 20_000)}, 1)
	g.Expect(got["a"]).To(BeNumerically("<", 2*got["held"]))
	g.Expect(got["a"]).To(BeNumerically(">", got["held"]), "a workspace with a much lower demand throttles nobody")
}

// A workspace that is throttled because of one with a lower demand still counts as
// underserved itself: others that request as much must not get much more. In a large
// fleet one got three times as much for two seconds.
func TestThrottledWorkspaceThrottlesThoseWithMore(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.SetCapacity(4e6)
	got := playUntilSettled(s, map[identifier.Workspace]Rates{
		"tail": allCompleted(800_000, 320_000), "mid": {Requested: 20_000_000, Dispatched: 1_000_000, Completed: 1_000_000, Shed: 18_000_000}, "big": {Requested: 8_000_000},
	}, 1)
	g.Expect(got["big"]).To(BeNumerically("<", 2*got["mid"]))
	g.Expect(got["big"]).To(BeNumerically(">", got["tail"]))
}

// Once a configuration sets no capacity limit any more, nobody is throttled.
func TestNoThrottlingWithoutCapacityLimit(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.SetCapacity(25e5)
	playUntilSettled(s, map[identifier.Workspace]Rates{"held": allCompleted(4_800_000, 300_000), "a": {Requested: 4_500_000}}, 1)
	end := (settleSeconds + 5) * second
	g.Expect(s.AdmissionRatio(end, "a")).To(BeNumerically("<", 1))
	s.SetCapacity(0)
	g.Expect(s.AdmissionRatio(end+second, "a")).To(Equal(1.0))
}

// Workspaces that are served alike throttle nobody, however much their demand exceeds it.
// Otherwise throttled ones would count as underserved, and throttle others.
func TestEqualServiceThrottlesNobody(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.SetCapacity(1e6)
	rates := map[identifier.Workspace]Rates{}
	for n := 0; n < 20; n++ {
		rates[identifier.Workspace(rune('a'+n))] = Rates{Requested: 6_000_000 + n*100_000}
	}
	for w, got := range playUntilSettled(s, rates, 0.04) {
		g.Expect(got).To(BeNumerically("~", 0.04*float64(rates[w].Requested), 20_000))
	}
}

// Requests that an overloaded router sends and no target starts do not count as service.
// In a large fleet the fairness check failed on this. Without overload, dispatched
// requests count.
func TestOverloadedRouterCountsOnlyCompletedRequests(t *testing.T) {
	g := NewWithT(t)
	for shed, limit := range map[int]float64{0: 2 * 900_000, 3_000_000: 2 * 300_000} {
		s := New()
		s.SetCapacity(25e5)
		got := playUntilSettled(s, map[identifier.Workspace]Rates{
			"held": {Requested: 4_800_000, Dispatched: 900_000, Completed: 300_000, Shed: shed}, "a": {Requested: 4_000_000},
		}, 1)
		g.Expect(got["a"]).To(BeNumerically("<", limit))
		g.Expect(got["a"]).To(BeNumerically(">", limit/2))
	}
}

// A router sees only a part of each workspace's requests, so that the peers' rates count.
func TestPeerRatesCountUntilTheyExpire(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.SetCapacity(1000)
	playRates(s, second, 4*second, map[identifier.Workspace]Rates{"a": {Requested: 300, Dispatched: 300}, "b": {Requested: 500, Dispatched: 100}})
	now := 4 * second
	g.Expect(s.ShareRatio(now, "a")).To(Equal(1.0))
	s.SetPeerRates(now, map[identifier.Workspace]Rates{"a": {Requested: 1500, Dispatched: 1500}})
	now += second / 5
	g.Expect(s.ShareRatio(now, "a")).To(BeNumerically("<", 0.4))
	now += 3 * second
	g.Expect(s.ShareRatio(now, "a")).To(Equal(1.0))
	g.Expect(s.peerRates).To(BeEmpty())
}

func TestShareRatioIsOneWithoutLimit(t *testing.T) {
	g := NewWithT(t)
	s := New()
	playRates(s, second, 2*second, map[identifier.Workspace]Rates{"a": {Requested: 1 << 20, Dispatched: 1 << 20}})
	g.Expect(s.ShareRatio(2*second, "a")).To(Equal(1.0))
}

func TestIdleWorkspacesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.RecordRequest(second, "a", 100)
	g.Expect(s.LocalRates(second)).To(HaveLen(1))
	g.Expect(s.LocalRates(10 * second)).To(BeEmpty())
	g.Expect(s.local).To(BeEmpty())
}
