package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthorndrum/counter"
	"buckthorndrum/identifier"
	"buckthorndrum/scheduler"
	"buckthorndrum/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m, 5000) }

const (
	slots    = 3
	maxAhead = 2
)

var self = identifier.Origin{Target: "t", Incarnation: 7}

func config() scheduler.Config {
	return scheduler.Config{
		Self: self, Slots: slots, MaxOvercommit: maxAhead, GrantTTL: 500 * time.Millisecond, CreditWindow: 100,
		BackloggedAfter: 200 * time.Millisecond, IdleAfter: time.Second, PreemptInterval: 100 * time.Millisecond,
		Kinds: map[identifier.Kind]scheduler.KindRule{
			"draft": {Share: 0.4, Estimate: 20}, "answer": {Share: 0.3, Urgency: 2, Estimate: 5}, "tag": {Estimate: 2},
		},
	}
}

// target is the oracle: what a target sees of the scheduler's actions.
type target struct {
	t       *rapid.T
	sched   *scheduler.Scheduler
	table   *counter.Table
	now     identifier.Instant
	grants  map[uint64]scheduler.Grant
	expires map[uint64]identifier.Instant
	// running and parked are the requests at the target and preempted ones.
	running map[identifier.Request]bool
	held    map[identifier.Request]identifier.Cost
	parked  map[identifier.Request]bool
	used    identifier.Cost
	serial  int
	drained bool
	// served are the kinds that the target takes work of, nil for all.
	served map[identifier.Kind]bool
}

// take checks and carries out actions.
func (o *target) take(acts scheduler.Actions) {
	for _, g := range acts.Grants {
		if o.drained {
			o.t.Fatalf("grant %d was issued while the target is leaving", g.ID.Number)
		}
		if o.served != nil && !o.served[g.Class.Kind] {
			o.t.Fatalf("grant %d of kind %s was issued, which is not served", g.ID.Number, g.Class.Kind)
		}
		if _, again := o.expires[g.ID.Number]; again {
			o.t.Fatalf("grant %d was issued twice", g.ID.Number)
		}
		o.grants[g.ID.Number] = g
		o.expires[g.ID.Number] = o.now.Add(500 * time.Millisecond)
	}
	for _, r := range acts.Preempts {
		if !o.running[r] {
			o.t.Fatalf("request %s was preempted and does not run", r)
		}
		delete(o.running, r)
		o.parked[r] = true
	}
	for _, r := range acts.Starts {
		if _, held := o.held[r]; !held || o.running[r] {
			o.t.Fatalf("request %s was started twice or never handed over", r)
		}
		delete(o.parked, r)
		o.running[r] = true
	}
	if len(o.running) > slots {
		o.t.Fatalf("%d requests run at a target of %d slots", len(o.running), slots)
	}
	if l := o.sched.Load(); l.Running+l.Queued+l.Granted > slots+maxAhead {
		o.t.Fatalf("more is granted than %d slots and %d ahead: %+v", slots, maxAhead, l)
	}
}

// accept hands a request over under grant g, which may have expired or be of
// another incarnation.
func (o *target) accept(g scheduler.Grant, other bool) {
	id := g.ID
	if other {
		id.Origin.Incarnation++
	}
	o.serial++
	r := identifier.Request(fmt.Sprintf("r%04d", o.serial))
	o.held[r] = 0
	acts, err := o.sched.Accept(o.now, id, scheduler.Handover{Request: r, Class: g.Class, Resumable: true})
	_, outstanding := o.grants[g.ID.Number]
	valid := outstanding && !other && o.now < o.expires[g.ID.Number]
	if valid != (err == nil) {
		o.t.Fatalf("grant %d: valid %v, but accept says %v", g.ID.Number, valid, err)
	}
	if err != nil {
		delete(o.held, r)
		return
	}
	delete(o.grants, g.ID.Number)
	o.take(acts)
}

func (o *target) finish(r identifier.Request, more identifier.Cost) {
	used := o.held[r] + more
	o.used += used
	delete(o.held, r)
	delete(o.running, r)
	delete(o.parked, r)
	o.take(o.sched.Finish(o.now, r, used))
}

func (o *target) tick(d time.Duration) {
	o.now = o.now.Add(d)
	for n := range o.grants {
		if o.now >= o.expires[n] {
			delete(o.grants, n)
		}
	}
	o.take(o.sched.Tick(o.now))
}

