package placer

import (
	"time"

	"buckthorndrum/identifier"
)

// The weight store's rate limit is kept without communication. Time is divided
// into turns. The pool's targets own the turns one after the other, and a target
// issues at most one order in each turn that it owns, within the order window at
// the turn's start. From the end of the window to the next turn there is the whole
// interval of the rate limit, so that no two orders are closer than that.

// loadInterval returns the minimum time between two loads at the weight store.
func (c Config) loadInterval() time.Duration {
	return time.Duration(float64(time.Minute) / c.LoadsPerMinute)
}

// orderWindow returns the length of the part of a turn, from its start, in which
// an order may be issued.
func (c Config) orderWindow() time.Duration {
	return max(c.loadInterval()/2, minOrderWindow)
}

// turnLength returns the length of one turn.
func (c Config) turnLength() time.Duration {
	return c.orderWindow() + c.loadInterval() + maxOrderSkew
}

// turnIndex returns the index of Self in Targets, or false if it is not there.
func (c Config) turnIndex() (int64, bool) {
	for i, t := range c.Targets {
		if t == c.Self {
			return int64(i), true
		}
	}
	return 0, false
}

// mayOrder reports whether now is in the order window of a turn that the target
// owns and has not used.
func (p *Placer) mayOrder(now identifier.Instant) bool {
	index, found := p.cfg.turnIndex()
	if !found {
		return false
	}
	turn := int64(now) / int64(p.cfg.turnLength())
	if turn%int64(len(p.cfg.Targets)) != index || turn == p.lastTurn {
		return false
	}
	elapsed := time.Duration(int64(now) % int64(p.cfg.turnLength()))
	return elapsed <= p.cfg.orderWindow()
}

// takeTurn reports whether an order may be issued now and, if so, records the
// turn as used.
func (p *Placer) takeTurn(now identifier.Instant) bool {
	if !p.mayOrder(now) {
		return false
	}
	p.lastTurn = int64(now) / int64(p.cfg.turnLength())
	return true
}

// untilTurn returns the time until the target may issue an order, zero if it may
// now.
func (p *Placer) untilTurn(now identifier.Instant) time.Duration {
	index, found := p.cfg.turnIndex()
	if !found {
		return peerTimeout // Longer than drainLead, so that no switch starts.
	}
	if p.mayOrder(now) {
		return 0
	}
	n := int64(len(p.cfg.Targets))
	turn := int64(now) / int64(p.cfg.turnLength())
	turnsAhead := (index-turn%n+n-1)%n + 1 // From 1 to n: the current turn is over for orders.
	return time.Duration((turn+turnsAhead)*int64(p.cfg.turnLength()) - int64(now))
}
