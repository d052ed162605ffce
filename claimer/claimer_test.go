package claimer_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"buckthorndrum/claimer"
	"buckthorndrum/identifier"
	"buckthorndrum/keeper"
	"buckthorndrum/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m, 20000) }

// fakeAgent is one agent over all its incarnations.
type fakeAgent struct {
	incarnation int
	keys        *keeper.KeyTable
}

// handover is a message on its way to an agent. It may arrive late and twice.
type handover struct {
	key     string
	attempt int
}

// fakeAttempt is an attempt at one router.
type fakeAttempt struct {
	claimer.Attempt
	action claimer.Action
	// ended is set if the caller receives nothing more from the attempt: it has ended,
	// its router has died, or the caller's connection was lost.
	ended bool
}

// history is one random sequence of events for one key of a caller.
type history struct {
	t             *rapid.T
	agents        []*fakeAgent
	claim         string
	previousClaim string
	attempts      []*fakeAttempt
	handovers     []handover
	// runs is the reference value: how often the target has executed the request.
	runs       int
	toldNotRun bool
	callerKey  string
	// refusesRepeats is set if the target refuses repeats. executed holds the keys
	// that the target has run.
	refusesRepeats bool
	executed       map[string]bool
	// keyTooOld is set once the caller's key is too old to be accepted. Claims expire
	// only after that.
	keyTooOld bool
}

const (
	numAgents   = 2
	maxAttempts = 4
	maxEvents   = 60
)

// chance draws whether a fault occurs, with the given probability. rapid draws
// small numbers and the ends of a range more often than others, so chance uses
// pick with 100 choices.
func (h *history) chance(what string, percent int) bool {
	return h.pick(what, 100) >= 100-percent
}

// pick draws a number from 0 to n-1, all with the same probability. rapid
// shrinks it to 0.
func (h *history) pick(what string, n int) int {
	return int(rapid.Uint32().Draw(h.t, what)*0x9e3779b1>>7) % n
}

func (h *history) keyOf(agent int, seq uint64) string {
	return fmt.Sprintf("%d/%d/%d", agent, h.agents[agent].incarnation, seq)
}

// lookUp returns the agent and the sequence number of a key, and whether the
// incarnation that minted the key is still alive.
func (h *history) lookUp(key string) (*fakeAgent, uint64, bool) {
	var agent, inc int
	var seq uint64
	if _, err := fmt.Sscanf(key, "%d/%d/%d", &agent, &inc, &seq); err != nil {
		h.t.Fatalf("key %q is malformed", key)
	}
	a := h.agents[agent]
	return a, seq, a.incarnation == inc
}

// perform carries out an attempt's action with random faults.
func (h *history) perform(i int, a *fakeAttempt) (claimer.Event, string) {
	switch a.action {
	case claimer.Mint:
		if h.chance("mint fails", 15) {
			return claimer.Failed, ""
		}
		n := h.pick("mint at", numAgents)
		return claimer.Minted, h.keyOf(n, h.agents[n].keys.Mint())
	case claimer.Create:
		return h.checkKeyAge(h.create(a.OwnKey))
	case claimer.Read:
		return h.checkKeyAge(h.read())
	case claimer.CloseOwn:
		if !h.chance("close is lost", 30) {
			h.ask(a.OwnKey, true)
		}
		return claimer.Closed, ""
	case claimer.AskState:
		a.TargetRefusesRepeats = h.refusesRepeats
		return h.ask(a.WinningKey, false), ""
	case claimer.Close:
		return h.ask(a.WinningKey, true), ""
	case claimer.Queue:
		return h.queue(i, a)
	case claimer.Follow:
		return h.follow(a), ""
	}
	h.t.Fatalf("attempt has action %q", a.action)
	return "", ""
}

func (h *history) create(own string) (claimer.Event, string) {
	if h.chance("service refuses", 15) {
		return claimer.Failed, ""
	}
	if h.chance("call is lost", 10) {
		return claimer.Lost, ""
	}
	won := h.claim == ""
	if won {
		h.previousClaim, h.claim = "", own
	}
	switch {
	case h.chance("answer is lost", 25):
		return claimer.Lost, ""
	case won:
		return claimer.Created, ""
	}
	return claimer.Exists, h.claim
}

