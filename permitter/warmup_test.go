package permitter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"buckthorndrum/identifier"
)

// todaysBound and todaysRate are what deployments have today.
var (
	todaysBound = ColdBound{Overage: 1.5, Slack: 5}
	todaysRate  = ColdRate{Duration: 30 * time.Second, PerSecond: 11}
)

// coldFleet is a model of processes that send to one cold target. Each sees the size of the
// fleet late, and demand is saturated or comes at once.
type coldFleet struct {
	rng *rand.Rand
	now identifier.Instant
	// warmUps and attempts hold the state of each process.
	warmUps []*WarmUp
	// known is the number of processes that each one assumes, and startedAt and learnsAt
	// when it started and hears of the others.
	known     []int
	startedAt []identifier.Instant
	learnsAt  []identifier.Instant
	// begun holds when requests began.
	begun []identifier.Instant
}

const (
	coldStep = 5 * time.Millisecond
	// assumedFleet and startHold are what the forwarder has.
	assumedFleet = 32
	startHold    = 2 * time.Second
)

func newColdFleet(seed uint64, processes int) *coldFleet {
	f := &coldFleet{rng: rand.New(rand.NewPCG(seed, uint64(processes))), now: 100 * second,
		warmUps: make([]*WarmUp, processes), known: make([]int, processes), startedAt: make([]identifier.Instant, processes), learnsAt: make([]identifier.Instant, processes)}
	for n := range f.warmUps {
		f.known[n] = processes
		f.replace(n, 0)
	}
	return f
}

// replace replaces a process by one that started at the given instant.
func (f *coldFleet) replace(n int, at identifier.Instant) {
	f.warmUps[n], f.startedAt[n] = &WarmUp{}, at
	f.setPace(n)
	f.warmUps[n].RecordCold(f.now, time.Hour, ColdByEntry, f.rng.Float64())
}

func (f *coldFleet) setPace(n int) {
	pace := PermitSchedule{Interval: PermitInterval(todaysBound.PermitRate(todaysRate.PerSecond), f.known[n])}
	if f.startedAt[n] != 0 {
		pace.NotBefore = f.startedAt[n].Add(startHold)
	}
	f.warmUps[n].SetSchedule(f.now, pace)
}

// restart replaces processes by ones that learn the size of the fleet within 1.5 s.
func (f *coldFleet) restart(from, to int) {
	for n := from; n < to; n++ {
		f.known[n] = assumedFleet
		f.replace(n, f.now)
		f.learnsAt[n] = f.now.Add(time.Duration(f.rng.Int64N(int64(1500 * time.Millisecond))))
	}
}

// run lets time pass. With demand each process sends whenever it may, and writes up to the
// end of its permit later.
func (f *coldFleet) run(d time.Duration, demand bool) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(coldStep) {
		for n, w := range f.warmUps {
			if f.learnsAt[n] != 0 && f.now >= f.learnsAt[n] {
				f.known[n], f.learnsAt[n] = max(assumedFleet, len(f.warmUps)), 0
				f.setPace(n)
			}
			if demand && w.Decide(f.now).Open() {
				f.send(w)
			}
		}
	}
}

// send sends one request, whose first byte is written up to 50 ms later.
func (f *coldFleet) send(w *WarmUp) {
	permit := w.TakePermit(f.now)
	at := f.now.Add(time.Duration(f.rng.Int64N(int64(50 * time.Millisecond))))
	if w.Recheck(at, permit).Open() {
		f.begun = append(f.begun, at)
	}
}

