package admitter

import (
	"buckthorndrum/identifier"
)

// SetEvacuated replaces the set of evacuated data centres, whose targets are given no new
// work. It keeps the set, and applies it to targets that are listed later.
func (a *Admitter) SetEvacuated(evacuated map[identifier.DataCentre]bool) {
	a.evacuated = evacuated
	for _, p := range a.pools {
		changed := false
		for _, t := range p.targets {
			if was, is := t.admission.Evacuated(), evacuated[t.DataCentre]; was != is {
				t.admission.SetEvacuated(is)
				changed = true
			}
		}
		if changed {
			p.updateRing()
			p.summarisedAt = 0
		}
	}
}

// AvailableSlots returns the fraction, from 0 to 1, of the slots of the targets of some
// pools that is not evacuated. A target without a limit of slots counts as one slot. The
// fraction is 1 if the pools have no targets.
func (a *Admitter) AvailableSlots(pools func(identifier.Pool) bool) float64 {
	all, available := 0, 0
	for _, t := range a.targets {
		if !pools(t.Pool) {
			continue
		}
		n := max(1, t.Slots)
		all += n
		if !t.admission.Evacuated() {
			available += n
		}
	}
	if all == 0 {
		return 1
	}
	return float64(available) / float64(all)
}
