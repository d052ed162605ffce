package isolator

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
)

// A target that goes down and up by itself shows no more against a part than one crash.
func TestCrashesOfOneTargetCountOnce(t *testing.T) {
	g := NewWithT(t)
	i := New()
	now := second
	for n := range blockAfterRepeated - 1 {
		now = now.Add(1400 * time.Millisecond)
		crashWith(i, now, NewCrashID(TargetHash(1), uint32(n)), []Part{shared, other})
	}
	g.Expect(i.Judge(now, "w", []Part{shared, other})).To(Equal(Verdict{State: Suspected, Part: other, Crashes: 1}))
}

// A part that crashes the only target of a model is blocked all the same.
func TestPartThatCrashesOnlyTargetIsBlocked(t *testing.T) {
	g := NewWithT(t)
	i := New()
	now := second
	for n := range blockAfterRepeated {
		now = now.Add(4 * time.Second)
		crashWith(i, now, NewCrashID(TargetHash(1), uint32(n)), []Part{bad})
	}
	g.Expect(state(i, now, bad)).To(Equal(Blocked))
}

// Crashes of one target do not hide those of others.
func TestPartThatCrashesOneTargetAgainIsBlocked(t *testing.T) {
	g := NewWithT(t)
	i := New()
	var now identifier.Instant
	for n, target := range []int{1, 1, 2, 3} {
		now = now.Add(4 * time.Second)
		g.Expect(state(i, now, bad)).NotTo(Equal(Blocked))
		crashWith(i, now, NewCrashID(TargetHash(target), uint32(n)), []Part{bad})
	}
	g.Expect(state(i, now, bad)).To(Equal(Blocked))
}

// A part is only suspected if it ran at three crashes that came together with crashes
// elsewhere; it is blocked once five count against it.
func TestCrashesElsewhereAtOnceRaiseWhatBlocksPart(t *testing.T) {
	g := NewWithT(t)
	i := New()
	now := second
	for n := range blockAfterRepeated {
		g.Expect(state(i, now, bad)).NotTo(Equal(Blocked), "after %d crashes", n)
		now = now.Add(time.Second)
		for k := range 2 {
			at := now.Add(time.Duration(k) * time.Millisecond)
			crashWith(i, at, NewCrashID(TargetHash(100+10*n+k), 1), []Part{Part(1000 + 10*n + k)})
		}
		crashWith(i, now.Add(3*time.Millisecond), NewCrashID(TargetHash(n), 1), []Part{bad})
	}
	g.Expect(state(i, now.Add(3*time.Millisecond), bad)).To(Equal(Blocked))
}

// A target that crashes after a second of events, or after a complete answer, is no
// evidence against a part that was running there.
func TestProgressClearsSuspectedPart(t *testing.T) {
	g := NewWithT(t)
	i := New()
	now := second
	crashWith(i, now, NewCrashID(1, 1), []Part{shared, other})
	g.Expect(state(i, now, shared, other)).To(Equal(Suspected))
	for n := range 4 {
		id := NewCrashID(TargetHash(2+n), 1)
		run := i.StartRun(now, id, "w", []Part{shared, other})
		now = now.Add(2 * ProgressInterval)
		i.RecordProgress(now, run)
		g.Expect(state(i, now, shared, other)).To(Equal(Clear))
		now = now.Add(ProgressInterval / 2)
		i.EndRun(now, run, Broken)
		i.RecordCrash(now, id)
		g.Expect(state(i, now, shared, other)).To(Equal(Clear), "crash %d", n)
	}
}

const (
	// simulatedPause is the time between two requests of a caller of the model.
	simulatedPause = time.Second
	// simulatedFirst is the longest time to the first event of a stream.
	simulatedFirst = time.Second
	// simulatedStream is the length of a stream, from its first event.
	simulatedStream = 5 * time.Second
)

// caller sends streams with a part of its own, one after the other.
func (s *simulation) caller(w identifier.Workspace, p Part) {
	again := func() { s.after(simulatedPause, func() { s.caller(w, p) }) }
	s.start(w, false, func(r *simulatedRun) {
		if r == nil {
			again()
			return
		}
		s.after(time.Duration(s.rng.Int64N(int64(simulatedFirst))), func() { s.deliver(r, simulatedStream, again) })
	}, 1, p)
}

// deliver delivers the rest of a stream and calls done at its end.
func (s *simulation) deliver(r *simulatedRun, rest time.Duration, done func()) {
	switch {
	case !s.running(r):
		done()
	case rest <= 0:
		s.answer(r)
		done()
	case rest == simulatedStream:
		s.after(FirstProgress, func() { s.deliver(r, rest-FirstProgress, done) })
	default:
		r.router.RecordProgress(s.now, r.run)
		s.after(ProgressInterval, func() { s.deliver(r, rest-ProgressInterval, done) })
	}
}

// Where targets only crash by themselves no part is blocked: neither if one goes down and
// up all the time, nor if a quarter crashes each second, though parts are rare and their
// streams are long, so that many are never answered whole.
func TestFleetBlocksNoPartWhereTargetsOnlyCrash(t *testing.T) {
	const (
		targets, callers = 12, 60
		crashesFor       = 30 * time.Second
	)
	for name, crash := range map[string]func(s *simulation){
		"one target": func(s *simulation) { s.crash(0, s.incarnations[0]) },
		"a quarter": func(s *simulation) {
			for _, target := range s.rng.Perm(targets)[:targets/4] {
				s.crash(target, s.incarnations[target])
			}
		},
	} {
		for _, routers := range []int{1, 10, 50} {
			for seed := range *fleetSeeds {
				t.Run(fmt.Sprintf("%s, %d routers, seed %d", name, routers, seed), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					s := newSimulation(seed, routers, targets)
					s.downFor = time.Second / 2
					for n := range callers {
						s.after(time.Duration(s.rng.Int64N(int64(20*time.Second))), func() {
							s.caller(identifier.Workspace(fmt.Sprint("w", n)), Part(1000+n))
						})
					}
					for at := 6 * time.Second; at < crashesFor; at += 1100 * time.Millisecond {
						s.after(at, func() { crash(s) })
					}
					s.run(crashesFor + 5*time.Second)
					for _, r := range s.routers {
						g.Expect(r.Blocks()).To(BeEmpty())
					}
				})
			}
		}
	}
}
