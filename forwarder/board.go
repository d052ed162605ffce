package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"buckthorndrum/admitter"
	"buckthorndrum/identifier"
	"buckthorndrum/sharer"
)

// board is the blackboard that the parts of a forwarder read and write.
type board struct {
	// snapshot is the configuration in force, nil before the first. Its revision
	// only rises.
	snapshot atomic.Pointer[Snapshot]
	// tunables are the settings in force. It is never nil.
	tunables atomic.Pointer[Tunables]
	// proved is when the snapshot was last known to be the newest, as an Instant.
	proved atomic.Int64
	// position is the store's revision up to which all changes are known.
	position atomic.Int64
	// stopping tells that the process is to end.
	stopping atomic.Bool

	// mu guards what follows.
	mu        sync.Mutex
	admitter  *admitter.Admitter
	sharer    *sharer.Sharer
	addresses map[identifier.Target]string
	budgets   map[identifier.Pool]*budget
	// malformed holds the targets whose pauses could not be read, of those listed.
	malformed map[identifier.Target]bool
	// peers is how many routers there are besides this one.
	peers int
	// mostPeers is the most there were, since routers out of hearing use their
	// part of a budget too.
	mostPeers int
}

func newBoard(t Tunables) *board {
	b := &board{
		admitter:  admitter.New(),
		sharer:    sharer.New(),
		addresses: map[identifier.Target]string{},
		budgets:   map[identifier.Pool]*budget{},
		malformed: map[identifier.Target]bool{},
	}
	b.tunables.Store(&t)
	return b
}

// SetSnapshot puts a configuration in force unless a newer one is, and tells whether
// it did.
func (f *Forwarder) SetSnapshot(s *Snapshot) bool {
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	if old := f.board.snapshot.Load(); old != nil && old.Revision >= s.Revision {
		return false
	}
	f.board.snapshot.Store(s)
	f.board.sharer.SetCapacity(s.Limits.TokensPerSecond)
	return true
}

// Revision returns the configuration revision in force, zero before the first.
func (f *Forwarder) Revision() identifier.Revision {
	if s := f.board.snapshot.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// raise sets v unless it is higher already.
func raise(v *atomic.Int64, to int64) {
	for {
		old := v.Load()
		if to <= old || v.CompareAndSwap(old, to) {
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
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	for id, address := range f.board.addresses {
		if addresses[id] == "" {
			f.pool.Drop(address)
			delete(f.board.malformed, id)
		}
	}
	f.board.addresses = addresses
	f.board.admitter.SetTargets(list)
}

// Targets returns the targets that are listed.
func (f *Forwarder) Targets() []identifier.Target {
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	list := make([]identifier.Target, 0, len(f.board.addresses))
	for id := range f.board.addresses {
		list = append(list, id)
	}
	return list
}

// Ready tells whether the router can serve: it has a configuration that may be
// relied on, and is not about to end.
func (f *Forwarder) Ready(now identifier.Instant) bool {
	s := f.board.snapshot.Load()
	return s != nil && !f.board.stopping.Load() && !f.strain.high() && f.fresh(now, f.proof())
}

// sweepEvery is how often what has grown old is dropped.
const sweepEvery = 250 * time.Millisecond
