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
	slots         = 3
	maxOvercommit = 2
)

var self = identifier.Origin{Target: "t", Incarnation: 7}

func config() scheduler.Config {
	return scheduler.Config{
		Self: self, Slots: slots, MaxOvercommit: maxOvercommit, GrantTTL: 500 * time.Millisecond, CreditWindow: 100,
		BackloggedAfter: 200 * time.Millisecond, IdleAfter: time.Second, PreemptInterval: 100 * time.Millisecond,
		Kinds: map[identifier.Kind]scheduler.KindRule{
			"draft": {Share: 0.4, Estimate: 20}, "answer": {Share: 0.3, Urgency: 2, Estimate: 5}, "tag": {Estimate: 2},
		},
	}
}

// targetModel is the test oracle. It models a target that carries out the scheduler's
// actions, and checks them.
type targetModel struct {
	t       *rapid.T
	sched   *scheduler.Scheduler
	table   *counter.Table
	now     identifier.Instant
	grants  map[uint64]scheduler.Grant
	expires map[uint64]identifier.Instant
	// running are the requests that occupy a slot.
	running map[identifier.Request]bool
	// usedBy is the cost so far of each request that was handed over and has not
	// finished.
	usedBy map[identifier.Request]identifier.Cost
	// preempted are the requests that were preempted and not resumed.
	preempted map[identifier.Request]bool
	// used is the total cost of the finished requests.
	used identifier.Cost
	// serial is the number of the latest request.
	serial   int
	draining bool
	// servedKinds are the kinds of which the target takes requests; nil means all.
	servedKinds map[identifier.Kind]bool
}

// apply checks actions and carries them out.
func (o *targetModel) apply(acts scheduler.Actions) {
	for _, g := range acts.Grants {
		if o.draining {
			o.t.Fatalf("grant %d was issued while the target is draining", g.ID.Number)
		}
		if o.servedKinds != nil && !o.servedKinds[g.Class.Kind] {
			o.t.Fatalf("grant %d was issued for kind %s, which is not served", g.ID.Number, g.Class.Kind)
		}
		if _, issued := o.expires[g.ID.Number]; issued {
			o.t.Fatalf("grant %d was issued twice", g.ID.Number)
		}
		o.grants[g.ID.Number] = g
		o.expires[g.ID.Number] = o.now.Add(500 * time.Millisecond)
	}
	for _, r := range acts.Preempts {
		if !o.running[r] {
			o.t.Fatalf("request %s was preempted but does not run", r)
		}
		delete(o.running, r)
		o.preempted[r] = true
	}
	for _, r := range acts.Starts {
		if _, accepted := o.usedBy[r]; !accepted || o.running[r] {
			o.t.Fatalf("request %s was started twice or never handed over", r)
		}
		delete(o.preempted, r)
		o.running[r] = true
	}
	if len(o.running) > slots {
		o.t.Fatalf("%d requests run at a target with %d slots", len(o.running), slots)
	}
	if l := o.sched.Load(); l.Running+l.Queued+l.Granted > slots+maxOvercommit {
		o.t.Fatalf("load exceeds %d slots and %d overcommitted grants: %+v", slots, maxOvercommit, l)
	}
}

// accept hands a new request over under grant g, which may have expired. With
// otherIncarnation, it presents the grant as one of another incarnation.
func (o *targetModel) accept(g scheduler.Grant, otherIncarnation bool) {
	id := g.ID
	if otherIncarnation {
		id.Origin.Incarnation++
	}
	o.serial++
	r := identifier.Request(fmt.Sprintf("r%04d", o.serial))
	o.usedBy[r] = 0
	acts, err := o.sched.Accept(o.now, id, scheduler.Handover{Request: r, Class: g.Class, Resumable: true})
	_, outstanding := o.grants[g.ID.Number]
	valid := outstanding && !otherIncarnation && o.now < o.expires[g.ID.Number]
	if valid != (err == nil) {
		o.t.Fatalf("grant %d: valid is %v, but Accept returned %v", g.ID.Number, valid, err)
	}
	if err != nil {
		delete(o.usedBy, r)
		return
	}
	delete(o.grants, g.ID.Number)
	o.apply(acts)
}

