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

// incarnation is one run of a target. What is known of one says nothing about another.
type incarnation struct {
	id      identifier.Target
	address string
	number  int64
}

func (t Target) incarnation() incarnation {
	return incarnation{id: t.ID, address: t.Address, number: t.Incarnation}
}

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

func (l Load) add(m Load) Load {
	return Load{Running: l.Running + m.Running, PrefillTokens: l.PrefillTokens + m.PrefillTokens, MemoryTokens: l.MemoryTokens + m.MemoryTokens}
}

// targetState is what this router knows of one target.
type targetState struct {
	Target
	// ownLoad is what this router has under way, others what all others have.
	ownLoad  Load
	peerLoad Load
	prefixes prefixCache
	latency  latencyEstimate
	// admission tells whether it may be given work.
	admission permitter.Permit
	// failureRate is the smoothed share of answers that are failures.
	failureRate float64
	// lastAttempt is when a failing target was last given a request.
	lastAttempt identifier.Instant
	// queueDelay is the time that it needs for the prompts queueDelay, as of the last summary
	// of its pool.
	queueDelay time.Duration
}

// admissionDecision tells whether the target may be given work.
func (t *targetState) admissionDecision(now identifier.Instant) permitter.Decision {
	return t.admission.At(now, t.ownLoad.Running)
}

// acceptsWork tells the same in one word.
func (t *targetState) acceptsWork(now identifier.Instant) bool {
	return t.admissionDecision(now).Open()
}

// totalLoad returns what all routers have under way at the target.
func (t *targetState) totalLoad() Load { return t.ownLoad.add(t.peerLoad) }

// latencyEstimate is how a target reads prompts: the time to a first token is base plus
// slope for each token ahead.
type latencyEstimate struct {
	base time.Duration
	// perToken is in nanoseconds a token.
	perToken float64
}

const (
	// initialBase and initialSlope are assumed of a target that has shown none.
	initialBase     = 50 * time.Millisecond
	initialPerToken = 12_000
	// shortPrefill and longRead are the tokens up to which the base shows, and from
	// which the slope does.
	shortPrefill = 800
	longPrefill  = 2500
	// latencyStep is the part by which one observation moves an estimate.
	latencyStep = 0.04
	// latencyQuantile is the share of observations below the estimates. It is low,
	// as what is not known of others' requests makes the rest look slow.
	latencyQuantile = 0.35
)

// prefillTime returns the time in which so many tokens are prefillTime.
func (e latencyEstimate) prefillTime(tokens int) time.Duration {
	return time.Duration(e.perToken * float64(tokens))
}

// observe takes in that a first token came after took with so many tokens ahead.
func (e *latencyEstimate) observe(tokens int, elapsed time.Duration) {
	switch {
	case tokens <= shortPrefill:
		elapsed -= e.prefillTime(tokens)
		e.base = time.Duration(updateQuantile(float64(e.base), float64(elapsed)))
	case tokens >= longPrefill:
		e.perToken = updateQuantile(e.perToken, float64(elapsed-e.base)/float64(tokens))
	}
}

// updateQuantile moves an estimate of a low quantile by one observation.
func updateQuantile(estimate, observed float64) float64 {
	if observed > estimate {
		return estimate * (1 + latencyStep*latencyQuantile)
	}
	return estimate * (1 - latencyStep*(1-latencyQuantile))
}

const (
	// failureWeight is the weight of one answer in the share of failures.
	failureWeight = 0.1
	// failureMargin is the share of failures above the pool's from which a target is
	// only tried now and then.
	failureMargin = 0.2
	// probeInterval is how often it is tried.
	probeInterval = 300 * time.Millisecond
)

// recordAnswer takes in that the target recordAnswer, with a failure or not.
func (t *targetState) recordAnswer(failed bool) {
	t.admission.Answered()
	sample := 0.0
	if failed {
		sample = 1
	}
	t.failureRate += (sample - t.failureRate) * failureWeight
}
