package scheduler

import (
	"sort"

	"buckthorndrum/identifier"
)

// contender is a workspace that has work here or had it lately.
type contender struct {
	// since is when its present run of offers began.
	since identifier.Instant
	// seen is when it last had an offer or gave one up.
	seen identifier.Instant
	// established tells that it counts as backlogged.
	established bool
}

// seen notes that workspace w has work here now, or had it until now.
func (s *Scheduler) seen(now identifier.Instant, w identifier.Workspace) {
	c := s.contenders[w]
	if c == nil {
		c = &contender{since: now}
		s.contenders[w] = c
	}
	c.seen = now
}

// floor returns the lowest level of the backlogged workspaces, or zero if
// there is none.
func (s *Scheduler) floor() identifier.Cost {
	var lowest identifier.Cost
	found := false
	for w, c := range s.contenders {
		if !c.established {
			continue
		}
		if l := s.table.Level(w); !found || l < lowest {
			lowest, found = l, true
		}
	}
	return lowest
}

// level returns the level by which workspace w is ordered. One that is not
// backlogged yet has at most a credit window of credit.
func (s *Scheduler) level(w identifier.Workspace, floor identifier.Cost) identifier.Cost {
	l := s.table.Level(w)
	if c := s.contenders[w]; c != nil && c.established {
		return l
	}
	return max(l, floor-s.cfg.CreditWindow)
}

// establish counts workspaces as backlogged that have waited long enough, and
// ends the periods of those that have been idle.
func (s *Scheduler) establish(now identifier.Instant) {
	s.refresh(now)
	for _, w := range s.contenderNames() {
		c := s.contenders[w]
		if now.Sub(c.seen) >= s.cfg.IdleAfter {
			delete(s.contenders, w)
			continue
		}
		if c.established {
			s.table.Touch(now, w)
			continue
		}
		if s.table.Competes(now, w) {
			// It is in a period already: another process has seen it wait.
			c.established = true
			continue
		}
		if s.unsynced || now.Sub(c.since) < s.cfg.BacklogAge {
			continue
		}
		s.lift(w)
		c.established = true
		s.table.Touch(now, w)
	}
}

// refresh marks every workspace that has work here as seen now.
func (s *Scheduler) refresh(now identifier.Instant) {
	for id, c := range s.classes {
		if !c.empty() {
			s.seen(now, id.Workspace)
		}
	}
}

// lift brings workspace w, newly backlogged, within a credit window of the
// backlogged ones, so that idleness earns no credit and old debt is forgiven.
func (s *Scheduler) lift(w identifier.Workspace) {
	if !s.anyEstablished() {
		return
	}
	floor := s.floor()
	level := s.table.Level(w)
	if low := floor - s.cfg.CreditWindow; level < low {
		s.table.Rebase(w, low)
	}
	if high := floor + s.cfg.CreditWindow; level > high {
		s.table.Rebase(w, high)
	}
}

func (s *Scheduler) anyEstablished() bool {
	for _, c := range s.contenders {
		if c.established {
			return true
		}
	}
	return false
}

func (s *Scheduler) contenderNames() []identifier.Workspace {
	names := make([]identifier.Workspace, 0, len(s.contenders))
	for w := range s.contenders {
		names = append(names, w)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