// any returns one of the requests, chosen by the test.
func (o *target) any(from map[identifier.Request]bool) identifier.Request {
	var lowest identifier.Request
	for r := range from {
		if lowest == "" || r < lowest {
			lowest = r
		}
	}
	return lowest
}

// oldest returns the outstanding grant with the lowest number.
func (o *target) oldest() (scheduler.Grant, bool) {
	for n := uint64(1); n <= uint64(len(o.expires)); n++ {
		if g, ok := o.grants[n]; ok {
			return g, true
		}
	}
	return scheduler.Grant{}, false
}

var classes = []identifier.Class{
	{Kind: "draft", Workspace: "a"}, {Kind: "draft", Workspace: "b"}, {Kind: "answer", Workspace: "a"},
	{Kind: "answer", Workspace: "c"}, {Kind: "tag", Workspace: "b"}, {Kind: "unknown", Workspace: "a"},
}

// TestScheduler drives a scheduler with random events and checks that slots are
// not exceeded, that no request is started twice, that only valid grants are
// honoured, that nothing is granted while leaving, and that in the end what was
// charged is exactly what was used.
func TestScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := counter.New(counter.Config{Self: self})
		o := &target{
			t: t, table: table, sched: scheduler.New(config(), table), now: 1,
			grants: map[uint64]scheduler.Grant{}, expires: map[uint64]identifier.Instant{},
			running: map[identifier.Request]bool{}, held: map[identifier.Request]identifier.Cost{}, parked: map[identifier.Request]bool{},
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			o.event()
		}
		o.end()
	})
}

func (o *target) event() {
	t := o.t
	router := identifier.Router(fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "router")))
	switch rapid.IntRange(0, 10).Draw(t, "event") {
	case 0, 1:
		c := classes[rapid.IntRange(0, len(classes)-1).Draw(t, "class")]
		o.take(o.sched.UpdateOffers(o.now, router, []scheduler.Offer{{
			Class: c, Count: rapid.IntRange(0, 4).Draw(t, "count"), CostHint: identifier.Cost(rapid.IntRange(0, 30).Draw(t, "hint")),
		}}))
	case 2, 3:
		if rapid.IntRange(0, 9).Draw(t, "late") == 0 {
			o.now = o.now.Add(600 * time.Millisecond) // The process was paused.
		}
		if g, ok := o.oldest(); ok {
			o.accept(g, rapid.IntRange(0, 9).Draw(t, "other") == 0)
		}
	case 4:
		if g, ok := o.oldest(); ok {
			delete(o.grants, g.ID.Number)
			o.take(o.sched.Decline(o.now, g.ID))
		}
	case 5:
		if r := o.any(o.running); r != "" {
			o.finish(r, identifier.Cost(rapid.IntRange(0, 40).Draw(t, "cost")))
		}
	case 6:
		if r := o.any(o.running); r != "" {
			o.held[r] += identifier.Cost(rapid.IntRange(1, 10).Draw(t, "tokens"))
			o.sched.Progress(o.now, r, o.held[r])
		}
	case 7:
		o.sched.DropRouter(o.now, router)
	case 8:
		o.drained = rapid.IntRange(0, 3).Draw(t, "drain") == 0
		o.sched.SetDraining(o.drained)
	case 10:
		o.serve()
	case 9:
		o.tick(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
	}
}

// serve changes the kinds that the target takes work of.
func (o *target) serve() {
	o.served = nil
	if rapid.Bool().Draw(o.t, "some") {
		o.served = map[identifier.Kind]bool{}
		for _, k := range []identifier.Kind{"draft", "answer", "tag"} {
			o.served[k] = rapid.Bool().Draw(o.t, string(k))
		}
	}
	o.take(o.sched.SetServedKinds(o.now, o.served))
}

// end lets everything run out: a leaving target still finishes what it has.
func (o *target) end() {
	o.drained = true
	o.sched.SetDraining(true)
	for range 50 {
		o.tick(time.Second)
		for r := o.any(o.running); r != ""; r = o.any(o.running) {
			o.finish(r, 1)
		}
	}
	if len(o.held) > 0 || !o.sched.Idle() {
		o.t.Fatalf("%d requests never ended: %d parked", len(o.held), len(o.parked))
	}
}

