package scheduler

import (
	"sort"

	"buckthorndrum/identifier"
)

// contender is a workspace that has work here or had some within Config.IdleAfter.
type contender struct {
	workspace identifier.Workspace
	// activeSince is when the workspace became a contender.
	activeSince identifier.Instant
	// lastActive is when the workspace last had work here.
	lastActive identifier.Instant
	// backlogged reports whether the workspace counts as backlogged.
	backlogged bool
}

// markActive records that workspace w has work here now, or had some until now.
func (s *Scheduler) markActive(now identifier.Instant, w identifier.Workspace) *contender {
	c := s.contenders[w]
	if c == nil {
		c = &contender{workspace: w, activeSince: now}
		s.contenders[w] = c
	}
	c.lastActive = now
	return c
}

// lowestBackloggedLevel returns the lowest level of the backlogged workspaces, or zero
// if there are none.
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

// effectiveLevel returns the level by which a workspace is ordered. For a workspace
// that is not backlogged yet, it is at most a credit window below the lowest backlogged
// level.
func (s *Scheduler) effectiveLevel(c *contender) identifier.Cost {
	l := s.table.Level(c.workspace)
	if c.backlogged {
		return l
	}
	return max(l, s.floor-s.cfg.CreditWindow)
}

// updateBacklogged marks workspaces as backlogged that have waited long enough, and
// removes those that have been idle.
func (s *Scheduler) updateBacklogged(now identifier.Instant) {
	s.refreshActive(now)
	for _, c := range s.sweepContenders(now) {
		s.checkBacklogged(now, c)
	}
	s.floor = s.lowestBackloggedLevel()
}

// sweepContenders removes the workspaces that have been idle, records in the table that
// the backlogged ones compete, and returns the others sorted by name.
func (s *Scheduler) sweepContenders(now identifier.Instant) []*contender {
	var found []*contender
	for w, c := range s.contenders {
		switch {
		case now.Sub(c.lastActive) >= s.cfg.IdleAfter:
			delete(s.contenders, w)
		case c.backlogged:
			s.table.MarkBacklogged(now, w)
		default:
			found = append(found, c)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].workspace < found[j].workspace })
	return found
}

// checkBacklogged marks workspace c as backlogged if it competes elsewhere or has
// waited for Config.BackloggedAfter. In the second case it starts a period, with its
// level clamped.
func (s *Scheduler) checkBacklogged(now identifier.Instant, c *contender) {
	if s.table.IsBacklogged(now, c.workspace) {
		// Another process has already started a period for it.
		c.backlogged = true
		return
	}
	if s.unsynced || now.Sub(c.activeSince) < s.cfg.BackloggedAfter {
		return
	}
	s.clampLevel(c.workspace)
	c.backlogged = true
	s.table.MarkBacklogged(now, c.workspace)
}

// refreshActive marks every workspace that has work here as active now.
func (s *Scheduler) refreshActive(now identifier.Instant) {
	for _, c := range s.classes {
		if !c.empty() {
			c.contender.lastActive = now
		}
	}
}

// clampLevel brings the level of workspace w, which becomes backlogged, within a credit
// window of the lowest backlogged level, so that being idle earns no more than this
// credit and older debt is forgiven.
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