// most returns the most requests that began in some second. The times need not be in order.
func (f *coldFleet) most() int {
	times := append([]identifier.Instant(nil), f.begun...)
	slices.Sort(times)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a target that crashes because all processes together send it more in some
// second than it stands while it is cold: under saturated demand, under demand that comes at
// once after a quiet time, and while nine processes in ten restart at once and assume another
// size of the fleet.
func TestColdTargetStaysWithinBound(t *testing.T) {
	bound := int(todaysBound.requests(todaysRate.PerSecond))
	plays := map[string]func(f *coldFleet){
		"saturated": func(f *coldFleet) { f.run(30*time.Second, true) },
		"at once": func(f *coldFleet) {
			f.run(20*time.Second, false)
			f.run(10*time.Second, true)
			f.run(20*time.Second, false)
			f.run(10*time.Second, true)
		},
		"restarts": func(f *coldFleet) {
			f.run(5*time.Second, true)
			f.restart(0, len(f.warmUps)*9/10)
			f.run(6*time.Second, true)
			f.restart(len(f.warmUps)/10, len(f.warmUps))
			f.run(20*time.Second, true)
		},
	}
	for name, play := range plays {
		for _, processes := range []int{3, 46, 300} {
			t.Run(fmt.Sprintf("%s, %d processes", name, processes), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				for seed := range 4 * *limitSeeds {
					f := newColdFleet(seed, processes)
					play(f)
					g.Expect(f.most()).To(BeNumerically("<=", bound), "seed %d", seed)
				}
			})
		}
	}
}

// Guards against permits that nobody can use, so that a target is never warmed: under
// saturated demand nearly all permits are used.
func TestPermitsOfColdTargetAreUsed(t *testing.T) {
	for _, processes := range []int{1, 3, 46, 300} {
		g := NewWithT(t)
		f := newColdFleet(1, processes)
		f.run(5*time.Second, true)
		f.begun = nil
		f.run(60*time.Second, true)
		permits := 60 * todaysBound.PermitRate(todaysRate.PerSecond)
		g.Expect(float64(len(f.begun))).To(BeNumerically(">", 0.7*permits), "%d processes", processes)
		g.Expect(float64(len(f.begun))).To(BeNumerically("<", 1.3*permits), "%d processes", processes)
	}
}

// Guards against a rate that is not the one of the specification, or breaks on odd settings.
func TestPermitRate(t *testing.T) {
	g := NewWithT(t)
	rate := todaysBound.PermitRate(todaysRate.PerSecond)
	g.Expect(rate).To(BeNumerically("~", 5.09, 0.01))
	x := rate * 1.25
	g.Expect(x + 6*math.Sqrt(x)).To(BeNumerically("~", 21.5, 1e-6))
	g.Expect(ColdBound{}.PermitRate(11)).To(BeNumerically("~", 1.73, 0.01))
	g.Expect(ColdBound{Overage: 1, Slack: 1e6}.PermitRate(3)).To(Equal(3.0), "not above what the target handles")
	for _, none := range []float64{0, -1, math.NaN()} {
		g.Expect(todaysBound.PermitRate(none)).To(BeZero())
		g.Expect(PermitInterval(none, 3)).To(BeZero())
	}
	g.Expect(ColdBound{Overage: math.NaN()}.PermitRate(11)).To(BeZero())
	g.Expect(PermitInterval(1e-30, 300)).To(Equal(maxPermitInterval))
	g.Expect(PermitInterval(2, 0)).To(Equal(500 * time.Millisecond))
}

// Guards against a cold period that ends too soon: the latest end applies.
func TestLatestEndOfColdPeriodApplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w WarmUp
		w.SetSchedule(second, PermitSchedule{Interval: time.Second})
		now, latest := second, identifier.Instant(0)
		for range rapid.IntRange(1, 10).Draw(t, "notices") {
			d := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "for"))
			w.RecordCold(now, d, ColdByAnswer, 0.5)
			if d > 0 {
				latest = max(latest, now.Add(d))
			}
			if got := w.Cold(latest - 1); latest > now && !got {
				t.Fatal("warm before the latest end")
			}
			if w.Cold(latest) {
				t.Fatal("cold after the latest end")
			}
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "pass")))
		}
	})
}

