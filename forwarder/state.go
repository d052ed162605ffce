package forwarder

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
	"buckthorndrum/isolator"
	"buckthorndrum/sharer"
)

// state is the state that the parts of a forwarder share.
type state struct {
	// snapshot is the configuration in force, nil before the first. Its revision only
	// increases.
	snapshot atomic.Pointer[Snapshot]
	// tunables are the settings in force. It is never nil.
	tunables atomic.Pointer[Tunables]
	// confirmedAt is when the snapshot was last known to be the newest, as an Instant.
	confirmedAt atomic.Int64
	// proofSource is where the proof of confirmedAt came from, nil before the first. It may
	// be that of the one before for a moment, and is for the log only.
	proofSource atomic.Pointer[string]
	// position is the store's position up to which all changes are known, nil before the
	// first.
	position atomic.Pointer[identifier.StorePosition]
	// peerRevision is the newest configuration that another router was known to have, nil
	// before the first that was newer than this router's.
	peerRevision atomic.Pointer[peerRevision]
	// stopping is set when the process is about to stop.
	stopping atomic.Bool
	stop     stop

	// mu guards the fields below.
	mu            sync.Mutex
	admitter      *admitter.Admitter
	sharer        *sharer.Sharer
	addresses     map[identifier.Target]string
	retryCounters map[identifier.Pool]*retryCounter
	// malformedPauses holds the listed targets that have asked for a pause that could
	// not be parsed.
	malformedPauses map[identifier.Target]bool
	// isolator holds what is known of crashes and of the parts of prompts.
	isolator *isolator.Isolator
	// crashChecks holds the latest check of each incarnation of a target that broke off
	// an answer.
	crashChecks map[isolator.CrashID]*crashCheck
	// limits holds the limits that listed targets have named.
	limits map[identifier.Target]namedLimit
	// malformedColds holds the listed targets that have said how long they are cold in a
	// way that could not be parsed.
	malformedColds map[identifier.Target]bool
	// histories holds the plans of each pool by which streams begin.
	histories map[identifier.Pool]*poolHistory
	// timeLimits holds the time limits of requests for new streams.
	timeLimits timeLimits
	// evacuated holds the evacuated data centres.
	evacuated map[identifier.DataCentre]bool
	// peers is the number of other routers.
	peers int
	// fleetSizes are the numbers of other routers that were heard of late, and warmUpFleet
	// those that count for cold targets.
	fleetSizes  fleetSizes
	warmUpFleet fleetSizes
	// maxPeers is the highest value that peers was seen to have. Routers that are out
	// of contact still use their part of a retry budget.
	maxPeers int
}

func newState(cfg Config) *state {
	b := &state{
		admitter:        admitter.New(),
		sharer:          sharer.New(),
		addresses:       map[identifier.Target]string{},
		retryCounters:   map[identifier.Pool]*retryCounter{},
		malformedPauses: map[identifier.Target]bool{},
		limits:          map[identifier.Target]namedLimit{},
		malformedColds:  map[identifier.Target]bool{},
		isolator:        isolator.NewRanked(isolator.HashRouter(cfg.Name)),
		fleetSizes:      fleetSizes{memory: fleetMemory},
		warmUpFleet:     fleetSizes{memory: warmUpFleetMemory},
		crashChecks:     map[isolator.CrashID]*crashCheck{},
		histories:       map[identifier.Pool]*poolHistory{},
	}
	b.admitter.SetProcesses(defaultFleetSize)
	b.admitter.SetSeed(rand.Uint64())
	t := cfg.Tunables
	b.tunables.Store(&t)
	return b
}

// SetSnapshot puts a configuration in force and reports true. It does nothing and
// reports false if a configuration of the same or a higher revision is in force.
func (f *Forwarder) SetSnapshot(s *Snapshot) bool {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	if old := f.state.snapshot.Load(); old != nil && old.Revision >= s.Revision {
		return false
	}
	f.state.snapshot.Store(s)
	f.state.admitter.SetColdRates(clocker.Now(), s.coldRates)
	f.state.updateCapacity()
	f.listener.SetHeadLimits(s.Limits.heads())
	return true
}

// Revision returns the configuration revision in force, zero before the first.
func (f *Forwarder) Revision() identifier.Revision {
	if s := f.state.snapshot.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// storeMax sets v to value and returns true, unless v is already at least as high.
func storeMax(v *atomic.Int64, value int64) bool {
	for {
		old := v.Load()
		if value <= old {
			return false
		}
		if v.CompareAndSwap(old, value) {
			return true
		}
	}
}

// SetTargets replaces the list of targets and closes the idle connections to those that
// are no longer listed.
func (f *Forwarder) SetTargets(list []admitter.Target) {
	addresses := make(map[identifier.Target]string, len(list))
	for _, t := range list {
		addresses[t.ID] = t.Address
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	for id, address := range f.state.addresses {
		if addresses[id] == "" {
			f.conns.CloseIdle(address)
			delete(f.state.malformedPauses, id)
			delete(f.state.malformedColds, id)
		}
	}
	f.state.dropLimits(addresses)
	f.state.addresses = addresses
	f.state.admitter.SetTargets(clocker.Now(), list)
	f.state.updateCapacity()
}

// Targets returns the IDs of the listed targets, in no particular order.
func (f *Forwarder) Targets() []identifier.Target {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	list := make([]identifier.Target, 0, len(f.state.addresses))
	for id := range f.state.addresses {
		list = append(list, id)
	}
	return list
}

// Ready reports whether the router can serve new callers: it has a configuration that
// is recent enough to rely on, is not overloaded and is not about to stop.
func (f *Forwarder) Ready(now identifier.Instant) bool {
	s := f.state.snapshot.Load()
	return s != nil && !f.state.stopping.Load() && !f.overload.overloaded() && f.isFresh(now, f.confirmedAt())
}

// sweepInterval is the interval at which idle connections are closed and the admitter
// drops outdated state.
const sweepInterval = 250 * time.Millisecond
