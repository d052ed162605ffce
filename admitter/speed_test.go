package admitter

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
)

// startWithEventTime starts an attempt at a target and records the time between its
// events often enough for the estimate to settle.
func startWithEventTime(a *Admitter, id identifier.Target, mean time.Duration) {
	attempt := a.StartAttempt(second, testRequest(1), Choice{Target: id})
	for range 200 {
		a.RecordEventTime(attempt, mean)
	}
	a.EndAttempt(second, attempt, Answered)
}

// An idle slow target must not be taken for as good as an idle fast one.
func TestFasterOfTwoIdleTargetsIsChosen(t *testing.T) {
	g := NewWithT(t)
	a := pacedEngines(3, 2)
	candidates := a.ringCandidates(second, a.pools["p"], testRequest(1), prefixKeys("m", testRequest(1).Segments))
	ids := make([]identifier.Target, 0, len(candidates))
	for _, c := range candidates {
		ids = append(ids, c.target.ID)
	}
	req := testRequest(1)
	req.Segments = nil
	for i, id := range ids {
		mean := 40 * time.Millisecond
		if i == 2 {
			mean = 15 * time.Millisecond
		}
		startWithEventTime(a, id, mean)
	}
	a.pools["p"].summarisedAt = 0
	g.Expect(a.Choose(second, req).Target).To(Equal(ids[2]))
}

// Without reported paces the choice stays as it was, whatever the times between events.
func TestSpeedsAreNotComparedWithoutPace(t *testing.T) {
	g := NewWithT(t)
	a, b := newEngines(3), newEngines(3)
	for i, s := range a.pools["p"].targets {
		startWithEventTime(a, s.ID, time.Duration(10+20*i)*time.Millisecond)
		startWithEventTime(b, s.ID, 10*time.Millisecond)
	}
	for prefix := uint64(0); prefix < 20; prefix++ {
		g.Expect(a.Choose(second, testRequest(prefix))).To(Equal(b.Choose(second, testRequest(prefix))))
	}
}
