package placer

import (
	"time"

	"buckthorndrum/identifier"
)

// The weight store's rate limit is kept without communication. Time is divided
// into turns as long as the limit's interval. The pool's targets own the turns
// one after the other, and a target issues at most one order in each turn that
// it owns.

// turnLength returns the length of one turn.
func (c Config) turnLength() time.Duration {
	return time.Duration(float64(time.Minute) / c.LoadsPerMinute)
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

// takeTurn reports whether an order may be issued now and, if so, records the
// turn as used.
func (p *Placer) takeTurn(now identifier.Instant) bool {
	index, found := p.cfg.turnIndex()
	if !found {
		return false
	}
	turn := int64(now) / int64(p.cfg.turnLength())
	elapsed := time.Duration(int64(now) % int64(p.cfg.turnLength()))
	if turn%int64(len(p.cfg.Targets)) != index || turn == p.lastTurn {
		return false
	}
	if elapsed > max(p.cfg.turnLength()/2, minOrderWindow) {
		return false // By another target's clock the next turn may have begun.
	}
	p.lastTurn = turn
	return true
}

// untilTurn returns the time until the target's next turn, zero during its turn.
func (p *Placer) untilTurn(now identifier.Instant) time.Duration {
	index, found := p.cfg.turnIndex()
	if !found {
		return peerTimeout // Longer than drainLead, so that no switch starts.
	}
	n := int64(len(p.cfg.Targets))
	turn := int64(now) / int64(p.cfg.turnLength())
	turnsAhead := (index - turn%n + n) % n
	if turnsAhead == 0 {
		return 0
	}
	return time.Duration((turn+turnsAhead)*int64(p.cfg.turnLength()) - int64(now))
}
