package admitter

import (
	"time"

	"buckthorndrum/identifier"
)

// summaryLife is how long the summary of a pool is relied on.
const summaryLife = 50 * time.Millisecond

// pool is the targets of one pool that can stand in for one another.
type pool struct {
	// targets are all of them, also those that leave.
	targets []*state
	// ring orders those that do not leave around the hashes of prompt parts.
	ring ring
	// worked is when what follows was worked out, zero if it has to be anew.
	worked identifier.Instant
	// leastFailing is the least share of failures, ahead the mean time that the
	// targets need for the prompts ahead, and soonest the least time to a first
	// token.
	leastFailing float64
	ahead        time.Duration
	soonest      time.Duration
	// idlest are the targets with the least ahead, at most maxIdlest.
	idlest []*state
}

// maxIdlest is how many of the least loaded targets a summary names.
const maxIdlest = 8

// summarise works the summary out anew if that is due, so that a choice does not
// look at each target.
func (p *pool) summarise(now identifier.Instant) {
	if p.worked != 0 && now >= p.worked && now.Sub(p.worked) < summaryLife {
		return
	}
	p.worked = now
	p.leastFailing, p.soonest = 1, -1
	p.idlest = p.idlest[:0]
	var sum time.Duration
	n := 0
	for _, t := range p.targets {
		if !t.takesWork(now) {
			continue
		}
		n++
		p.leastFailing = min(p.leastFailing, t.failing)
		t.ahead = t.pace.read(t.load().PrefillTokens)
		sum += t.ahead
		if wait := t.pace.base + t.ahead; p.soonest < 0 || wait < p.soonest {
			p.soonest = wait
		}
		p.noteIdle(t)
	}
	p.ahead = sum / time.Duration(max(1, n))
}

// noteIdle keeps target t among the idlest, in order, if it is one of them.
func (p *pool) noteIdle(t *state) {
	if t.Slots > 0 && t.load().Running >= t.Slots {
		return
	}
	at := len(p.idlest)
	for at > 0 && p.idlest[at-1].ahead > t.ahead {
		at--
	}
	if at >= maxIdlest {
		return
	}
	if len(p.idlest) < maxIdlest {
		p.idlest = append(p.idlest, nil)
	}
	copy(p.idlest[at+1:], p.idlest[at:])
	p.idlest[at] = t
}

// usable tells whether target t may be given a request that avoids some targets.
func usable(now identifier.Instant, t *state, avoid []identifier.Target) bool {
	return t.takesWork(now) && !contains(avoid, t.ID)
}

// sound tells whether target t is as good as the others: no peer says that it leaves,
// and it fails no more than they do, or is to be tried again.
func (p *pool) sound(now identifier.Instant, t *state) bool {
	if t.permit.Told(now) {
		return false
	}
	return t.failing <= p.leastFailing+failMost || now.Sub(t.tried) > tryEvery
}

// pickable returns the targets that a request may be given. Those that are not sound
// are among them only if there are no others.
func (p *pool) pickable(now identifier.Instant, avoid []identifier.Target) []*state {
	var all, sound []*state
	for _, t := range p.targets {
		if !usable(now, t, avoid) {
			continue
		}
		all = append(all, t)
		if p.sound(now, t) {
			sound = append(sound, t)
		}
	}
	if len(sound) == 0 {
		return all
	}
	return sound
}

// usualPace returns the mean pace of the targets.
func (p *pool) usualPace() pace {
	if p == nil || len(p.targets) == 0 {
		return pace{base: initialBase, slope: initialSlope}
	}
	var sum pace
	for _, t := range p.targets {
		sum.base += t.pace.base
		sum.slope += t.pace.slope
	}
	n := len(p.targets)
	return pace{base: sum.base / time.Duration(n), slope: sum.slope / float64(n)}
}
