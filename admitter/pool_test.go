package admitter

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// pauseAll makes all targets but one of a large pool pause, and returns that one.
func pauseAll(a *Admitter, pause time.Duration) identifier.Target {
	for id, t := range a.targets {
		if id != "e77" {
			t.admission.RecordPause(second, pause, 0)
		}
	}
	return "e77"
}

// Guards against a large pool that refuses requests although one target accepts work, since a
// request does not meet it among those that it prefers.
func TestOnlyOpenTargetOfLargePoolIsFound(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(3100)
	only := pauseAll(a, time.Minute)
	for prefix := range uint64(100) {
		g.Expect(a.Choose(second, testRequest(prefix)).Target).To(Equal(only))
	}
	req := testRequest(1)
	a.targets[only].Region = "east"
	req.AllowedRegions = permitter.RegionSet{"east": true}
	g.Expect(a.Choose(second, req).Target).To(Equal(only))
}

// Guards against a refusal of a large pool that is kept after a target accepts work again.
func TestRefusalOfLargePoolIsRenewed(t *testing.T) {
	g := NewWithT(t)
	a := newEngines(200)
	only := pauseAll(a, 10*time.Second)
	a.targets[only].admission.RecordPause(second, time.Second, 0)
	c := a.Choose(second, testRequest(1))
	g.Expect(c).To(Equal(Choice{Refused: TargetsPausing, Wait: time.Second}))
	c = a.Choose(second.Add(40*time.Millisecond), testRequest(1))
	g.Expect(c).To(Equal(Choice{Refused: TargetsPausing, Wait: 960 * time.Millisecond}))
	g.Expect(a.Choose(2*second, testRequest(1)).Target).To(Equal(only))
	for end := 2 * second; end < 3*second; end = end.Add(time.Millisecond) {
		// The end of a pause between two summaries is not missed.
		g.Expect(a.Choose(end, testRequest(uint64(end))).Target).To(Equal(only))
	}
}

// BenchmarkChooseFromColdPool measures a choice while all targets of a pool warm up, whose
// cost must not grow with their number.
func BenchmarkChooseFromColdPool(b *testing.B) {
	for _, n := range []int{53, 3100} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			targets := coldTargets(n, time.Hour)
			for i := range targets {
				targets[i].ColdLeft = time.Hour
			}
			a := newColdRouter(1, 300, targets)
			b.ReportAllocs()
			for i := range b.N {
				a.Choose(second.Add(time.Duration(i)*time.Microsecond), testRequest(uint64(i)))
			}
		})
	}
}
