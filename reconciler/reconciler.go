package reconciler

import (
	"sort"
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/relayer"
)

const (
	// removalMemory is how long removals are remembered. A copy from which the store comes
	// back is some seconds old.
	removalMemory = 30 * time.Second
	// maxRemovals bounds the removals that are remembered.
	maxRemovals = 4096
)

// Reconciler holds what a router knew of entries before the store came back from a copy and
// does not know again yet. Whoever wrote an entry writes it again; until then its absence from
// the copy, or its presence there, says nothing. It is not safe for concurrent use.
type Reconciler struct {
	// removed holds when entries were removed, for removalMemory.
	removed map[string]identifier.Instant
	// kept holds until when entries count that the copy lacks.
	kept map[string]identifier.Instant
	// hidden holds the entries of the copy that do not count.
	hidden map[string]hiddenEntry
}

// hiddenEntry is an entry of a copy that does not count.
type hiddenEntry struct {
	entry relayer.Change
	// until is when it counts after all, zero for never.
	until identifier.Instant
}

// New returns a reconciler that knows of no entry.
func New() *Reconciler {
	return &Reconciler{removed: map[string]identifier.Instant{}, kept: map[string]identifier.Instant{}, hidden: map[string]hiddenEntry{}}
}

// RecordRemoval records that an entry was removed.
func (r *Reconciler) RecordRemoval(now identifier.Instant, key string) {
	r.RecordWrite(key)
	for k, at := range r.removed {
		if now.Sub(at) > removalMemory {
			delete(r.removed, k)
		}
	}
	if len(r.removed) < maxRemovals {
		r.removed[key] = now
	}
}

// RecordWrite records that an entry was written, so that the store's word on it counts.
func (r *Reconciler) RecordWrite(key string) {
	delete(r.removed, key)
	delete(r.kept, key)
	delete(r.hidden, key)
}

// WasRemoved reports whether an entry was removed of late and not written since.
func (r *Reconciler) WasRemoved(now identifier.Instant, key string) bool {
	at, removed := r.removed[key]
	return removed && now.Sub(at) <= removalMemory
}

// Keep makes an entry count that the copy lacks, until an instant.
func (r *Reconciler) Keep(key string, until identifier.Instant) {
	delete(r.hidden, key)
	r.kept[key] = until
}

// Hide makes an entry of the copy not count until an instant, or until it is written if that is
// zero.
func (r *Reconciler) Hide(entry relayer.Change, until identifier.Instant) {
	delete(r.kept, entry.Key)
	r.hidden[entry.Key] = hiddenEntry{entry: entry, until: until}
}

// BeginEra makes all entries of the copy count, as those hidden so far are of an older era. The
// caller must hide those of the new copy.
func (r *Reconciler) BeginEra() { clear(r.hidden) }

// Retain records the removal of the hidden entries that a complete list does not contain.
func (r *Reconciler) Retain(now identifier.Instant, listed map[string]bool) {
	for key := range r.hidden {
		if !listed[key] {
			r.RecordRemoval(now, key)
		}
	}
}

// Keeps reports whether an entry counts that the copy lacks.
func (r *Reconciler) Keeps(key string) bool {
	_, kept := r.kept[key]
	return kept
}

// Hides reports whether an entry at a position does not count. It does if it was written since
// the copy was read.
func (r *Reconciler) Hides(key string, position int64) bool {
	h, hidden := r.hidden[key]
	return hidden && position <= h.entry.Position
}

// NextDue returns the earliest instant at which Due has changes, zero for none.
func (r *Reconciler) NextDue() identifier.Instant {
	var next identifier.Instant
	add := func(at identifier.Instant) {
		if at != 0 && (next == 0 || at < next) {
			next = at
		}
	}
	for _, until := range r.kept {
		add(until)
	}
	for _, h := range r.hidden {
		add(h.until)
	}
	return next
}

// Due returns the changes by which the store's word counts again on entries that nobody has
// written in time, sorted by key.
func (r *Reconciler) Due(now identifier.Instant) []relayer.Change {
	var due []relayer.Change
	for key, until := range r.kept {
		if now >= until {
			delete(r.kept, key)
			due = append(due, relayer.Change{Key: key, Removed: true})
		}
	}
	for key, h := range r.hidden {
		if h.until != 0 && now >= h.until {
			delete(r.hidden, key)
			due = append(due, h.entry)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].Key < due[j].Key })
	return due
}
