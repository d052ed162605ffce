package forwarder

import (
	"maps"
	"slices"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// SetEvacuated replaces the set of evacuated data centres. No new request is sent to their
// targets; requests in progress go on. It keeps a reference to evacuated.
func (f *Forwarder) SetEvacuated(evacuated map[identifier.DataCentre]bool) {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.evacuated = evacuated
	f.state.admitter.SetEvacuated(clocker.Now(), evacuated)
	f.state.updateCapacity()
}

// updateCapacity sets the token rate that workspaces share: that of the configuration,
// times the fraction of the engines' slots that is not evacuated. If all are evacuated it
// stays whole, as a capacity of zero means no limit and nothing is sent anyway. The caller
// holds mu.
func (s *state) updateCapacity() {
	snapshot := s.snapshot.Load()
	if snapshot == nil {
		return
	}
	capacity := snapshot.Limits.TokensPerSecond
	available := s.admitter.AvailableSlots(func(p identifier.Pool) bool { return snapshot.pools[p].Engine })
	if available > 0 {
		capacity *= available
	}
	s.sharer.SetCapacity(capacity)
}

// EvacuatedDataCentres returns the evacuated data centres, in no particular order.
func (f *Forwarder) EvacuatedDataCentres() []identifier.DataCentre {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return slices.Collect(maps.Keys(f.state.evacuated))
}
