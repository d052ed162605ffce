package admitter

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"buckthorndrum/identifier"
)

// firstTarget returns the first target of a ring after the hash of a key.
func firstTarget(r *ring, key uint64) identifier.Target {
	var id identifier.Target
	r.walk(mix(key), func(t *targetState) bool { id = t.ID; return false })
	return id
}

func newTargetStates(from, to int) []*targetState {
	var list []*targetState
	for i := from; i < to; i++ {
		list = append(list, &targetState{Target: Target{ID: identifier.Target(fmt.Sprintf("t%d", i))}})
	}
	return list
}

func newRing(list []*targetState) *ring {
	r := &ring{}
	r.setTargets(list, len(list))
	return r
}

// A ring that was changed step by step equals one that was built at once, so that routers
// with different histories agree.
func TestRingDoesNotDependOnHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &ring{}
		var list []*targetState
		for i := 0; i < 6; i++ {
			from := rapid.IntRange(0, 40).Draw(t, "from")
			list = newTargetStates(from, from+rapid.IntRange(0, 60).Draw(t, "n"))
			r.setTargets(list, len(list))
		}
		rebuilt := newRing(list)
		if len(r.points) != len(rebuilt.points) {
			t.Fatalf("%d points, %d if built at once", len(r.points), len(rebuilt.points))
		}
		for i, p := range r.points {
			if p.hash != rebuilt.points[i].hash || p.target != rebuilt.points[i].target {
				t.Fatalf("point %d differs", i)
			}
		}
	})
}

func TestRemovedTargetMovesOnlyItsOwnKeys(t *testing.T) {
	g := NewWithT(t)
	list := newTargetStates(0, 40)
	before, after := newRing(list), newRing(list[:39])
	for key := uint64(0); key < 5000; key++ {
		if previous := firstTarget(before, key); previous != "t39" {
			g.Expect(firstTarget(after, key)).To(Equal(previous))
		}
	}
}

// With the number of points that a small ring has, each target gets between half and
// twice its share of the keys.
func TestRingIsBalanced(t *testing.T) {
	g := NewWithT(t)
	const targets, keys = 12, 12000
	r := newRing(newTargetStates(0, targets))
	count := map[identifier.Target]int{}
	for key := uint64(0); key < keys; key++ {
		count[firstTarget(r, key)]++
	}
	for id, n := range count {
		g.Expect(n).To(BeNumerically("<", 2*keys/targets), string(id))
		g.Expect(n).To(BeNumerically(">", keys/targets/2), string(id))
	}
}

// The number of targets that a choice evaluates does not grow with the pool, even if all
// preferred targets are full.
func TestChoiceEvaluatesFewTargets(t *testing.T) {
	for _, n := range []int{12, 180, 3100} {
		t.Run(fmt.Sprintf("%d targets", n), func(t *testing.T) {
			g := NewWithT(t)
			a := newEngines(n)
			full := map[identifier.Target]Load{}
			for id := range a.targets {
				full[id] = Load{Running: 8, PrefillTokens: 50000}
			}
			a.SetPeerLoads(second, full)
			g.Expect(a.Choose(second, testRequest(1)).Refused).To(Equal(TargetsBusy))
			g.Expect(len(a.candidates)).To(BeNumerically("<=", maxRingCandidates+maxShortestQueues))
		})
	}
}

// If none of its preferred targets has room, a request is sent to the target with the
// shortest queue in the pool.
func TestShortestQueueIsFound(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(500)
	loads := map[identifier.Target]Load{}
	for id := range a.targets {
		loads[id] = Load{Running: 8, PrefillTokens: 50000}
	}
	loads["e321"] = Load{Running: 2, PrefillTokens: 100}
	a.SetPeerLoads(second, loads)
	g.Expect(a.Choose(second, testRequest(1)).Target).To(BeEquivalentTo("e321"))
}

// Failing targets are skipped. If all targets fail they are used nevertheless.
func TestFailingPreferredTargetIsSkipped(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(40)
	preferred := a.Choose(second, testRequest(1)).Target
	for i := 0; i < 20; i++ {
		a.targets[preferred].recordAnswer(true)
	}
	a.targets[preferred].lastAttempt = second
	a.pools["p"].summarisedAt = 0
	g.Expect(a.Choose(second, testRequest(1)).Target).NotTo(Equal(preferred))
	for _, s := range a.targets {
		s.failureRate, s.lastAttempt = 1, second
	}
	a.pools["p"].summarisedAt = 0
	g.Expect(a.Choose(second, testRequest(1)).Refused).To(BeEmpty())
}

var targetCounts = []int{12, 56, 180, 1000, 3100}

func BenchmarkChoose(b *testing.B) {
	for _, full := range []bool{false, true} {
		for _, n := range targetCounts {
			b.Run(fmt.Sprintf("full=%v/targets=%d", full, n), func(b *testing.B) {
				a := newEngines(n)
				loads := map[identifier.Target]Load{}
				for id := range a.targets {
					if full {
						loads[id] = Load{Running: 8, PrefillTokens: 50000}
					}
				}
				a.SetPeerLoads(second, loads)
				b.ReportAllocs()
				b.ResetTimer()
				for i := 0; i < b.N; i++ {
					now := second.Add(time.Duration(i) * time.Millisecond)
					req := testRequest(uint64(i % 200))
					if c := a.Choose(now, req); c.Refused == "" {
						a.EndAttempt(now, a.StartAttempt(now, req, c), Answered)
					}
				}
			})
		}
	}
}

func BenchmarkSetTargets(b *testing.B) {
	for _, n := range targetCounts {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			targets := make([]Target, n)
			for i := range targets {
				targets[i] = Target{ID: identifier.Target(fmt.Sprintf("e%d", i)), Pool: "p", Slots: 8}
			}
			a := New()
			a.SetTargets(second, targets)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				targets[i%n].Incarnation++
				targets[i%n].Leaving = !targets[i%n].Leaving
				a.SetTargets(second, targets)
			}
		})
	}
}

func BenchmarkSetPeerLoads(b *testing.B) {
	for _, n := range targetCounts {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			a := newEngines(n)
			loads := map[identifier.Target]Load{}
			for id := range a.targets {
				loads[id] = Load{Running: 3, PrefillTokens: 500}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				a.SetPeerLoads(second, loads)
			}
		})
	}
}
