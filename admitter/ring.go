package admitter

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"buckthorndrum/identifier"
)

const (
	// maxRingPoints limits the points of a ring, unless it needs more for each target to
	// have minPointsPerTarget. The more points there are, the more evenly the prefixes
	// are distributed.
	maxRingPoints = 4096
	// minPointsPerTarget and maxPointsPerTarget bound the number of points of one target.
	minPointsPerTarget = 16
	maxPointsPerTarget = 256
)

// point is a position of a target on a ring.
type point struct {
	hash   uint64
	target *targetState
}

// ring is a consistent hash ring: the targets that follow the hash of a prefix are its
// preferred targets. It is the same in all routers that know the same targets. When a
// target is added or removed, only its own prefixes move, as long as the number of points
// per target does not change.
type ring struct {
	// pointsPerTarget is how many points each target has, a power of two.
	pointsPerTarget int
	// points is sorted by hash.
	points []point
}

// pointsFor returns how many points each of n targets has.
func pointsFor(n int) int {
	perTarget := maxPointsPerTarget
	for perTarget > minPointsPerTarget && perTarget*n > maxRingPoints {
		perTarget /= 2
	}
	return perTarget
}

// setTargets replaces the targets of the ring. The points of targets that stay are reused
// unless the number of points per target changes. That number is set by total, which is
// len(list) and the targets that are to return.
func (r *ring) setTargets(list []*targetState, total int) {
	perTarget := pointsFor(total)
	remaining := make(map[identifier.Target]*targetState, len(list))
	for _, t := range list {
		remaining[t.ID] = t
	}
	kept := make([]point, 0, perTarget*len(list))
	if perTarget == r.pointsPerTarget {
		kept = r.reusePoints(kept, remaining)
	}
	r.pointsPerTarget = perTarget
	r.points = mergePoints(kept, newPoints(remaining, perTarget))
}

// reusePoints appends to kept the points of the targets in remaining that are on the
// ring, and deletes these targets from remaining.
func (r *ring) reusePoints(kept []point, remaining map[identifier.Target]*targetState) []point {
	reused := make(map[identifier.Target]bool, len(remaining))
	for _, p := range r.points {
		if t := remaining[p.target.ID]; t != nil {
			kept = append(kept, point{hash: p.hash, target: t})
			reused[t.ID] = true
		}
	}
	for id := range reused {
		delete(remaining, id)
	}
	return kept
}

// newPoints computes the points of the targets and returns them sorted by hash.
func newPoints(list map[identifier.Target]*targetState, perTarget int) []point {
	points := make([]point, 0, perTarget*len(list))
	for _, t := range list {
		hash := xxhash.Sum64String(string(t.ID))
		for i := 0; i < perTarget; i++ {
			hash = mix(hash)
			points = append(points, point{hash: hash, target: t})
		}
	}
	sort.Slice(points, func(i, j int) bool { return points[i].hash < points[j].hash })
	return points
}

// mergePoints merges two lists of points that are sorted by hash.
func mergePoints(a, b []point) []point {
	if len(a) == 0 {
		return b
	}
	merged := make([]point, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].hash <= b[0].hash {
			merged, a = append(merged, a[0]), a[1:]
			continue
		}
		merged, b = append(merged, b[0]), b[1:]
	}
	return append(append(merged, a...), b...)
}

// mix returns a hash of a number. Different numbers have different hashes (the finaliser
// of SplitMix64).
func mix(v uint64) uint64 {
	v += 0x9e3779b97f4a7c15
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}

// walk calls visit with the target of each point, from the hash on and once around the
// ring, until visit returns false.
func (r *ring) walk(from uint64, visit func(t *targetState) bool) {
	n := len(r.points)
	start := sort.Search(n, func(i int) bool { return r.points[i].hash >= from })
	for i := 0; i < n; i++ {
		if !visit(r.points[(start+i)%n].target) {
			return
		}
	}
}
