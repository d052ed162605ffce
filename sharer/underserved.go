package sharer

import (
	"math"
	"sort"
	"time"

	"buckthorndrum/identifier"
)

const (
	// underservedAfter is how long a workspace must have been given less than half of
	// what it asks for to count as needy.
	underservedAfter = 200 * time.Millisecond
	// underservedRetention is how long it counts after that. Its callers may have come to another
	// router, whose report is not here yet, or a report may be lost: if others were
	// free at once, they would have many times its share until it counts again.
	underservedRetention = window
	// outageRatio is the part of its share below which a workspace is given so little that
	// it is not others who keep it from more, but an outage.
	outageRatio = 1.0 / 32
)

// underservedWorkspace is a workspace that is given less than half of what it asks for.
type underservedWorkspace struct {
	workspace identifier.Workspace
	// requested is a rate and had what others are compared with, in tokens a second.
	requested int
	baseline  float64
	// lowest and second are the one that has least among this and all that ask for
	// more, and the least of the others among them. Invariant: set by arrange.
	lowest       *underservedWorkspace
	secondLowest *underservedWorkspace
}

// underservedList are the workspaces in need. Once arranged, those that ask for most come
// first.
type underservedList []underservedWorkspace

// sortAndIndex makes the list ready for questions.
func (l underservedList) sortAndIndex() {
	sort.Slice(l, func(i, j int) bool { return l[i].requested > l[j].requested })
	var lowest, secondLowest *underservedWorkspace
	for i := range l {
		switch item := &l[i]; {
		case lowest == nil || item.baseline < lowest.baseline:
			lowest, secondLowest = item, lowest
		case secondLowest == nil || item.baseline < secondLowest.baseline:
			secondLowest = item
		}
		l[i].lowest, l[i].secondLowest = lowest, secondLowest
	}
}

// minBaseline returns the minBaseline that others have which ask for as much as workspace w has,
// or nearly so, in tokens a second, and infinity if there are none.
func (l underservedList) minBaseline(w identifier.Workspace, rates Rates) float64 {
	count := sort.Search(len(l), func(i int) bool { return comparableRatio*l[i].requested < rates.Dispatched })
	if count == 0 {
		return math.Inf(1)
	}
	found := l[count-1].lowest
	if found.workspace == w {
		found = l[count-1].secondLowest
	}
	if found == nil {
		return math.Inf(1)
	}
	return found.baseline
}

// largestRequestDecay is what is left of the size of the largest request each time that the
// level is worked out.
const largestRequestDecay = 0.99

// resolution is how exactly a rate can be known, in tokens a second: the largest request is in
// the window or is not.
func (s *Sharer) resolution() float64 { return s.largestRequest / window.Seconds() }

// deficitTolerance is how many of the largest requests a workspace may lack without being in need.
// Most workspaces send few and large ones, and one of many always lacks some by deficitTolerance.
const deficitTolerance = 3

// baseline is what those are compared with who are held back for the sake of a workspace
// that has so much, in tokens a second. One that asks for less than its share is not kept
// from it by others that have no more than it asks for.
func (s *Sharer) baseline(r Rates, served float64) float64 {
	served = max(served, s.resolution())
	if requested := float64(r.Requested); requested <= s.fairShare {
		return max(served, requested)
	}
	return served
}

// deficit is what a workspace in deficit was last seen to have.
type deficit struct {
	// since is when it came to be in need, and lastSeen when it was seen so lastSeen.
	since, lastSeen identifier.Instant
	// requested is a rate and had what others are compared with, in tokens a second.
	requested int
	baseline  float64
}

// persistent tells whether the need lasts long enough to count.
func (d *deficit) persistent() bool { return d.lastSeen.Sub(d.since) >= underservedAfter }

// updateDeficits notes which workspaces are given less than half of what they ask for. One
// that is held back itself counts with what it is allowed for the sake of the others:
// what it lacks of that is no reason to hold back those who would hold it back in turn.
func (s *Sharer) updateDeficits(now identifier.Instant, totals map[identifier.Workspace]Rates) {
	for w, r := range totals {
		if _, throttled := s.admissionRatios[w]; !throttled {
			s.updateDeficit(now, w, r, float64(r.served()))
		}
	}
	s.underserved = s.collectUnderserved(now, s.underserved[:0], false)
	for w := range s.admissionRatios {
		r, known := totals[w]
		if lowest := s.underserved.minBaseline(w, r); known && !math.IsInf(lowest, 1) {
			s.updateDeficit(now, w, r, max(float64(r.served()), maxAdvantage*lowest-s.resolution()))
		}
	}
	s.throttledUnderserved = s.collectUnderserved(now, s.throttledUnderserved[:0], true)
}

// updateDeficit notes whether a workspace that has so much, to a grain, is in need. One that has
// next to nothing is not kept from more by others.
func (s *Sharer) updateDeficit(now identifier.Instant, w identifier.Workspace, r Rates, served float64) {
	d := s.deficits[w]
	if served < outageRatio*min(s.fairShare, s.capacity) {
		delete(s.deficits, w)
		return
	}
	if float64(r.Requested) <= 2*(served+deficitTolerance*s.resolution()) {
		if d != nil && 2*r.Requested > d.requested {
			delete(s.deficits, w)
		}
		return
	}
	if d == nil {
		d = &deficit{since: now}
		s.deficits[w] = d
	}
	d.lastSeen, d.requested, d.baseline = now, r.Requested, s.baseline(r, served)
}

// collectUnderserved appends those whose need has lasted, the held ones or the others, and
// forgets those that have not been in need of late.
func (s *Sharer) collectUnderserved(now identifier.Instant, list underservedList, wantThrottled bool) underservedList {
	for w, d := range s.deficits {
		_, throttled := s.admissionRatios[w]
		current := d.lastSeen == now
		switch {
		case throttled != wantThrottled:
		case !current && (now.Sub(d.lastSeen) > underservedRetention || !d.persistent()):
			delete(s.deficits, w)
		case d.persistent():
			list = append(list, underservedWorkspace{workspace: w, requested: d.requested, baseline: d.baseline})
		}
	}
	list.sortAndIndex()
	return list
}
