package tracker

import (
	"sort"
	"time"

	"buckthorndrum/admitter"
	"buckthorndrum/identifier"
)

// Config configures a Tracker.
type Config struct {
	// GracePeriod is how long after the end of an outage of the store the entry of a
	// target that is alive may still be missing.
	GracePeriod time.Duration
	// MinOutage is the shortest outage in which the entry of a target that is alive can
	// expire. After a shorter one, entries are missing because their targets have left.
	MinOutage time.Duration
}

// Tracker holds the listed targets by the keys of their entries in the store. It is not
// safe for concurrent use.
type Tracker struct {
	cfg     Config
	targets map[string]admitter.Target
	// dropTimes holds when to drop the targets whose entries have been missing since an
	// outage.
	dropTimes map[string]identifier.Instant
	// outageStart is since when the store has failed to answer this router, zero if it has
	// not.
	outageStart identifier.Instant
	// lapsed is whether entries may have expired in the current outage.
	lapsed bool
	// graceEnd is the end of the grace period after the last outage, until which missing
	// entries may be set again.
	graceEnd identifier.Instant
	// changed reports whether the list differs from the one that Targets returned last.
	changed bool
}

// New returns an empty tracker.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, targets: map[string]admitter.Target{}, dropTimes: map[string]identifier.Instant{}}
}

// StoreFailed records that the store has not answered this router since an instant, and
// reports whether this begins an outage. proofAge is how long ago any router that this one
// hears was last known to have all changes.
func (t *Tracker) StoreFailed(now, since identifier.Instant, proofAge time.Duration) (begins bool) {
	if t.outageStart == 0 {
		t.outageStart, begins = since, true
	}
	t.lapsed = t.mayHaveExpired(now, proofAge)
	return begins
}

// mayHaveExpired reports whether neither this router nor, as far as it knows, another one has
// had an answer of the store for so long that entries of targets that are alive may have
// expired.
func (t *Tracker) mayHaveExpired(now identifier.Instant, proofAge time.Duration) bool {
	return t.lapsed || t.InOutage() && min(now.Sub(t.outageStart), proofAge) >= t.cfg.MinOutage
}

// InOutage reports whether the store has failed to answer and has not answered since.
func (t *Tracker) InOutage() bool { return t.outageStart != 0 }

// StoreAnswered records that the store answered, which ends an outage and returns its
// duration, zero if there was none. proofAge is as in StoreFailed, before this answer. The
// grace period begins if entries may have expired, so that StoreAnswered must be called
// before the changes in the answer are recorded.
func (t *Tracker) StoreAnswered(now identifier.Instant, proofAge time.Duration) (outage time.Duration) {
	t.PeerAnswered(now, proofAge)
	return t.endOutage(now)
}

// PeerAnswered records that another router sends changes of the store. It does not end this
// router's outage. As StoreAnswered, it must be called before the changes are recorded.
func (t *Tracker) PeerAnswered(now identifier.Instant, proofAge time.Duration) {
	if t.mayHaveExpired(now, proofAge) {
		t.beginGrace(now)
	}
}

// RegainedThroughPeers records that other routers reach the store, which ends this router's
// outage and returns its duration, zero if there was none.
func (t *Tracker) RegainedThroughPeers(now identifier.Instant) (outage time.Duration) {
	if t.lapsed {
		t.beginGrace(now)
	}
	return t.endOutage(now)
}

func (t *Tracker) endOutage(now identifier.Instant) (outage time.Duration) {
	if t.InOutage() {
		outage = now.Sub(t.outageStart)
	}
	t.outageStart = 0
	return outage
}

func (t *Tracker) beginGrace(now identifier.Instant) {
	t.lapsed = false
	t.graceEnd = now.Add(t.cfg.GracePeriod)
}

// InGrace reports whether entries that are missing are kept.
func (t *Tracker) InGrace(now identifier.Instant) bool { return now < t.graceEnd }

// NextDrop returns when the next target is to be dropped whose entry is missing, zero if
// there is none.
func (t *Tracker) NextDrop() identifier.Instant {
	var next identifier.Instant
	for _, at := range t.dropTimes {
		if next == 0 || at < next {
			next = at
		}
	}
	return next
}

// Set adds a target or replaces it.
func (t *Tracker) Set(key string, target admitter.Target) {
	delete(t.dropTimes, key)
	if old, known := t.targets[key]; known && old == target {
		return
	}
	t.targets[key] = target
	t.changed = true
}

// Remove records that an entry is missing. In the grace period after an outage the target
// is kept until the end of the period, since its entry may have expired while the target
// is alive.
func (t *Tracker) Remove(now identifier.Instant, key string) {
	if _, known := t.targets[key]; !known {
		return
	}
	if t.InGrace(now) {
		if t.dropTimes[key] == 0 {
			t.dropTimes[key] = t.graceEnd
		}
		return
	}
	t.drop(key)
}

// Invalidate records that an entry no longer describes a valid target. The target is
// dropped at once.
func (t *Tracker) Invalidate(key string) {
	if _, known := t.targets[key]; known {
		t.drop(key)
	}
}

func (t *Tracker) drop(key string) {
	delete(t.targets, key)
	delete(t.dropTimes, key)
	t.changed = true
}

// Retain removes, as Remove does, all entries that a complete list of the store does not
// contain.
func (t *Tracker) Retain(now identifier.Instant, keys map[string]bool) {
	for key := range t.targets {
		if !keys[key] {
			t.Remove(now, key)
		}
	}
}

// Keys returns the keys of the entries of all targets, in no particular order.
func (t *Tracker) Keys() []string {
	keys := make([]string, 0, len(t.targets))
	for key := range t.targets {
		keys = append(keys, key)
	}
	return keys
}

// Target returns the target of an entry, and whether there is one.
func (t *Tracker) Target(key string) (admitter.Target, bool) {
	target, known := t.targets[key]
	return target, known
}

// CountIn returns the number of targets in a data centre.
func (t *Tracker) CountIn(zone identifier.DataCentre) int {
	n := 0
	for _, target := range t.targets {
		if target.DataCentre == zone {
			n++
		}
	}
	return n
}

// Targets drops the targets whose entries are still missing at the end of the grace
// period. It returns the others, sorted by ID, and true; if nothing has changed since the
// last call it returns nil and false.
func (t *Tracker) Targets(now identifier.Instant) ([]admitter.Target, bool) {
	for key, dropAt := range t.dropTimes {
		if now >= dropAt {
			t.drop(key)
		}
	}
	if !t.changed {
		return nil, false
	}
	t.changed = false
	list := make([]admitter.Target, 0, len(t.targets))
	for _, target := range t.targets {
		list = append(list, target)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, true
}