// checkKeyAge replaces the service's answer by Stale if the key has become too
// old in the meantime, as a router does after a wait or a pause.
func (h *history) checkKeyAge(e claimer.Event, key string) (claimer.Event, string) {
	if h.keyTooOld && (e == claimer.Created || e == claimer.Exists) {
		return claimer.Stale, ""
	}
	return e, key
}

// advanceTime makes the key too old at the first call and its claim expire at
// the next.
func (h *history) advanceTime() {
	if h.keyTooOld {
		h.previousClaim, h.claim = "", ""
	}
	h.keyTooOld = true
}

// read reads the claim. It may return the value before the latest write.
func (h *history) read() (claimer.Event, string) {
	v := h.claim
	if h.chance("old value", 25) {
		v = h.previousClaim
	}
	switch {
	case h.chance("service is down", 20):
		return claimer.Failed, ""
	case v == "":
		return claimer.Absent, ""
	}
	return claimer.Exists, v
}

func (h *history) ask(key string, closing bool) claimer.Event {
	a, seq, alive := h.lookUp(key)
	if !alive && !h.refusesRepeats {
		return claimer.Gone
	}
	if h.chance("agent is not reached", 15) {
		return claimer.Failed
	}
	if !alive && closing {
		return claimer.Gone
	}
	if !alive {
		return claimer.Revived
	}
	ask := a.keys.State
	if closing {
		ask = a.keys.Close
	}
	st, err := ask(seq)
	if err != nil {
		h.t.Fatal(err)
	}
	if h.chance("agent's answer is lost", 15) {
		return claimer.Lost
	}
	switch st {
	case keeper.Fresh:
		return claimer.Fresh
	case keeper.Closed:
		return claimer.Closed
	}
	return claimer.InUse
}

// queue makes the request be refused, leave the queue, or be handed over. After
// a handover only an answer shows what happened to the request.
func (h *history) queue(i int, a *fakeAttempt) (claimer.Event, string) {
	switch h.pick("queue", 10) {
	case 9:
		return claimer.Refused, ""
	case 7, 8:
		return claimer.NotExecuted, ""
	}
	m := handover{a.WinningKey, i}
	h.handovers = append(h.handovers, m)
	if h.chance("handover is late", 30) {
		return claimer.Lost, ""
	}
	return h.deliver(m), ""
}

// deliver delivers a handover to its agent. The handover carries a valid grant.
func (h *history) deliver(m handover) claimer.Event {
	a, seq, alive := h.lookUp(m.key)
	if !alive && !h.refusesRepeats {
		return claimer.Lost
	}
	if !alive {
		if h.chance("target is not reached", 10) {
			return claimer.NotExecuted
		}
		h.execute(m.key)
		return h.sendAnswer()
	}
	st, err := a.keys.Start(seq, identifier.Request(fmt.Sprint(m.attempt)))
	if err != nil {
		h.t.Fatal(err)
	}
	switch st {
	case keeper.Closed:
		return claimer.NotExecuted
	case keeper.Running, keeper.Ended:
		return h.sendAnswer()
	}
	if h.chance("target is not reached", 10) {
		if h.refusesRepeats {
			a.keys.Release(seq)
		} else {
			a.keys.Finish(seq, identifier.NotRun)
		}
		return claimer.NotExecuted
	}
	h.execute(m.key)
	if !h.chance("runs on", 30) {
		a.keys.Finish(seq, identifier.Done)
	}
	return h.sendAnswer()
}

// execute runs the request at the target. A target that refuses repeats runs a
// key only once.
func (h *history) execute(key string) {
	if h.refusesRepeats && h.executed[key] {
		return
	}
	h.executed[key] = true
	h.runs++
}

func (h *history) sendAnswer() claimer.Event {
	if h.chance("answer breaks", 30) {
		return claimer.Lost
	}
	return claimer.Done
}

// follow asks the winning key's agent for the answer.
func (h *history) follow(a *fakeAttempt) claimer.Event {
	if _, _, alive := h.lookUp(a.WinningKey); !alive {
		return claimer.Gone
	}
	return h.sendAnswer()
}

