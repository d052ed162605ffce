package placer_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthorndrum/identifier"
	"buckthorndrum/placer"
)

// skew is the difference between the clocks of two agents plus the time that an order
// takes to the weight store, at most.
type skew time.Duration

func (s skew) half(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(s)/2).Draw(t, label))
}

// toleratedSkew is the skew up to which the rate limit has to be kept.
const toleratedSkew = skew(250 * time.Millisecond)

// orderingTarget is a target that wants an order in each of its turns.
type orderingTarget struct {
	placer *placer.Placer
	// phase is when it ticks first, and ahead what its clock is ahead by.
	phase, ahead time.Duration
}

// newOrderingTarget returns a target whose engine never gets the adapter that it lacks.
func newOrderingTarget(cfg placer.Config, self identifier.Target, phase, ahead time.Duration) *orderingTarget {
	cfg.Self = self
	return &orderingTarget{placer: placer.New(cfg), phase: phase, ahead: ahead}
}

// orders returns when the target issues orders within the given time.
func (o *orderingTarget) orders(start identifier.Instant, length time.Duration) []identifier.Instant {
	var at []identifier.Instant
	for t := start.Add(o.phase); t < start.Add(length); t = t.Add(tickInterval) {
		local := t.Add(o.ahead)
		o.placer.UpdateEngine(local, placer.EngineState{Model: "large"})
		if o.placer.Tick(local, placer.LocalState{}).Order != nil {
			at = append(at, t)
		}
	}
	return at
}

// TestOrdersKeepToInterval checks that no two orders of a pool reach the weight store
// within the interval of its rate limit, whenever the agents tick, and that each target
// gets its turn.
func TestOrdersKeepToInterval(t *testing.T) {
	for _, perMinute := range []float64{6, 12, 60, 600} {
		for _, s := range []skew{0, toleratedSkew} {
			t.Run(fmt.Sprintf("%v a minute, skew %s", perMinute, time.Duration(s)), func(t *testing.T) {
				rapid.Check(t, func(t *rapid.T) { checkOrderInterval(t, perMinute, s) })
			})
		}
	}
}

// minOrders is how many orders each target issues at least in a history.
const minOrders = 3

func checkOrderInterval(t *rapid.T, perMinute float64, s skew) {
	cfg := twoModels()
	cfg.LoadsPerMinute = perMinute
	n := rapid.IntRange(1, 5).Draw(t, "targets")
	for i := range n {
		cfg.Targets = append(cfg.Targets, identifier.Target(fmt.Sprintf("t%d", i)))
	}
	interval := time.Duration(float64(time.Minute) / perMinute)
	length := time.Duration(2*minOrders*n) * (interval + time.Second)
	start := identifier.Instant(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "start"))
	var arrivals []identifier.Instant
	for _, self := range cfg.Targets {
		phase := time.Duration(rapid.Int64Range(0, int64(tickInterval)-1).Draw(t, "phase"))
		issued := newOrderingTarget(cfg, self, phase, s.half(t, "ahead")).orders(start, length)
		if len(issued) < minOrders {
			t.Fatalf("%s issued %d orders in %s", self, len(issued), length)
		}
		for _, at := range issued {
			arrivals = append(arrivals, at.Add(s.half(t, "delay")))
		}
	}
	checkGaps(t, arrivals, interval)
}

// checkGaps checks that no two instants are closer to each other than the interval.
func checkGaps(t *rapid.T, at []identifier.Instant, interval time.Duration) {
	sort.Slice(at, func(i, j int) bool { return at[i] < at[j] })
	for i := 1; i < len(at); i++ {
		if d := at[i].Sub(at[i-1]); d < interval {
			t.Fatalf("two orders reached the weight store %s apart, less than %s", d, interval)
		}
	}
}

// drainTime is how long before its order an idle target stops taking work, at most: the
// lead of the turn and one tick.
const drainTime = 5*time.Second + tickInterval

// TestTargetServesUntilTurnIsNear checks that a target that is to load another model
// stops taking work only if it can order that soon.
func TestTargetServesUntilTurnIsNear(t *testing.T) {
	cfg := twoModels()
	cfg.MinTargets = 1
	cfg.Targets = []identifier.Target{"t0", "t1", "t2"}
	rapid.Check(t, func(t *rapid.T) {
		start := identifier.Instant(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "start"))
		ordered := 0
		for _, self := range cfg.Targets {
			ordered += checkDrain(t, cfg, self, start)
		}
		if ordered == 0 {
			t.Fatalf("no target went over to the model that none serves")
		}
	})
}

// checkDrain runs an idle target beside peers that all serve one model of two, until it
// orders the other one. It returns the number of orders, zero or one.
func checkDrain(t *rapid.T, cfg placer.Config, self identifier.Target, start identifier.Instant) int {
	cfg.Self = self
	p := placer.New(cfg)
	loaded := placer.EngineState{Model: "large", Adapters: []identifier.Adapter{"contracts"}}
	var stoppedAt identifier.Instant
	for now := start; now < start.Add(2*time.Minute); now = now.Add(tickInterval) {
		p.UpdateEngine(now, loaded)
		for _, peer := range cfg.Targets {
			if peer != self {
				p.UpdatePeer(now, peer, placer.Report{Model: loaded.Model, Adapters: loaded.Adapters, Ready: true})
			}
		}
		d := p.Tick(now, placer.LocalState{Idle: true})
		if stoppedAt == 0 && !d.Served["draft"] {
			stoppedAt = now
		}
		if stoppedAt != 0 && now.Sub(stoppedAt) > drainTime {
			t.Fatalf("%s took no work for %s and has not ordered", self, now.Sub(stoppedAt))
		}
		if d.Order != nil {
			return 1
		}
	}
	return 0
}
