package admitter

import (
	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// SetEvacuated replaces the set of evacuated data centres, whose targets are given no new
// work. It keeps the set, and applies it to targets that are listed later. The targets of a
// data centre whose evacuation ends count as cold: they had no traffic meanwhile, and their
// entries may show only later that they are cold.
func (a *Admitter) SetEvacuated(now identifier.Instant, evacuated map[identifier.DataCentre]bool) {
	a.evacuated = evacuated
	for _, p := range a.pools {
		changed := false
		for _, t := range p.targets {
			if was, is := t.admission.Evacuated(), evacuated[t.DataCentre]; was != is {
				t.admission.SetEvacuated(is)
				changed = true
				if was {
					t.warmUp.RecordCold(now, a.coldRates[t.Pool].Duration, permitter.ColdByEvacuation, a.phase(now, t.ID))
				}
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
