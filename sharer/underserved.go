package sharer

import (
	"math"
	"sort"
	"time"

	"buckthorndrum/identifier"
)

const (
	// underservedAfter is how long a workspace must get less than half of what it
	// requests to count as underserved.
	underservedAfter = 200 * time.Millisecond
	// underservedRetention is how long a workspace still counts after it was last seen
	// underserved. Its callers may have moved to another router whose report has not
	// arrived yet, or a report may be lost. If the throttling of others ended at once,
	// they would get many times its share until it counts again.
	underservedRetention = window
	// outageRatio is the part of the fair share below which a workspace gets so little
	// that the cause is an outage and not other workspaces.
	outageRatio = 1.0 / 32
)

// underservedWorkspace is a workspace that gets less than half of what it requests.
type underservedWorkspace struct {
	workspace identifier.Workspace
	// requested is the requested rate and baseline the rate that others are compared
	// with, in tokens per second.
	requested int
	baseline  float64
	// lowest and secondLowest are the workspaces with the lowest and the second lowest
	// baseline among this one and those before it in the list. sortAndIndex sets them.
	// secondLowest is nil if there is only one.
	lowest       *underservedWorkspace
	secondLowest *underservedWorkspace
}

// underservedList is a list of underserved workspaces. After sortAndIndex it is sorted by
// requested rate, highest first.
type underservedList []underservedWorkspace

// sortAndIndex sorts the list and sets the fields that minBaseline uses.
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

// minBaseline returns the lowest baseline, in tokens per second, of the workspaces other
// than w that are comparable with it: those whose requested rate times comparableRatio is
// at least the rate dispatched for w. It returns infinity if there are none.
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

// largestRequestDecay is the factor by which largestRequest shrinks with each computation
// of the shares.
const largestRequestDecay = 0.99

// resolution returns how precisely a rate is known, in tokens per second: the largest
// request either is in the window or is not.
func (s *Sharer) resolution() float64 { return s.largestRequest / window.Seconds() }

// deficitTolerance is how many of the largest requests a workspace may lack in a window
// without counting as underserved. Most workspaces send few and large requests, and among
// many workspaces there is always one that lacks some by chance.
const deficitTolerance = 3

// baseline returns the rate that others are compared with on behalf of an underserved
// workspace, in tokens per second. served is the rate that counts as its service. If the
// workspace requests no more than its fair share, the baseline is at least what it
// requests: others that get no more than that do not keep it from its share.
func (s *Sharer) baseline(r Rates, served float64) float64 {
	served = max(served, s.resolution())
	if requested := float64(r.Requested); requested <= s.fairShare {
		return max(served, requested)
	}
	return served
}

// deficit is the state of a workspace when it was last seen underserved.
type deficit struct {
	// since and lastSeen are when the workspace was first and last seen underserved.
	since, lastSeen identifier.Instant
	// requested is the requested rate and baseline the rate that others are compared
	// with, in tokens per second.
	requested int
	baseline  float64
}

// persistent reports whether the deficit has lasted for underservedAfter.
func (d *deficit) persistent() bool { return d.lastSeen.Sub(d.since) >= underservedAfter }

// updateDeficits updates the deficits and the lists of underserved workspaces. A
// throttled workspace counts as getting at least the rate that it is allowed, less the
// resolution. A shortfall below that rate is no reason to throttle those that would
// throttle it in turn.
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

// updateDeficit updates the deficit of workspace w. served is the rate that counts as its
// service, in tokens per second. A workspace that gets next to nothing (see outageRatio)
// has no deficit, as others are not the cause. A deficit whose shortfall has ended is
// deleted, unless the requested rate has fallen to half or less; then collectUnderserved
// deletes it after underservedRetention.
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

// collectUnderserved appends the workspaces whose deficit persists to list, either the
// throttled or the unthrottled ones, and indexes the list. It deletes deficits that were
// not seen for underservedRetention, and those that ended before they counted.
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
