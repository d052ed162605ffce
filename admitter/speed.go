package admitter

import "time"

const (
	// eventTimeQuantile is the quantile of the times between events that is estimated. It
	// is low, because prompts that are prefilled meanwhile lengthen the others.
	eventTimeQuantile = 0.3
	// eventTimeStep scales the relative change of the estimate by one observation.
	eventTimeStep = 0.1
	// minSlowdown and maxSlowdown bound the slowdown of a target.
	minSlowdown = 0.25
	maxSlowdown = 4
	// ownPrefillWeight is the weight in the cost of the time in which a target prefills
	// the prompt of the request itself. It keeps requests away from idle targets that are
	// slower than others.
	ownPrefillWeight = 2
)

// RecordEventTime records the mean time between successive events of the answer to an
// attempt.
func (a *Admitter) RecordEventTime(attempt *Attempt, mean time.Duration) {
	t := attempt.target
	switch {
	case t == nil || mean <= 0:
	case t.eventTime == 0:
		t.eventTime = float64(mean)
	case float64(mean) > t.eventTime:
		t.eventTime *= 1 + eventTimeStep*eventTimeQuantile
	default:
		t.eventTime *= 1 - eventTimeStep*(1-eventTimeQuantile)
	}
}

// compareSpeeds computes the slowdown of each target: its time between events relative to
// the mean of those that are known. The time to a first token shows the speed of a target
// much later, since few requests have a long prompt. Where no target reports its pace, all
// count as equally fast.
func (p *pool) compareSpeeds() {
	sum, known := 0.0, 0
	for _, t := range p.targets {
		if t.eventTime > 0 {
			sum += t.eventTime
			known++
		}
	}
	for _, t := range p.targets {
		t.slowdown = 0
		if t.eventTime > 0 && p.pace.slowest() > 0 {
			t.slowdown = max(minSlowdown, min(t.eventTime*float64(known)/sum, maxSlowdown))
		}
	}
}

// relativeTime returns how many times as long as the mean target of its pool the target
// takes, 1 if that is not known.
func (t *targetState) relativeTime() float64 {
	if t.slowdown == 0 {
		return 1
	}
	return t.slowdown
}

// prefillTime returns the time in which the target prefills a number of tokens.
func (t *targetState) prefillTime(tokens int) time.Duration {
	return time.Duration(t.relativeTime() * float64(t.latency.prefillTime(tokens)))
}

// ownPrefillCost returns what the prefill of the request itself adds to the cost of a
// candidate. It is zero where the speeds of targets are not compared.
func ownPrefillCost(c candidate) time.Duration {
	if c.target.slowdown == 0 {
		return 0
	}
	return ownPrefillWeight * c.prefillTime
}
