package queuer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"buckthorndrum/identifier"
	"buckthorndrum/queuer"
	"buckthorndrum/scheduler"
	"buckthorndrum/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m, 5000) }

const (
	maxQueued = 3
	maxBytes  = 60
)

func config() queuer.Config {
	return queuer.Config{
		Self: "r", MaxBytes: maxBytes, InitialFanout: 1, FanoutDoublingTime: 4 * time.Millisecond, LongWaitThreshold: 500 * time.Millisecond, BatchDelay: 250 * time.Millisecond,
		Kinds: map[identifier.Kind]queuer.KindRule{"k": {Pool: "p", MaxQueued: maxQueued, MaxQueuedBytes: 40}},
	}
}

var targets = []identifier.Target{"t0", "t1", "t2"}

// oracle models which requests of a router are queued and which offers the agents hold.
type oracle struct {
	t       *rapid.T
	q       *queuer.Queuer
	now     identifier.Instant
	waiting map[identifier.Request]queuer.Item
	// offers are the counts that each linked agent holds, by class.
	offers map[identifier.Target]map[identifier.Class]int
	// servedKinds are the kinds of which each agent takes requests.
	servedKinds map[identifier.Target]map[identifier.Kind]bool
	serial      int
}

// class draws a class.
func (o *oracle) class() identifier.Class {
	return identifier.Class{Kind: "k", Workspace: identifier.Workspace(fmt.Sprint("w", rapid.IntRange(0, 1).Draw(o.t, "workspace")))}
}

// target draws a target.
func (o *oracle) target() identifier.Target {
	return targets[rapid.IntRange(0, len(targets)-1).Draw(o.t, "target")]
}

// enqueue draws a request and enqueues it.
func (o *oracle) enqueue() {
	o.serial++
	it := queuer.Item{
		Request: identifier.Request(fmt.Sprint(o.serial)), Class: o.class(), Bytes: rapid.IntRange(0, 30).Draw(o.t, "bytes"),
		Arrived: o.now, Deadline: o.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(o.t, "deadline")) * time.Millisecond),
	}
	if rapid.IntRange(0, 3).Draw(o.t, "bound") == 0 {
		it.BoundTarget = o.target()
	}
	err := o.q.Enqueue(o.now, it)
	var ref queuer.Refusal
	if err != nil && !errors.As(err, &ref) {
		o.t.Fatalf("Enqueue returned %v", err)
	}
	if err == nil {
		o.waiting[it.Request] = it
	}
}

// remove records that a request left the queue, which it may do only once.
func (o *oracle) remove(it queuer.Item) {
	if _, ok := o.waiting[it.Request]; !ok {
		o.t.Fatalf("request %s left the queue but was not in it", it.Request)
	}
	delete(o.waiting, it.Request)
}

// grant draws a grant, dequeues a request for it and sometimes requeues it.
func (o *oracle) grant() {
	t, c := o.target(), o.class()
	it, ok := o.q.Dequeue(o.now, t, c)
	if !ok {
		for _, w := range o.waiting {
			if w.Class == c && (w.BoundTarget == "" || w.BoundTarget == t) {
				o.t.Fatalf("grant of %s was declined while request %s waits", t, w.Request)
			}
		}
		delete(o.offers[t], c) // The agent removes an offer whose grant is declined.
		return
	}
	o.remove(it)
	if it.Class != c || (it.BoundTarget != "" && it.BoundTarget != t) {
		o.t.Fatalf("grant of %s for %v got request %+v", t, c, it)
	}
	if n := o.offers[t][c] - 1; n > 0 {
		o.offers[t][c] = n
	} else {
		delete(o.offers[t], c)
	}
	if rapid.Bool().Draw(o.t, "void") {
		o.q.Requeue(it)
		o.waiting[it.Request] = it
	}
}

// applyUpdates sends the pending offers to the agents.
func (o *oracle) applyUpdates() {
	for _, u := range o.q.Updates(o.now) {
		for _, of := range u.Offers {
			o.apply(u.Target, of)
		}
	}
}

// apply records that agent t received an offer.
func (o *oracle) apply(t identifier.Target, of scheduler.Offer) {
	if o.offers[t] == nil {
		o.t.Fatalf("agent %s is not linked but was sent an offer of %v", t, of.Class)
	}
	if of.Count <= 0 {
		delete(o.offers[t], of.Class)
		return
	}
	o.offers[t][of.Class] = of.Count
}

// setLink links or unlinks target t.
func (o *oracle) setLink(t identifier.Target, up bool) {
	switch {
	case !up:
		delete(o.offers, t)
		o.q.DropAgent(t)
	default:
		if o.offers[t] == nil {
			o.offers[t] = map[identifier.Class]int{}
		}
		o.q.SetAgent(t, "p", true, rapid.IntRange(-1, 2).Draw(o.t, "room"))
		o.changeServedKinds(t)
	}
}

