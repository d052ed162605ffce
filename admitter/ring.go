package admitter

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"buckthorndrum/identifier"
)

const (
	// ringPoints is how many points a ring has at least, if its targets do not
	// need more: the more there are, the more even the targets' parts are.
	ringPoints = 4096
	// minPoints and maxPoints bound the points of one target.
	minPoints = 16
	maxPoints = 256
)

// point is one place of a target on a ring.
type point struct {
	at    uint64
	state *state
}

// ring is a consistent hash ring: the targets that come next after the hash of a
// prompt part are its homes. It is the same in all routers that know the same
// targets, and when a target comes or goes only its own parts move.
type ring struct {
	// each is how many points a target has, a power of two.
	each int
	// points are in order.
	points []point
}

// pointsFor returns how many points each of n targets has.
func pointsFor(n int) int {
	each := maxPoints
	for each > minPoints && each*n > ringPoints {
		each /= 2
	}
	return each
}

// replace makes the ring that of other targets. The points of those that stay are
// not worked out anew.
func (r *ring) replace(list []*state) {
	each := pointsFor(len(list))
	stays := make(map[identifier.Target]*state, len(list))
	for _, t := range list {
		stays[t.ID] = t
	}
	kept := make([]point, 0, each*len(list))
	if each == r.each {
		kept = r.keep(kept, stays)
	}
	r.each = each
	r.points = merge(kept, pointsOf(stays, each))
}

// keep appends the points of the targets that stay, and takes these out of stays.
func (r *ring) keep(kept []point, stays map[identifier.Target]*state) []point {
	known := make(map[identifier.Target]bool, len(stays))
	for _, p := range r.points {
		if t := stays[p.state.ID]; t != nil {
			kept = append(kept, point{at: p.at, state: t})
			known[t.ID] = true
		}
	}
	for id := range known {
		delete(stays, id)
	}
	return kept
}

// pointsOf returns the points of targets in order.
func pointsOf(list map[identifier.Target]*state, each int) []point {
	points := make([]point, 0, each*len(list))
	for _, t := range list {
		at := xxhash.Sum64String(string(t.ID))
		for i := 0; i < each; i++ {
			at = mix(at)
			points = append(points, point{at: at, state: t})
		}
	}
	sort.Slice(points, func(i, j int) bool { return points[i].at < points[j].at })
	return points
}

// merge returns the points of two lists, both in order, in order.
func merge(a, b []point) []point {
	if len(a) == 0 {
		return b
	}
	merged := make([]point, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].at <= b[0].at {
			merged, a = append(merged, a[0]), a[1:]
			continue
		}
		merged, b = append(merged, b[0]), b[1:]
	}
	return append(append(merged, a...), b...)
}

// mix scrambles a number, each to another one (the finaliser of SplitMix64).
func mix(v uint64) uint64 {
	v += 0x9e3779b97f4a7c15
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}

// walk hands on the points from a hash on, once around, until each returns false.
func (r *ring) walk(from uint64, each func(t *state) bool) {
	n := len(r.points)
	start := sort.Search(n, func(i int) bool { return r.points[i].at >= from })
	for i := 0; i < n; i++ {
		if !each(r.points[(start+i)%n].state) {
			return
		}
	}
}
