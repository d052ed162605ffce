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
	var p AdmissionState
	g.Expect(p.RecordLeaving(second)).To(BeTrue())
	g.Expect(p.RecordLeaving(2 * second)).To(BeFalse())
	p.SetListedLeaving(false)
	p.RecordAnswer()
	g.Expect(p.Decide(1000*second, 0)).To(Equal(Decision{Reason: ReportedLeaving, Since: second}))
}

// What a peer says does not bind.
func TestPeerNoticeDoesNotWithholdWork(t *testing.T) {
	g := NewWithT(t)
	var p AdmissionState
	g.Expect(p.RecordPeerNotice(second)).To(BeTrue())
	g.Expect(p.RecordPeerNotice(2 * second)).To(BeFalse())
	g.Expect(p.Decide(2*second, 0).Open()).To(BeTrue())
	g.Expect(p.PeerReportsLeaving(2 * second)).To(BeTrue())
	g.Expect(p.PeerReportsLeaving(2*second + identifier.Instant(PeerNoticeTTL))).To(BeFalse())
}

// Pauses that overlap end with the last end of all, and never sooner than any of them.
func TestOverlappingPausesEndLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p AdmissionState
		now, end := second, identifier.Instant(0)
		for range rapid.IntRange(1, 10).Draw(t, "pauses") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * time.Millisecond)
			d := time.Duration(rapid.IntRange(-10, 5000).Draw(t, "for")) * time.Millisecond
			p.RecordPause(now, d, rapid.Float64Range(0, 1).Draw(t, "draw"))
			if d > 0 {
				end = max(end, now.Add(d))
			}
			if got := p.Decide(now, 0); now < end && (got.Reason != Pausing || got.Until < end) {
				t.Fatalf("%v at %d, of a pause until %d", got, now, end)
			}
		}
		if last := p.Decide(end.Add(-1), 0); end > now && last.Reason != Pausing {
			t.Fatalf("%v just before the end", last)
		}
	})
}

func TestPauseIsBounded(t *testing.T) {
	g := NewWithT(t)
	var p AdmissionState
	p.RecordPause(second, 365*24*time.Hour, 1)
	g.Expect(p.Decide(second, 0).Until).To(BeNumerically("<=", second.Add(MaxPause+MaxPause/pauseSpreadDivisor)))
}

// A hundred processes that were told to pause at the same moment come back one by one,
// and each with a little first.
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
		g.Expect(ms >= 1000 || started == 0).To(BeTrue(), "%d requests after %d ms of a pause of a second", started, ms)
		maxStarted = max(maxStarted, started)
		total += started
	}
	g.Expect(maxStarted).To(BeNumerically("<=", processes/10), "requests in one millisecond")
	g.Expect(total).To(Equal(processes*requestsEach), "all return in the end")
}

func TestConnectionFailureBackoffDoubles(t *testing.T) {
	g := NewWithT(t)
	var p AdmissionState
	now := second
	for _, want := range []time.Duration{initialBackoff, 2 * initialBackoff, 4 * initialBackoff, maxBackoff, maxBackoff} {
		p.RecordConnectionFailure(now)
		d := p.Decide(now, 0)
		g.Expect(d.Reason).To(Equal(ConnectionsFailed))
		g.Expect(d.Until.Sub(now)).To(Equal(want))
		now = d.Until
		g.Expect(p.Decide(now, 0).Open()).To(BeTrue())
	}
	p.RecordAnswer()
	p.RecordConnectionFailure(now)
	g.Expect(p.Decide(now, 0).Until.Sub(now)).To(Equal(initialBackoff))
}
