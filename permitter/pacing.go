package permitter

import (
	"time"

	"buckthorndrum/identifier"
)

// Pacing spaces the requests of one process that alone sends to a target, so that they
// keep to the rate that the target names. The zero Pacing has no limit. It is not safe for
// concurrent use.
type Pacing struct {
	// perSecond is the limit, zero for none.
	perSecond float64
	// next is the earliest time of the next request.
	next identifier.Instant
}

// SetLimit sets the limit that an answer names, or that it names none.
func (p *Pacing) SetLimit(l Limit) {
	if l.Named || !l.Malformed {
		p.perSecond = l.PerSecond
	}
}

// Limit returns the limit in requests a second, zero for none.
func (p *Pacing) Limit() float64 { return p.perSecond }

// Reserve takes the next turn and returns the time until it. If that is more than longest
// it takes none, and ok is false.
func (p *Pacing) Reserve(now identifier.Instant, longest time.Duration) (wait time.Duration, ok bool) {
	if p.perSecond == 0 {
		return 0, true
	}
	turn := max(p.next, now)
	if turn.Sub(now) > longest {
		return turn.Sub(now), false
	}
	p.next = turn.Add(time.Duration(float64(time.Second) / p.perSecond))
	return turn.Sub(now), true
}
