package scheduler

import (
	"sort"

	"buckthorndrum/identifier"
)

// contender is a workspace that has work here or had it lately.
type contender struct {
	workspace identifier.Workspace
	// activeSince is when its present run of offers began.
	activeSince identifier.Instant
	// lastActive is when it last had an offer or gave one up.
	lastActive identifier.Instant
	// backlogged tells that it counts as backlogged.
	backlogged bool
}

// markActive notes that workspace w has work here now, or had it until now.
func (s *Scheduler) markActive(now identifier.Instant, w identifier.Workspace) *contender {
	c := s.contenders[w]
	if c == nil {
		c = &contender{workspace: w, activeSince: now}
		s.contenders[w] = c
	}
	c.lastActive = now
	return c
}

// lowestBackloggedLevel returns the lowest level of the backlogged workspaces, or
// zero if there is none.
func (s *Scheduler) lowestBackloggedLevel() identifier.Cost {
	var lowest identifier.Cost
	found := false
	for w, c := range s.contenders {
		if !c.backlogged {
			continue
		}
		if l := s.table.Level(w); !found || l < lowest {
			lowest, found = l, true
		}
	}
	return lowest
}

// effectiveLevel returns the effectiveLevel by which a workspace is ordered. One that is not
// backlogged yet has at most a credit window of credit.
func (s *Scheduler) effectiveLevel(c *contender) identifier.Cost {
	l := s.table.Level(c.workspace)
	if c.backlogged {
		return l
	}
	return max(l, s.floor-s.cfg.CreditWindow)
}

// updateBacklogged counts workspaces as backlogged that have waited long enough, and
// ends the periods of those that have been idle.
func (s *Scheduler) updateBacklogged(now identifier.Instant) {
	s.refreshActive(now)
	for _, c := range s.sweepContenders(now) {
		s.checkBacklogged(now, c)
	}
	s.floor = s.lowestBackloggedLevel()
}

// sweepContenders returns the workspaces that are not counted as backlogged, in the
// order of their names, and drops those that have been idle. The others are
// marked as competing.
func (s *Scheduler) sweepContenders(now identifier.Instant) []*contender {
	var found []*contender
	for w, c := range s.contenders {
		switch {
		case now.Sub(c.lastActive) >= s.cfg.IdleAfter:
			delete(s.contenders, w)
		case c.backlogged:
			s.table.Touch(now, w)
		default:
			found = append(found, c)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].workspace < found[j].workspace })
	return found
}

func (s *Scheduler) checkBacklogged(now identifier.Instant, c *contender) {
	if s.table.Competes(now, c.workspace) {
		// It is in a period already: another process has seen it wait.
		c.backlogged = true
		return
	}
	if s.unsynced || now.Sub(c.activeSince) < s.cfg.BackloggedAfter {
		return
	}
	s.clampLevel(c.workspace)
	c.backlogged = true
	s.table.Touch(now, c.workspace)
}

// refreshActive marks every workspace that has work here as seen now.
func (s *Scheduler) refreshActive(now identifier.Instant) {
	for _, c := range s.classes {
		if !c.empty() {
			c.contender.lastActive = now
		}
	}
}

// clampLevel brings workspace w, newly backlogged, within a credit window of the
// backlogged ones, so that idleness earns no credit and old debt is forgiven.
func (s *Scheduler) clampLevel(w identifier.Workspace) {
	if !s.anyBacklogged() {
		return
	}
	floor := s.lowestBackloggedLevel()
	level := s.table.Level(w)
	if low := floor - s.cfg.CreditWindow; level < low {
		s.table.Rebase(w, low)
	}
	if high := floor + s.cfg.CreditWindow; level > high {
		s.table.Rebase(w, high)
	}
}

func (s *Scheduler) anyBacklogged() bool {
	for _, c := range s.contenders {
		if c.backlogged {
			return true
		}
	}
	return false
}
