package placer

import (
	"time"

	"buckthorndrum/identifier"
)

// The weight store's rate limit is kept without talk: time is cut into turns of
// the limit's interval, the pool's targets own them one after the other, and an
// order is given only in a turn of one's own, once.

// turnLength is the length of one turn.
func (c Config) turnLength() time.Duration {
	return time.Duration(float64(time.Minute) / c.LoadsPerMinute)
}

// turnIndex returns where Self stands among the targets.
func (c Config) turnIndex() (int64, bool) {
	for i, t := range c.Targets {
		if t == c.Self {
			return int64(i), true
		}
	}
	return 0, false
}

// takeTurn tells whether an order may be given now, and takes the turn.
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
		return false // The clocks of others may have begun the next turn.
	}
	p.lastTurn = turn
	return true
}

// untilTurn returns how long it is to the target's turn, zero if that is now.
func (p *Placer) untilTurn(now identifier.Instant) time.Duration {
	place, found := p.cfg.turnIndex()
	if !found {
		return peerTimeout // Longer than any lead, so that nothing is begun.
	}
	n := int64(len(p.cfg.Targets))
	turn := int64(now) / int64(p.cfg.turnLength())
	turnsAhead := (place - turn%n + n) % n
	if turnsAhead == 0 {
		return 0
	}
	return time.Duration((turn+turnsAhead)*int64(p.cfg.turnLength()) - int64(now))
}
