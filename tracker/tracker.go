package tracker

import (
	"sort"
	"time"

	"buckthorndrum/admitter"
	"buckthorndrum/identifier"
)

// Config sets up a tracker.
type Config struct {
	// GracePeriod is how long after the end of an outage an entry may still be
	// missing whose target is alive.
	GracePeriod time.Duration
}

// Tracker holds the targets by the key of their entry. It is not safe for
// concurrent use.
type Tracker struct {
	cfg     Config
	targets map[string]admitter.Target
	// dropTimes holds when a target is dropped whose entry is gone since an outage.
	dropTimes map[string]identifier.Instant
	// outageStart is since when the store has not answered, zero while it does.
	outageStart identifier.Instant
	// graceEnd is until when entries that are gone may come back.
	graceEnd identifier.Instant
	// changed tells that the list differs from what Targets returned last.
	changed bool
}

// New returns an empty tracker.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, targets: map[string]admitter.Target{}, dropTimes: map[string]identifier.Instant{}}
}

// StoreFailed notes that the store did not answer, and tells whether that is new.
func (t *Tracker) StoreFailed(now identifier.Instant) bool {
	if t.outageStart != 0 {
		return false
	}
	t.outageStart = now
	return true
}

// InOutage tells whether the store has not answered lately.
func (t *Tracker) InOutage() bool { return t.outageStart != 0 }

// StoreAnswered notes that the store has answered, and returns for how long it had
// not.
func (t *Tracker) StoreAnswered(now identifier.Instant) (outage time.Duration) {
	if t.outageStart == 0 {
		return 0
	}
	outage = now.Sub(t.outageStart)
	t.outageStart = 0
	t.graceEnd = now.Add(t.cfg.GracePeriod)
	return outage
}

// Set notes a target.
func (t *Tracker) Set(key string, target admitter.Target) {
	delete(t.dropTimes, key)
	if old, known := t.targets[key]; known && old == target {
		return
	}
	t.targets[key] = target
	t.changed = true
}

// Remove notes that an entry is gone. Shortly after an outage the target is kept
// for a while, since the entry may have expired while the target is alive.
func (t *Tracker) Remove(now identifier.Instant, key string) {
	if _, known := t.targets[key]; !known {
		return
	}
	if now < t.graceEnd {
		if t.dropTimes[key] == 0 {
			t.dropTimes[key] = t.graceEnd
		}
		return
	}
	t.drop(key)
}

// Invalidate notes that an entry names no target any more.
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

// Retain notes that a full list has these keys only.
func (t *Tracker) Retain(now identifier.Instant, keys map[string]bool) {
	for key := range t.targets {
		if !keys[key] {
			t.Remove(now, key)
		}
	}
}

// Targets returns the list in a fixed order, and whether it has changed since the
// last call.
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
