package permitter

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"buckthorndrum/identifier"
)

const second = identifier.Instant(time.Second)

func TestReportedLeavingIsPermanent(t *testing.T) {
	g := NewWithT(t)
	var s AdmissionState
	g.Expect(s.RecordLeaving(second)).To(BeTrue())
	g.Expect(s.RecordLeaving(2 * second)).To(BeFalse())
	s.SetListedLeaving(false)
	s.RecordAnswer()
	g.Expect(s.Decide(1000*second, 0)).To(Equal(Decision{Reason: ReportedLeaving, Since: second}))
}

// A peer's notice does not withhold work.
func TestPeerNoticeDoesNotWithholdWork(t *testing.T) {
	g := NewWithT(t)
	var s AdmissionState
	g.Expect(s.RecordPeerNotice(second)).To(BeTrue())
	g.Expect(s.RecordPeerNotice(2 * second)).To(BeFalse())
	g.Expect(s.Decide(2*second, 0).Open()).To(BeTrue())
	g.Expect(s.PeerReportsLeaving(2 * second)).To(BeTrue())
	g.Expect(s.PeerReportsLeaving(2*second + identifier.Instant(PeerNoticeTTL))).To(BeFalse())
}

// Overlapping pauses end with the latest of their ends, and never before any of them.
func TestOverlappingPausesEndLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s AdmissionState
		now, end := second, identifier.Instant(0)
		for range rapid.IntRange(1, 10).Draw(t, "pauses") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * time.Millisecond)
			d := time.Duration(rapid.IntRange(-10, 5000).Draw(t, "for")) * time.Millisecond
			s.RecordPause(now, d, rapid.Float64Range(0, 1).Draw(t, "draw"))
			if d > 0 {
				end = max(end, now.Add(d))
			}
			if got := s.Decide(now, 0); now < end && (got.Reason != Pausing || got.Until < end) {
				t.Fatalf("decision %v at %d, during a pause until %d", got, now, end)
			}
		}
		if last := s.Decide(end.Add(-1), 0); end > now && last.Reason != Pausing {
			t.Fatalf("decision %v just before the end of the pause", last)
		}
	})
}

func TestPauseIsBounded(t *testing.T) {
	g := NewWithT(t)
	var s AdmissionState
	s.RecordPause(second, 365*24*time.Hour, 1)
	g.Expect(s.Decide(second, 0).Until).To(BeNumerically("<=", second.Add(MaxPause+MaxPause/pauseSpreadDivisor)))
}

// A hundred processes that were asked to pause at the same moment return one by one, and
// each with few requests at first.
func TestReturnAfterPauseIsSpread(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	const processes, requestsEach = 100, 8
	states := make([]AdmissionState, processes)
	running := make([]int, processes)
	for i := range states {
		states[i].RecordPause(second, time.Second, rng.Float64())
	}
	maxStarted, total := 0, 0
	for ms := range 3000 {
		now := second.Add(time.Duration(ms) * time.Millisecond)
		started := 0
		for i := range states {
			for running[i] < requestsEach && states[i].Decide(now, running[i]).Open() {
				running[i]++
				started++
			}
		}
		g.Expect(ms >= 1000 || started == 0).To(BeTrue(), "%d requests started %d ms into a pause of one second", started, ms)
		maxStarted = max(maxStarted, started)
		total += started
	}
	g.Expect(maxStarted).To(BeNumerically("<=", processes/10), "most requests started in one millisecond")
	g.Expect(total).To(Equal(processes*requestsEach), "requests in total")
}

func TestConnectionFailureBackoffDoubles(t *testing.T) {
	g := NewWithT(t)
	var s AdmissionState
	now := second
	for _, want := range []time.Duration{initialBackoff, 2 * initialBackoff, 4 * initialBackoff, maxBackoff, maxBackoff} {
		s.RecordConnectionFailure(now)
		d := s.Decide(now, 0)
		g.Expect(d.Reason).To(Equal(ConnectionsFailed))
		g.Expect(d.Until.Sub(now)).To(Equal(want))
		now = d.Until
		g.Expect(s.Decide(now, 0).Open()).To(BeTrue())
	}
	s.RecordAnswer()
	s.RecordConnectionFailure(now)
	g.Expect(s.Decide(now, 0).Until.Sub(now)).To(Equal(initialBackoff))
}

// Guards against an evacuation that is undone by anything but its end, and against one that
// hides that the target leaves, which decides whether its end is a crash.
func TestEvacuationWithholdsWork(t *testing.T) {
	g := NewWithT(t)
	var s AdmissionState
	s.SetEvacuated(true)
	s.RecordAnswer()
	s.RecordPause(second, time.Second, 0)
	g.Expect(s.Decide(second, 0)).To(Equal(Decision{Reason: Evacuated}))
	s.SetListedLeaving(true)
	g.Expect(s.Decide(second, 0).Reason).To(Equal(ListedLeaving))
	s.SetListedLeaving(false)
	s.SetEvacuated(false)
	g.Expect(s.Decide(2000*second, 0).Open()).To(BeTrue())
}