// changeServedKinds draws the kinds of which target t takes requests.
func (o *oracle) changeServedKinds(t identifier.Target) {
	o.servedKinds[t] = map[identifier.Kind]bool{}
	for k := range config().Kinds {
		o.servedKinds[t][k] = rapid.IntRange(0, 3).Draw(o.t, "serves") > 0
	}
	o.q.SetServedKinds(t, o.servedKinds[t])
}

// mustKnow reports whether agent t has to hold an offer of an unbound request of kind
// k: it takes such requests, or no linked agent does.
func (o *oracle) mustKnow(t identifier.Target, k identifier.Kind) bool {
	for u := range o.offers {
		if o.servedKinds[u][k] {
			return o.servedKinds[t][k]
		}
	}
	return true
}

// check compares the totals of the queuer with those of the oracle.
func (o *oracle) check() {
	count, bytes := o.q.Len()
	sum := 0
	for _, it := range o.waiting {
		sum += it.Bytes
	}
	if count != len(o.waiting) || bytes != sum {
		o.t.Fatalf("%d requests of %d bytes are queued, but Len returned %d of %d", len(o.waiting), sum, count, bytes)
	}
}

// TestQueuer drives the queues of a router with random events. It checks that every
// request leaves once, that the totals are right, and that in the end every linked
// agent that may serve a queued request holds an offer of it and no agent holds an
// offer of a class with nothing queued for it.
func TestQueuer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{t: t, q: queuer.New(config()), now: 1, waiting: map[identifier.Request]queuer.Item{}, offers: map[identifier.Target]map[identifier.Class]int{}, servedKinds: map[identifier.Target]map[identifier.Kind]bool{}}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				o.enqueue()
			case 3, 4:
				o.grant()
			case 5:
				o.setLink(o.target(), rapid.IntRange(0, 2).Draw(t, "up") > 0)
			case 6:
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				for _, it := range o.q.RemoveExpired(o.now) {
					if it.Deadline > o.now {
						t.Fatalf("request %s was removed %s before its deadline", it.Request, it.Deadline.Sub(o.now))
					}
					o.remove(it)
				}
			case 7:
				r := identifier.Request(fmt.Sprint(rapid.IntRange(1, o.serial+1).Draw(t, "cancel")))
				if it, ok := o.waiting[r]; ok != o.q.Cancel(r) {
					t.Fatalf("Cancel of %s returned the wrong value: queued is %v", r, ok)
				} else if ok {
					o.remove(it)
				}
			default:
				o.applyUpdates()
			}
			o.check()
		}
		o.checkConverged()
	})
}

// checkConverged gives the queuer the time to send all offers, and checks which offers
// the agents hold.
func (o *oracle) checkConverged() {
	for range 40 {
		o.now = o.now.Add(150 * time.Millisecond)
		o.applyUpdates()
	}
	required := map[identifier.Target]map[identifier.Class]bool{}
	allowed := map[identifier.Target]map[identifier.Class]bool{}
	for t := range o.offers {
		allowed[t] = map[identifier.Class]bool{}
		required[t] = map[identifier.Class]bool{}
		for _, it := range o.waiting {
			if it.BoundTarget == "" || it.BoundTarget == t {
				allowed[t][it.Class] = true
			}
			if it.BoundTarget == t || (it.BoundTarget == "" && o.mustKnow(t, it.Class.Kind)) {
				required[t][it.Class] = true
			}
		}
		for c := range required[t] {
			if o.offers[t][c] == 0 {
				o.t.Fatalf("agent %s holds no offer of %v", t, c)
			}
		}
		for c := range o.offers[t] {
			if !allowed[t][c] {
				o.t.Fatalf("agent %s holds an offer of %v, but nothing is queued for it", t, c)
			}
		}
	}
}

// TestFloodMemoryBounded checks that a flood of requests uses no more memory than the
// bounds allow, whatever its size.
func TestFloodMemoryBounded(t *testing.T) {
	q := queuer.New(config())
	refused := 0
	for i := range 100_000 {
		err := q.Enqueue(identifier.Instant(i+1), queuer.Item{
			Request: identifier.Request(fmt.Sprint(i)), Bytes: 10, Deadline: 1 << 62,
			Class: identifier.Class{Kind: "k", Workspace: identifier.Workspace(fmt.Sprint("w", i%50))},
		})
		if err != nil {
			refused++
		}
	}
	if _, bytes := q.Len(); bytes > maxBytes {
		t.Fatalf("%d bytes are queued, the bound is %d", bytes, maxBytes)
	}
	if refused != 100_000-maxBytes/10 {
		t.Fatalf("%d requests were refused", refused)
	}
}
