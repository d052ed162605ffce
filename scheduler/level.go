package scheduler

import (
	"sort"

	"buckthorndrum/identifier"
)

// contender is a workspace that has work here or had it lately.
type contender struct {
	workspace identifier.Workspace
	// since is when its present run of offers began.
	since identifier.Instant
	// seen is when it last had an offer or gave one up.
	seen identifier.Instant
	// established tells that it counts as backlogged.
	established bool
}

// seen notes that workspace w has work here now, or had it until now.
func (s *Scheduler) seen(now identifier.Instant, w identifier.Workspace) *contender {
	c := s.contenders[w]
	if c == nil {
		c = &contender{workspace: w, since: now}
		s.contenders[w] = c
	}
	c.seen = now
	return c
}

// lowestEstablished returns the lowest level of the backlogged workspaces, or
// zero if there is none.
func (s *Scheduler) lowestEstablished() identifier.Cost {
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

// level returns the level by which a workspace is ordered. One that is not
// backlogged yet has at most a credit window of credit.
func (s *Scheduler) level(c *contender) identifier.Cost {
	l := s.table.Level(c.workspace)
	if c.established {
		return l
	}
	return max(l, s.floor-s.cfg.CreditWindow)
}

// establish counts workspaces as backlogged that have waited long enough, and
// ends the periods of those that have been idle.
func (s *Scheduler) establish(now identifier.Instant) {
	s.refresh(now)
	for _, c := range s.candidates(now) {
		s.establishOne(now, c)
	}
	s.floor = s.lowestEstablished()
}

// candidates returns the workspaces that are not counted as backlogged, in the
// order of their names, and drops those that have been idle. The others are
// marked as competing.
func (s *Scheduler) candidates(now identifier.Instant) []*contender {
	var found []*contender
	for w, c := range s.contenders {
		switch {
		case now.Sub(c.seen) >= s.cfg.IdleAfter:
			delete(s.contenders, w)
		case c.established:
			s.table.Touch(now, w)
		default:
			found = append(found, c)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].workspace < found[j].workspace })
	return found
}

func (s *Scheduler) establishOne(now identifier.Instant, c *contender) {
	if s.table.Competes(now, c.workspace) {
		// It is in a period already: another process has seen it wait.
		c.established = true
		return
	}
	if s.unsynced || now.Sub(c.since) < s.cfg.BackloggedAfter {
		return
	}
	s.lift(c.workspace)
	c.established = true
	s.table.Touch(now, c.workspace)
}

// refresh marks every workspace that has work here as seen now.
func (s *Scheduler) refresh(now identifier.Instant) {
	for _, c := range s.classes {
		if !c.empty() {
			c.contender.seen = now
		}
	}
}

// lift brings workspace w, newly backlogged, within a credit window of the
// backlogged ones, so that idleness earns no credit and old debt is forgiven.
func (s *Scheduler) lift(w identifier.Workspace) {
	if !s.anyEstablished() {
		return
	}
	floor := s.lowestEstablished()
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
