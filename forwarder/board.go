package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"buckthorndrum/admitter"
	"buckthorndrum/identifier"
	"buckthorndrum/sharer"
)

// state is the blackboard that the parts of a forwarder read and write.
type state struct {
	// snapshot is the configuration in force, nil before the first. Its revision
	// only rises.
	snapshot atomic.Pointer[Snapshot]
	// tunables are the settings in force. It is never nil.
	tunables atomic.Pointer[Tunables]
	// confirmedAt is when the snapshot was last known to be the newest, as an Instant.
	confirmedAt atomic.Int64
	// position is the store's revision up to which all changes are known.
	position atomic.Int64
	// stopping tells that the process is to end.
	stopping atomic.Bool

	// mu guards what follows.
	mu        sync.Mutex
	admitter  *admitter.Admitter
	sharer    *sharer.Sharer
	addresses map[identifier.Target]string
	retryCounters   map[identifier.Pool]*retryCounter
	// malformedPauses holds the targets whose pauses could not be read, of those listed.
	malformedPauses map[identifier.Target]bool
	// peers is how many routers there are besides this one.
	peers int
	// maxPeers is the most there were, since routers out of hearing use their
	// part of a budget too.
	maxPeers int
}

func newState(t Tunables) *state {
	b := &state{
		admitter:  admitter.New(),
		sharer:    sharer.New(),
		addresses: map[identifier.Target]string{},
		retryCounters:   map[identifier.Pool]*retryCounter{},
		malformedPauses: map[identifier.Target]bool{},
	}
	b.tunables.Store(&t)
	return b
}

// SetSnapshot puts a configuration in force unless a newer one is, and tells whether
// it did.
func (f *Forwarder) SetSnapshot(s *Snapshot) bool {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	if old := f.state.snapshot.Load(); old != nil && old.Revision >= s.Revision {
		return false
	}
	f.state.snapshot.Store(s)
	f.state.sharer.SetCapacity(s.Limits.TokensPerSecond)
	return true
}

// Revision returns the configuration revision in force, zero before the first.
func (f *Forwarder) Revision() identifier.Revision {
	if s := f.state.snapshot.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// storeMax sets v unless it is higher already.
func storeMax(v *atomic.Int64, value int64) {
	for {
		old := v.Load()
		if value <= old || v.CompareAndSwap(old, value) {
			return
		}
	}
}

// SetTargets replaces the list of targets.
func (f *Forwarder) SetTargets(list []admitter.Target) {
	addresses := make(map[identifier.Target]string, len(list))
	for _, t := range list {
		addresses[t.ID] = t.Address
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	for id, address := range f.state.addresses {
		if addresses[id] == "" {
			f.conns.Drop(address)
			delete(f.state.malformedPauses, id)
		}
	}
	f.state.addresses = addresses
	f.state.admitter.SetTargets(list)
}

// Targets returns the targets that are listed.
func (f *Forwarder) Targets() []identifier.Target {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	list := make([]identifier.Target, 0, len(f.state.addresses))
	for id := range f.state.addresses {
		list = append(list, id)
	}
	return list
}

// Ready tells whether the router can serve: it has a configuration that may be
// relied on, and is not about to end.
func (f *Forwarder) Ready(now identifier.Instant) bool {
	s := f.state.snapshot.Load()
	return s != nil && !f.state.stopping.Load() && !f.overload.overloaded() && f.isFresh(now, f.confirmedAt())
}

// sweepInterval is how often what has grown old is dropped.
const sweepInterval = 250 * time.Millisecond