// TestCharges checks that grants that expire or are declined, and estimates that
// were wrong, leave exactly what was used on the counters.
func TestCharges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config()
		cfg.CreditWindow = 1 << 40 // No period starts anew.
		table := counter.New(counter.Config{Self: self})
		o := &target{
			t: t, table: table, sched: scheduler.New(cfg, table), now: 1,
			grants: map[uint64]scheduler.Grant{}, expires: map[uint64]identifier.Instant{},
			running: map[identifier.Request]bool{}, held: map[identifier.Request]identifier.Cost{}, parked: map[identifier.Request]bool{},
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			o.event()
		}
		o.end()
		if sum := table.Level("a") + table.Level("b") + table.Level("c"); sum != o.used {
			t.Fatalf("%d was charged and %d was used", sum, o.used)
		}
	})
}

// TestWorkConserving checks that a target with room never leaves an offer
// waiting.
func TestWorkConserving(t *testing.T) {
	table := counter.New(counter.Config{Self: self})
	s := scheduler.New(config(), table)
	for i, c := range classes[:5] {
		acts := s.UpdateOffers(identifier.Instant(i+1), "r", []scheduler.Offer{{Class: c, Count: 1}})
		if want := i < 4; want != (len(acts.Grants) == 1) {
			t.Fatalf("offer %d of %v led to %d grants", i, c, len(acts.Grants))
		}
	}
}

// TestCompetingElsewhere checks that a workspace that this agent hears of late,
// while it competes elsewhere, keeps its place and is not lifted.
func TestCompetingElsewhere(t *testing.T) {
	for name, tc := range map[string]struct {
		competes bool
		want     identifier.Cost
	}{
		"competes elsewhere": {competes: true, want: 1000},
		"was idle":           {competes: false, want: 4900},
	} {
		t.Run(name, func(t *testing.T) {
			table := counter.New(counter.Config{Self: self})
			s := scheduler.New(config(), table)
			peer := identifier.Origin{Target: "u", Incarnation: 1}
			table.Merge(1, counter.Row{Workspace: "a", Origin: peer, Value: 5000})
			table.Merge(1, counter.Row{Workspace: "b", Origin: peer, Value: 1000})
			now := identifier.Instant(1)
			full := func(c identifier.Class) {
				s.UpdateOffers(now, "r", []scheduler.Offer{{Class: c, Count: 9}})
			}
			s.SetDraining(true)
			full(identifier.Class{Kind: "draft", Workspace: "a"})
			now = now.Add(300 * time.Millisecond)
			s.Tick(now)
			if tc.competes {
				table.Merge(now, counter.Row{Workspace: "b"})
			}
			full(identifier.Class{Kind: "draft", Workspace: "b"})
			now = now.Add(300 * time.Millisecond)
			s.Tick(now)
			if got := table.Level("b"); got != tc.want {
				t.Fatalf("level is %d, want %d", got, tc.want)
			}
		})
	}
}

// TestReported checks that a lagging report of our own work changes nothing,
// that foreign work takes slots, and that a target that lies keeps half of them.
func TestReported(t *testing.T) {
	for name, tc := range map[string]struct {
		report int
		want   int
	}{
		"own work":     {report: 2, want: 1},
		"foreign work": {report: 3, want: 0},
		"a lie":        {report: 1 << 30, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := config()
			cfg.MaxOvercommit = 0
			s := scheduler.New(cfg, counter.New(counter.Config{Self: self}))
			c := identifier.Class{Kind: "draft", Workspace: "a"}
			acts := s.UpdateOffers(1, "r", []scheduler.Offer{{Class: c, Count: 2}})
			for i, g := range acts.Grants {
				if _, err := s.Accept(1, g.ID, scheduler.Handover{Request: identifier.Request(fmt.Sprint(i)), Class: c}); err != nil {
					t.Fatal(err)
				}
			}
			s.Tick(2)
			s.ReportBatch(3, tc.report)
			s.UpdateOffers(4, "r", []scheduler.Offer{{Class: c, Count: 3}})
			if got := s.Load().Granted; got != tc.want {
				t.Fatalf("%d requests were granted, want %d", got, tc.want)
			}
		})
	}
}
