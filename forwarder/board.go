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
	// stopping tells that the process is to end.
	stopping atomic.Bool

	// mu guards what follows.
	mu        sync.Mutex
	admitter  *admitter.Admitter
	sharer    *sharer.Sharer
	addresses map[identifier.Target]string
	budgets   map[identifier.Pool]*budget
	// peers is how many routers there are besides this one.
	peers int
}

func newBoard(t Tunables) *board {
	b := &board{
		admitter:  admitter.New(),
		sharer:    sharer.New(),
		addresses: map[identifier.Target]string{},
		budgets:   map[identifier.Pool]*budget{},
	}
	b.tunables.Store(&t)
	return b
}

// Adopt puts a configuration in force unless a newer one is, and tells whether
// it did.
func (f *Forwarder) Adopt(s *Snapshot) bool {
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

// Prove notes that the configuration in force was the newest at that instant.
func (f *Forwarder) Prove(at identifier.Instant) {
	for {
		old := f.board.proved.Load()
		if int64(at) <= old || f.board.proved.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// SetTargets replaces the list of targets.
func (f *Forwarder) SetTargets(list []Target) {
	plain := make([]admitter.Target, len(list))
	addresses := make(map[identifier.Target]string, len(list))
	for i, t := range list {
		plain[i] = t.Target
		addresses[t.ID] = t.Address
	}
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	for id, address := range f.board.addresses {
		if addresses[id] == "" {
			f.pool.Drop(address)
		}
	}
	f.board.addresses = addresses
	f.board.admitter.SetTargets(plain)
}

// Ready tells whether the router can serve: it has a configuration that may be
// relied on, and is not about to end.
func (f *Forwarder) Ready(now identifier.Instant) bool {
	s := f.board.snapshot.Load()
	return s != nil && !f.board.stopping.Load() && f.fresh(now)
}

// fresh tells whether a key may still be relied on.
func (f *Forwarder) fresh(now identifier.Instant) bool {
	age := f.board.tunables.Load().ProofAge
	if age <= 0 {
		return true
	}
	proved := identifier.Instant(f.board.proved.Load())
	return proved > 0 && now.Sub(proved) <= age
}

// Summary is what routers tell each other.
type Summary struct {
	Loads map[identifier.Target]admitter.Load   `cbor:"1,keyasint,omitempty"`
	Rates map[identifier.Workspace]sharer.Rates `cbor:"2,keyasint,omitempty"`
}

// Summary returns what this router tells its peers.
func (f *Forwarder) Summary(now identifier.Instant) Summary {
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	return Summary{Loads: f.board.admitter.Own(), Rates: f.board.sharer.Own(now)}
}

// Heard takes in what peer p tells.
func (f *Forwarder) Heard(now identifier.Instant, p identifier.Router, s Summary) {
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	f.board.admitter.Heard(now, p, s.Loads)
	f.board.sharer.Heard(now, p, s.Rates)
}

// SetPeers notes how many other routers there are.
func (f *Forwarder) SetPeers(n int) {
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	f.board.peers = n
}

// sweepEvery is how often what has grown old is dropped.
const sweepEvery = 250 * time.Millisecond
