package admitter

import "buckthorndrum/identifier"

// ListedTarget returns the entry of a target that is listed, and whether it is.
func (a *Admitter) ListedTarget(id identifier.Target) (t Target, listed bool) {
	s := a.targets[id]
	if s == nil {
		return Target{}, false
	}
	return s.Target, true
}

// SoftwareSlots returns the slots of the targets of a pool that are not listed as leaving, by
// software. A target without a limit counts as one slot. The result is the same at all routers
// that know the same list.
func (a *Admitter) SoftwareSlots(id identifier.Pool) map[identifier.Software]int {
	slots := map[identifier.Software]int{}
	p := a.pools[id]
	if p == nil {
		return slots
	}
	for _, t := range p.targets {
		if !t.Leaving {
			slots[t.Software] += max(1, t.Slots)
		}
	}
	return slots
}

// Software returns the software of the listed targets of a pool, also of those that leave.
func (a *Admitter) Software(id identifier.Pool) map[identifier.Software]bool {
	software := map[identifier.Software]bool{}
	if p := a.pools[id]; p != nil {
		for _, t := range p.targets {
			software[t.Software] = true
		}
	}
	return software
}