// finish adds more to the cost of request r and ends it.
func (o *targetModel) finish(r identifier.Request, more identifier.Cost) {
	used := o.usedBy[r] + more
	o.used += used
	delete(o.usedBy, r)
	delete(o.running, r)
	delete(o.preempted, r)
	o.apply(o.sched.Finish(o.now, r, used))
}

// tick advances the time by d, expires grants and ticks the scheduler.
func (o *targetModel) tick(d time.Duration) {
	o.now = o.now.Add(d)
	for n := range o.grants {
		if o.now >= o.expires[n] {
			delete(o.grants, n)
		}
	}
	o.apply(o.sched.Tick(o.now))
}

// lowestRequest returns the lowest of the requests, or an empty one if there are none.
func (o *targetModel) lowestRequest(from map[identifier.Request]bool) identifier.Request {
	var lowest identifier.Request
	for r := range from {
		if lowest == "" || r < lowest {
			lowest = r
		}
	}
	return lowest
}

// oldestGrant returns the outstanding grant with the lowest number.
func (o *targetModel) oldestGrant() (scheduler.Grant, bool) {
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

// TestScheduler drives a scheduler with random events. It checks that the slots are not
// exceeded, that no request is started twice, that only valid grants are accepted, that
// nothing is granted while draining, and that every request finishes in the end.
func TestScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := counter.New(counter.Config{Self: self})
		o := &targetModel{
			t: t, table: table, sched: scheduler.New(config(), table), now: 1,
			grants: map[uint64]scheduler.Grant{}, expires: map[uint64]identifier.Instant{},
			running: map[identifier.Request]bool{}, usedBy: map[identifier.Request]identifier.Cost{}, preempted: map[identifier.Request]bool{},
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			o.randomEvent()
		}
		o.finishAll()
	})
}

// randomEvent draws one event and passes it to the scheduler.
func (o *targetModel) randomEvent() {
	t := o.t
	router := identifier.Router(fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "router")))
	switch rapid.IntRange(0, 10).Draw(t, "event") {
	case 0, 1:
		c := classes[rapid.IntRange(0, len(classes)-1).Draw(t, "class")]
		o.apply(o.sched.UpdateOffers(o.now, router, []scheduler.Offer{{
			Class: c, Count: rapid.IntRange(0, 4).Draw(t, "count"), CostHint: identifier.Cost(rapid.IntRange(0, 30).Draw(t, "hint")),
		}}))
	case 2, 3:
		if rapid.IntRange(0, 9).Draw(t, "late") == 0 {
			o.now = o.now.Add(600 * time.Millisecond) // The process was paused.
		}
		if g, ok := o.oldestGrant(); ok {
			o.accept(g, rapid.IntRange(0, 9).Draw(t, "other") == 0)
		}
	case 4:
		if g, ok := o.oldestGrant(); ok {
			delete(o.grants, g.ID.Number)
			o.apply(o.sched.Decline(o.now, g.ID))
		}
	case 5:
		if r := o.lowestRequest(o.running); r != "" {
			o.finish(r, identifier.Cost(rapid.IntRange(0, 40).Draw(t, "cost")))
		}
	case 6:
		if r := o.lowestRequest(o.running); r != "" {
			o.usedBy[r] += identifier.Cost(rapid.IntRange(1, 10).Draw(t, "tokens"))
			o.sched.Progress(o.now, r, o.usedBy[r])
		}
	case 7:
		o.sched.DropRouter(o.now, router)
	case 8:
		o.draining = rapid.IntRange(0, 3).Draw(t, "drain") == 0
		o.sched.SetDraining(o.draining)
	case 10:
		o.changeServedKinds()
	case 9:
		o.tick(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
	}
}

// changeServedKinds draws the kinds of which the target takes requests.
func (o *targetModel) changeServedKinds() {
	o.servedKinds = nil
	if rapid.Bool().Draw(o.t, "some") {
		o.servedKinds = map[identifier.Kind]bool{}
		for _, k := range []identifier.Kind{"draft", "answer", "tag"} {
			o.servedKinds[k] = rapid.Bool().Draw(o.t, string(k))
		}
	}
	o.apply(o.sched.SetServedKinds(o.now, o.servedKinds))
}

