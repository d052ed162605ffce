package admitter

import (
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// Target describes a target as the platform lists it.
type Target struct {
	ID   identifier.Target
	Pool identifier.Pool
	// Software is the version of its software, empty if it is not known.
	Software identifier.Software
	// Address is the address at which it is reached, as host:port.
	Address string
	// Slots is how many requests it runs at once, zero for no limit.
	Slots int
	// DataCentre is the data centre in which it runs.
	DataCentre identifier.DataCentre
	// Region is the region of that data centre, empty if it is not known.
	Region identifier.Region
	// Leaving reports whether it is listed as leaving, that is, takes no new work.
	Leaving bool
	// ColdLeft is for how long it was still cold when its entry was written, zero if the
	// entry does not say.
	ColdLeft time.Duration
	// Incarnation changes when the target restarts with empty caches; a later incarnation
	// has a higher number. It is zero if it is not known.
	Incarnation int64
}

// incarnation identifies one incarnation of a target. What is known of one says nothing
// about another.
type incarnation struct {
	id      identifier.Target
	address string
	number  int64
}

func (t Target) incarnation() incarnation {
	return incarnation{id: t.ID, address: t.Address, number: t.Incarnation}
}

// Load is the load of the requests of one or more routers at one target.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Running is the number of requests that were sent and have not ended.
	Running int
	// PrefillTokens is the number of prompt tokens that the target is expected to prefill
	// before those of a new request.
	PrefillTokens int
	// MemoryTokens is the most memory that the running requests may use, in tokens.
	MemoryTokens int
}

func (l Load) add(m Load) Load {
	return Load{Running: l.Running + m.Running, PrefillTokens: l.PrefillTokens + m.PrefillTokens, MemoryTokens: l.MemoryTokens + m.MemoryTokens}
}

// targetState is what this router knows of one target.
type targetState struct {
	Target
	// ownLoad is the load of the requests of this router, peerLoad that of all others.
	ownLoad  Load
	peerLoad Load
	// pool is the pool that the target is listed in.
	pool *pool
	// sentTokens is the number of prompt tokens of the requests that this router has sent
	// to the target since the loads of the peers were taken (see unreportedLoad).
	sentTokens int
	prefixes   prefixCache
	latency    latencyEstimate
	// admission determines whether it may be given work.
	admission permitter.AdmissionState
	// limit keeps the requests of all routers to the rate that it names.
	limit permitter.SharedLimit
	// eventTime is the estimated time between two events of a stream, in nanoseconds, zero
	// if it is not known.
	eventTime float64
	// slowdown is how many times as long as the mean target of its pool the target takes,
	// as of the last summary of its pool, zero if that is not known.
	slowdown float64
	// warmUp paces the requests to it while it is cold.
	warmUp permitter.WarmUp
	// reportedCold is set if WarmUpChanges has last reported that it is cold.
	reportedCold bool
	// failureRate is the smoothed fraction of answers that are failures.
	failureRate float64
	// lastAttempt is when the target was last given a request.
	lastAttempt identifier.Instant
	// queueDelay is the time that it needs to prefill the queued prompts, as of the last
	// summary of its pool.
	queueDelay time.Duration
}

// admissionDecision returns whether the target may be given work, and the reason if not.
func (t *targetState) admissionDecision(now identifier.Instant) permitter.Decision {
	if d := t.admission.Decide(now, t.ownLoad.Running); !d.Open() {
		return d
	}
	return t.warmUp.Decide(now)
}

// acceptsWork reports whether the target may be given work.
func (t *targetState) acceptsWork(now identifier.Instant) bool {
	return t.admissionDecision(now).Open()
}

// totalLoad returns the load of the requests of all routers at the target.
func (t *targetState) totalLoad() Load { return t.ownLoad.add(t.peerLoad) }

// latencyEstimate estimates the time to the first token at a target: base, plus perToken
// for each token that is prefilled before.
type latencyEstimate struct {
	base time.Duration
	// perToken is in nanoseconds per token.
	perToken float64
}

const (
	// initialBase and initialPerToken are the estimate for the first targets of a pool,
	// of which nothing has been observed.
	initialBase     = 50 * time.Millisecond
	initialPerToken = 12_000
	// shortPrefill is the number of tokens up to which an observation shows the base, and
	// longPrefill that from which it shows the time per token.
	shortPrefill = 800
	longPrefill  = 2500
	// latencyStep scales the relative change of an estimate by one observation.
	latencyStep = 0.04
	// latencyQuantile is the fraction of observations below the estimates. It is low,
	// because requests of other routers that are not known here make the other
	// observations look slow.
	latencyQuantile = 0.35
)

// prefillTime returns the time in which a number of tokens is prefilled.
func (e latencyEstimate) prefillTime(tokens int) time.Duration {
	return time.Duration(e.perToken * float64(tokens))
}

// observe updates the estimate with one observation: the first token arrived after
// elapsed, and the given number of tokens had to be prefilled before. It ignores
// observations between shortPrefill and longPrefill tokens.
func (e *latencyEstimate) observe(tokens int, elapsed time.Duration) {
	switch {
	case tokens <= shortPrefill:
		elapsed -= e.prefillTime(tokens)
		e.base = time.Duration(updateQuantile(float64(e.base), float64(elapsed)))
	case tokens >= longPrefill:
		e.perToken = updateQuantile(e.perToken, float64(elapsed-e.base)/float64(tokens))
	}
}

// updateQuantile returns an estimate of the quantile latencyQuantile, updated with one
// observation.
func updateQuantile(estimate, observed float64) float64 {
	if observed > estimate {
		return estimate * (1 + latencyStep*latencyQuantile)
	}
	return estimate * (1 - latencyStep*(1-latencyQuantile))
}

const (
	// failureWeight is the weight of one answer in the failure rate.
	failureWeight = 0.1
	// failureMargin is how far the failure rate of a target may exceed the lowest one of
	// its pool. Beyond that, the target is only tried every probeInterval.
	failureMargin = 0.2
	// probeInterval is how long after its last request such a target is tried again.
	probeInterval = 300 * time.Millisecond
)

// recordAnswer records that the target answered, and whether the answer is a failure.
func (t *targetState) recordAnswer(failed bool) {
	t.admission.RecordAnswer()
	sample := 0.0
	if failed {
		sample = 1
	}
	t.failureRate += (sample - t.failureRate) * failureWeight
}
