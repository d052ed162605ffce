package admitter

import (
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// Target is what is known of one target from the platform.
type Target struct {
	ID   identifier.Target
	Pool identifier.Pool
	// Address is where it is reached, as host:port.
	Address string
	// Slots is how many requests it runs at once.
	Slots int
	// DataCentre is where it runs.
	DataCentre identifier.DataCentre
	// Leaving tells that it takes no new work.
	Leaving bool
	// Incarnation changes when the target has started anew and holds nothing. Zero if it is
	// not known.
	Incarnation int64
}

// boot is one run of a target. What is known of one says nothing about another.
type boot struct {
	id      identifier.Target
	address string
	start   int64
}

func (t Target) boot() boot { return boot{id: t.ID, address: t.Address, start: t.Incarnation} }

// Load is what one router has under way at one target.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Running counts the requests that were sent and have not ended.
	Running int
	// PrefillTokens is the prompt tokens that it is expected to read before those of a
	// new request.
	PrefillTokens int
	// MemoryTokens is the tokens that the running requests may come to hold.
	MemoryTokens int
}

func (l Load) plus(m Load) Load {
	return Load{Running: l.Running + m.Running, PrefillTokens: l.PrefillTokens + m.PrefillTokens, MemoryTokens: l.MemoryTokens + m.MemoryTokens}
}

// state is what this router knows of one target.
type state struct {
	Target
	// own is what this router has under way, others what all others have.
	own    Load
	others Load
	parts  held
	pace   pace
	// permit tells whether it may be given work.
	permit permitter.Permit
	// failing is the smoothed share of answers that are failures.
	failing float64
	// tried is when a failing target was last given a request.
	tried identifier.Instant
	// ahead is the time that it needs for the prompts ahead, as of the last summary
	// of its pool.
	ahead time.Duration
}

// decide tells whether the target may be given work.
func (t *state) decide(now identifier.Instant) permitter.Decision {
	return t.permit.At(now, t.own.Running)
}

// takesWork tells the same in one word.
func (t *state) takesWork(now identifier.Instant) bool { return t.decide(now).Open() }

// load returns what all routers have under way at the target.
func (t *state) load() Load { return t.own.plus(t.others) }

// pace is how a target reads prompts: the time to a first token is base plus
// slope for each token ahead.
type pace struct {
	base time.Duration
	// slope is in nanoseconds a token.
	slope float64
}

const (
	// initialBase and initialSlope are assumed of a target that has shown none.
	initialBase  = 50 * time.Millisecond
	initialSlope = 12_000
	// shortRead and longRead are the tokens up to which the base shows, and from
	// which the slope does.
	shortRead = 800
	longRead  = 2500
	// paceStep is the part by which one observation moves an estimate.
	paceStep = 0.04
	// paceQuantile is the share of observations below the estimates. It is low,
	// as what is not known of others' requests makes the rest look slow.
	paceQuantile = 0.35
)

// read returns the time in which so many tokens are read.
func (p pace) read(tokens int) time.Duration { return time.Duration(p.slope * float64(tokens)) }

// learn takes in that a first token came after took with so many tokens ahead.
func (p *pace) learn(tokens int, took time.Duration) {
	switch {
	case tokens <= shortRead:
		took -= p.read(tokens)
		p.base = time.Duration(toward(float64(p.base), float64(took)))
	case tokens >= longRead:
		p.slope = toward(p.slope, float64(took-p.base)/float64(tokens))
	}
}

// toward moves an estimate of a low quantile by one observation.
func toward(estimate, seen float64) float64 {
	if seen > estimate {
		return estimate * (1 + paceStep*paceQuantile)
	}
	return estimate * (1 - paceStep*(1-paceQuantile))
}

const (
	// failWeight is the weight of one answer in the share of failures.
	failWeight = 0.1
	// failMost is the share of failures above the pool's from which a target is
	// only tried now and then.
	failMost = 0.2
	// tryEvery is how often it is tried.
	tryEvery = 300 * time.Millisecond
)

// answered takes in that the target answered, with a failure or not.
func (t *state) answered(failed bool) {
	t.permit.Answered()
	v := 0.0
	if failed {
		v = 1
	}
	t.failing += (v - t.failing) * failWeight
}