// finishAll drains the target and checks that it still finishes every request that was
// handed over.
func (o *targetModel) finishAll() {
	o.draining = true
	o.sched.SetDraining(true)
	for range 50 {
		o.tick(time.Second)
		for r := o.lowestRequest(o.running); r != ""; r = o.lowestRequest(o.running) {
			o.finish(r, 1)
		}
	}
	if len(o.usedBy) > 0 || !o.sched.Idle() {
		o.t.Fatalf("%d requests never finished, %d of them are preempted", len(o.usedBy), len(o.preempted))
	}
}

// TestCharges checks that exactly the cost used remains on the counters after grants
// have expired or were declined and estimates were wrong.
func TestCharges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config()
		cfg.CreditWindow = 1 << 40 // No workspace starts a new period.
		table := counter.New(counter.Config{Self: self})
		o := &targetModel{
			t: t, table: table, sched: scheduler.New(cfg, table), now: 1,
			grants: map[uint64]scheduler.Grant{}, expires: map[uint64]identifier.Instant{},
			running: map[identifier.Request]bool{}, usedBy: map[identifier.Request]identifier.Cost{}, preempted: map[identifier.Request]bool{},
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			o.randomEvent()
		}
		o.finishAll()
		if sum := table.Level("a") + table.Level("b") + table.Level("c"); sum != o.used {
			t.Fatalf("%d was charged and %d was used", sum, o.used)
		}
	})
}

// TestWorkConserving checks that a target with capacity leaves no offer waiting.
func TestWorkConserving(t *testing.T) {
	table := counter.New(counter.Config{Self: self})
	s := scheduler.New(config(), table)
	for i, c := range classes[:5] {
		acts := s.UpdateOffers(identifier.Instant(i+1), "r", []scheduler.Offer{{Class: c, Count: 1}})
		if want := i < 4; want != (len(acts.Grants) == 1) {
			t.Fatalf("offer %d, of %v, led to %d grants", i, c, len(acts.Grants))
		}
	}
}

// TestCompetingElsewhere checks that a workspace keeps its level if it already competes
// elsewhere when this agent first gets an offer of it, and that it is clamped to the
// credit window if it was idle.
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
			table.Merge(1, counter.Row{Workspace: "a", Origin: peer, Charged: 5000})
			table.Merge(1, counter.Row{Workspace: "b", Origin: peer, Charged: 1000})
			now := identifier.Instant(1)
			offer := func(c identifier.Class) {
				s.UpdateOffers(now, "r", []scheduler.Offer{{Class: c, Count: 9}})
			}
			s.SetDraining(true)
			offer(identifier.Class{Kind: "draft", Workspace: "a"})
			now = now.Add(300 * time.Millisecond)
			s.Tick(now)
			if tc.competes {
				table.Merge(now, counter.Row{Workspace: "b"})
			}
			offer(identifier.Class{Kind: "draft", Workspace: "b"})
			now = now.Add(300 * time.Millisecond)
			s.Tick(now)
			if got := table.Level("b"); got != tc.want {
				t.Fatalf("level is %d, want %d", got, tc.want)
			}
		})
	}
}

// TestReportBatch checks that a lagging report of our own requests changes nothing,
// that work of others takes slots, and that a target that reports too much keeps half
// of them.
func TestReportBatch(t *testing.T) {
	for name, tc := range map[string]struct {
		batch int
		want  int
	}{
		"own work":        {batch: 2, want: 1},
		"foreign work":    {batch: 3, want: 0},
		"inflated report": {batch: 1 << 30, want: 0},
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
			s.ReportBatch(3, tc.batch)
			s.UpdateOffers(4, "r", []scheduler.Offer{{Class: c, Count: 3}})
			if got := s.Load().Granted; got != tc.want {
				t.Fatalf("%d grants are outstanding, want %d", got, tc.want)
			}
		})
	}
}
