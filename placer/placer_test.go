package placer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthorndrum/identifier"
	"buckthorndrum/placer"
	"buckthorndrum/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m, 80) }

// loadsPerMinute is the weight store's rate limit in these tests.
const loadsPerMinute = 12

func twoModels() placer.Config {
	return placer.Config{
		Kinds: map[identifier.Kind]placer.KindConfig{
			"draft":  {Model: "large", Adapter: "contracts", Share: 0.3},
			"answer": {Model: "small", Share: 0.3},
		},
		MinTargets:     2,
		LoadsPerMinute: loadsPerMinute,
	}
}

func (w *simulation) checkInvariants(t interface{ Fatalf(string, ...any) }) {
	if w.violation != "" {
		t.Fatalf("%s", w.violation)
	}
	// In any period there are at most as many orders as the rate allows for its
	// length, plus the one that starts it.
	for i := range w.orderedAt {
		for j := i + 1; j < len(w.orderedAt); j++ {
			d := w.orderedAt[j].Sub(w.orderedAt[i])
			if limit := d.Minutes()*loadsPerMinute + 1; float64(j-i+1) > limit {
				t.Fatalf("%d orders in %s, more than %.1f", j-i+1, d, limit)
			}
		}
	}
}

// TestColdStart checks that engines that start with nothing loaded come to serve
// all models, and that no engine loads another model after that.
func TestColdStart(t *testing.T) {
	w := newSimulation(8, twoModels(), 1)
	w.run(4 * time.Minute)
	for k := range w.cfg.Kinds {
		if n := w.servers(k); n < 2 {
			t.Fatalf("kind %s has %d targets, at least 2 are required", k, n)
		}
	}
	if n := w.servers("draft") + w.servers("answer"); n != 8 {
		t.Fatalf("%d of 8 targets serve", n)
	}
	before := w.loads()
	w.run(time.Hour)
	if w.loads() != before {
		t.Fatalf("%d loads in an hour without a reason", w.loads()-before)
	}
	w.checkInvariants(t)
}

// TestFollowsDemand checks that targets switch to a model with waiting work, as
// many as its workspaces are entitled to and no more, and that the other model
// keeps its minimum.
func TestFollowsDemand(t *testing.T) {
	w := newSimulation(12, twoModels(), 2)
	w.run(5 * time.Minute)
	for _, tc := range []struct {
		name     string
		waiting  map[identifier.Kind]float64
		min, max int
	}{
		{"one model waits", map[identifier.Kind]float64{"draft": 4}, 10, 10},
		{"a flood of the other by one workspace", map[identifier.Kind]float64{"draft": 3, "answer": 1}, 7, 8},
		{"both wait alike", map[identifier.Kind]float64{"draft": 4, "answer": 4}, 5, 7},
	} {
		w.waiting = tc.waiting
		w.run(15 * time.Minute)
		if n := w.servers("draft"); n < tc.min || n > tc.max {
			t.Errorf("%s: %d of 12 targets serve the model, not %d to %d", tc.name, n, tc.min, tc.max)
		}
		before := w.loads()
		w.run(20 * time.Minute)
		if w.loads() != before {
			t.Errorf("%s: %d loads after the balance was reached", tc.name, w.loads()-before)
		}
	}
	w.checkInvariants(t)
}

// TestNoThrashing checks that demand which alternates faster than weights can be
// loaded moves a target no more often than switchCooldown allows.
func TestNoThrashing(t *testing.T) {
	w := newSimulation(8, twoModels(), 3)
	w.run(5 * time.Minute)
	before := w.loads()
	for i := range 120 {
		w.waiting = map[identifier.Kind]float64{[]identifier.Kind{"draft", "answer"}[i%2]: 4}
		w.run(30 * time.Second)
	}
	// An hour has 30 cooldowns of two minutes, and half of the targets may move.
	if n := w.loads() - before; n > 30*4 {
		t.Fatalf("%d loads in an hour of swinging demand", n)
	}
	w.checkInvariants(t)
}

// TestStaleOrder checks that an outdated order, sent by a process that was
// paused, is rejected by the engine or undone by the placer, and that it leaves
// no kind without targets.
func TestStaleOrder(t *testing.T) {
	w := newSimulation(6, twoModels(), 4)
	w.run(10 * time.Minute)
	for _, n := range w.nodes {
		if len(n.engine.orders) == 0 {
			t.Fatalf("%s was never ordered", n.name)
		}
		stale := placer.LoadOrder{Model: "forgotten", Fence: n.engine.orders[0].Fence}
		n.engine.foreignOrder = true
		if applied := n.engine.apply(w.now, stale); applied == n.engine.checksFence {
			t.Fatalf("engine of %s (checks fence: %v) accepted the outdated order: %v", n.name, n.engine.checksFence, applied)
		}
	}
	w.run(10 * time.Minute)
	for k := range w.cfg.Kinds {
		if w.servers(k) < 2 {
			t.Fatalf("kind %s has %d servers after the stale orders", k, w.servers(k))
		}
	}
	w.checkInvariants(t)
}

// TestRandomEvents checks, with random link failures, deaths, returns and
// demand, that no switch takes a model below its minimum and that a model whose
// targets have died is served again.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.IntRange(5, 9).Draw(t, "targets"), twoModels(), rapid.Uint64().Draw(t, "seed"))
		w.linkFailureRate = rapid.Float64Range(0, 0.01).Draw(t, "flaky")
		w.run(6 * time.Minute)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			w.injectEvent(t)
			w.checkInvariants(t)
		}
		w.linkFailureRate = 0 // A link failure is an event as well; each link is up again within a minute.
		w.run(7 * time.Minute)
		for k := range w.cfg.Kinds {
			if n := w.servers(k); n < w.cfg.MinTargets {
				t.Fatalf("kind %s has %d servers six minutes after the last event", k, n)
			}
		}
		w.checkInvariants(t)
	})
}

func (w *simulation) injectEvent(t *rapid.T) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
	mayDrop := false
	switch rapid.SampledFrom([]string{"demand", "death", "return", "restart", "stale"}).Draw(t, "event") {
	case "demand":
		w.waiting = map[identifier.Kind]float64{
			"draft":  float64(rapid.IntRange(0, 8).Draw(t, "draft")),
			"answer": float64(rapid.IntRange(0, 8).Draw(t, "answer")),
		}
		w.used = rapid.Float64Range(0, 1).Draw(t, "used")
	case "death":
		if w.aliveNodes() > 2*w.cfg.MinTargets {
			n.alive = false
			mayDrop = true
		}
	case "return":
		w.revive(n)
	case "restart":
		if !n.alive {
			return
		}
		n.placer = placer.New(w.configOf(n.name))
		w.reconnect(n)
		mayDrop = true // The target serves nothing until its engine has reported.
	case "stale":
		if !n.engine.checksFence && len(n.engine.orders) > 0 {
			n.engine.foreignOrder = true
			n.engine.apply(w.now, placer.LoadOrder{Model: n.engine.orders[0].Model, Fence: 1})
			mayDrop = true // The order takes the target's model away, as a death does.
		}
	}
	before := map[identifier.Kind]int{"draft": w.servers("draft"), "answer": w.servers("answer")}
	for range 20 {
		w.run(3 * time.Second)
		for k, servers := range before {
			if now := w.servers(k); !mayDrop && now < min(servers, w.cfg.MinTargets) {
				t.Fatalf("kind %s went from %d to %d servers without a death", k, servers, now)
			}
		}
	}
}

func (w *simulation) aliveNodes() int {
	n := 0
	for _, m := range w.nodes {
		if m.alive {
			n++
		}
	}
	return n
}