// begin starts another attempt unless the caller was told that the request did
// not run.
func (h *history) begin() {
	if h.toldNotRun || len(h.attempts) >= maxAttempts {
		return
	}
	if h.keyTooOld && h.callerKey == "" {
		return // The router refuses a key of this age before it does anything.
	}
	a := &fakeAttempt{Attempt: claimer.Attempt{First: len(h.attempts) == 0, WinningKey: h.callerKey}}
	a.action = a.Begin()
	h.attempts = append(h.attempts, a)
}

// step carries out one action of an attempt.
func (h *history) step(i int) {
	a := h.attempts[i]
	if a.ended {
		return
	}
	if a.action == claimer.End {
		a.ended = true
		h.deliverOutcome(i, a.Outcome())
		return
	}
	e, key := h.perform(i, a)
	a.action = a.Step(e, key)
}

// deliverOutcome passes an outcome to the caller. The caller ignores the first
// attempt once it has begun another.
func (h *history) deliverOutcome(i int, o identifier.Outcome) {
	if i == 0 && len(h.attempts) > 1 {
		return
	}
	switch o {
	case identifier.NotRun:
		h.toldNotRun = true
	case identifier.Done:
		if h.runs == 0 {
			h.t.Fatal("the caller was told done, and nothing has run")
		}
	}
}

func (h *history) check() {
	if h.runs > 1 {
		h.t.Fatalf("the request has run %d times", h.runs)
	}
	if h.toldNotRun && h.runs > 0 {
		h.t.Fatal("the caller was told not run, and the request has run")
	}
}

// randomEvent draws one event and applies it.
func (h *history) randomEvent() {
	i := h.pick("attempt", len(h.attempts))
	switch h.pick("event", 24) {
	case 18, 19, 20:
		h.begin()
	case 21:
		if h.chance("router dies", 30) {
			h.attempts[i].ended = true
		}
	case 22:
		if h.chance("agent crashes", 50) {
			a := h.agents[h.pick("crash", numAgents)]
			a.incarnation++
			a.keys = keeper.New()
		} else {
			h.advanceTime()
		}
	case 23:
		if len(h.handovers) > 0 {
			h.deliver(h.handovers[h.pick("again", len(h.handovers))])
		}
	default:
		h.step(i)
	}
}

// TestAtMostOnce checks in random histories of one key that the request runs at
// most once and that a caller who was told "not run" was told the truth.
// Attempts at several routers overlap, repeat and die; handovers arrive late and
// twice; agents crash; and the key-value service refuses calls, loses answers
// and returns outdated values.
func TestAtMostOnce(t *testing.T) {
	var seen coverage
	rapid.Check(t, func(t *rapid.T) {
		h := &history{t: t, executed: map[string]bool{}}
		h.refusesRepeats = h.chance("target refuses repeats", 30)
		for range numAgents {
			h.agents = append(h.agents, &fakeAgent{keys: keeper.New()})
		}
		if h.chance("caller brings a minted key", 30) {
			h.callerKey = h.keyOf(0, h.agents[0].keys.Mint())
		}
		h.begin()
		for range rapid.IntRange(1, maxEvents).Draw(t, "events") {
			h.randomEvent()
			h.check()
		}
		for _, m := range h.handovers {
			h.deliver(m) // Handovers still on their way arrive in the end.
		}
		h.check()
		seen.add(h)
	})
	seen.check(t)
}

// coverage counts how many histories reach the states of interest. Without them
// the test would prove little.
type coverage struct {
	all, ran, repeated, notRun, expired int
}

func (r *coverage) add(h *history) {
	r.all++
	r.ran += boolToInt(h.runs > 0)
	r.repeated += boolToInt(h.runs > 0 && len(h.attempts) > 1)
	r.notRun += boolToInt(h.toldNotRun)
	r.expired += boolToInt(h.runs > 0 && h.keyTooOld && h.claim == "")
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// check requires that at least one history in ten runs the request, that one in
// twenty runs it and repeats the key, that one in twenty reports "not run", and
// that in one in a hundred the claim expires after a run.
func (r *coverage) check(t *testing.T) {
	t.Logf("%d histories: %d ran, %d of them repeated, %d told not run, %d with an expired claim", r.all, r.ran, r.repeated, r.notRun, r.expired)
	if t.Failed() {
		return
	}
	if r.ran*10 < r.all || r.repeated*20 < r.all || r.notRun*20 < r.all || r.expired*100 < r.all {
		t.Errorf("too few histories reach the states to be tested: %+v", *r)
	}
}