// Guards against a target that counts as warm while its process has ended, and against one
// that stays cold because an answer of the process before it is taken for its own.
func TestRefusingTargetIsColdUntilItResponds(t *testing.T) {
	g := NewWithT(t)
	var w WarmUp
	w.SetSchedule(second, PermitSchedule{Interval: time.Second})
	w.RecordResponse(second, second, time.Minute)
	g.Expect(w.Cold(second)).To(BeFalse(), "it has not refused")
	w.RecordRefused(10*second, 0.5)
	g.Expect(w.Cold(100 * second)).To(BeTrue())
	w.RecordResponse(11*second, 9*second, time.Minute)
	g.Expect(w.Cold(100*second)).To(BeTrue(), "the request began before the refusal")
	w.RecordResponse(100*second, 99*second, 30*time.Second)
	g.Expect(w.Cold(130*second - 1)).To(BeTrue())
	g.Expect(w.Cold(130 * second)).To(BeFalse())
	w.RecordRefused(200*second, 0.5)
	g.Expect(w.Cold(200*second+identifier.Instant(MaxCold))).To(BeFalse(), "state expires")
	g.Expect(w.Cause()).To(Equal(ColdByRefusal))
}

// Guards against an attempt that is rejected because of the permit that it took itself, and
// against one that is sent after its permit has expired or without one.
func TestPermitIsForOneRequest(t *testing.T) {
	g := NewWithT(t)
	var w WarmUp
	g.Expect(w.TakePermit(second)).To(BeZero(), "it is warm")
	g.Expect(w.Recheck(second, 0).Open()).To(BeTrue())
	w.SetSchedule(second, PermitSchedule{Interval: time.Second, NotBefore: 2 * second})
	w.RecordCold(second, time.Minute, ColdByEntry, 0)
	g.Expect(w.Decide(second)).To(Equal(Decision{Reason: WarmingUp, Until: 2 * second}))
	g.Expect(w.Recheck(second, 0).Reason).To(Equal(WarmingUp), "it was sent while the target was warm")
	permit := w.TakePermit(2 * second)
	g.Expect(permit).To(Equal((2 * second).Add(permitWindow)))
	g.Expect(w.Recheck(2*second, permit).Open()).To(BeTrue())
	g.Expect(w.Decide(2 * second)).To(Equal(Decision{Reason: WarmingUp, Until: 3 * second}))
	g.Expect(w.TakePermit(2 * second)).To(BeZero())
	g.Expect(w.Recheck(permit, permit).Reason).To(Equal(WarmingUp), "it has expired")
	g.Expect(w.Decide(3 * second).Open()).To(BeTrue())
	g.Expect(w.Decide((3 * second).Add(permitWindow)).Reason).To(Equal(WarmingUp))
	w.SetSchedule(4*second, PermitSchedule{})
	g.Expect(w.Decide(4*second).Open()).To(BeTrue(), "the pool's targets are never cold")
}

// Guards against a fleet whose permits fall together when all processes learn at once that it
// is larger: the time that is left scales with the interval.
func TestNextPermitScalesWithInterval(t *testing.T) {
	g := NewWithT(t)
	var w WarmUp
	w.SetSchedule(second, PermitSchedule{Interval: 10 * time.Second})
	w.RecordCold(second, time.Hour, ColdByEntry, 0.4)
	g.Expect(w.Decide(second).Until).To(Equal(5 * second))
	w.SetSchedule(3*second, PermitSchedule{Interval: 100 * time.Second})
	g.Expect(w.Decide(3 * second).Until).To(Equal(23 * second))
	w.SetSchedule(13*second, PermitSchedule{Interval: 10 * time.Second})
	g.Expect(w.Decide(13 * second).Until).To(Equal(14 * second))
}

// Guards against header values that make a target cold for ever, or a process fail.
func TestParseCold(t *testing.T) {
	g := NewWithT(t)
	for v, want := range map[string]ColdNotice{
		"0": {}, "1500": {Duration: 1500 * time.Millisecond}, "0.5\t": {Duration: 500 * time.Microsecond},
		"-1": {Malformed: true}, "": {Malformed: true}, "NaN": {Malformed: true}, "1e3": {Malformed: true}, "soon": {Malformed: true},
		"999999999999999999": {Duration: MaxCold, Malformed: true},
	} {
		g.Expect(ParseCold([]string{v})).To(Equal(want), v)
	}
	g.Expect(ParseCold(nil)).To(Equal(ColdNotice{}))
	g.Expect(ParseCold([]string{"10", "x", "20"})).To(Equal(ColdNotice{Duration: 20 * time.Millisecond, Malformed: true}))
}
