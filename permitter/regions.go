package permitter

import "buckthorndrum/identifier"

// RegionSet is the regions in which a request may be processed. The nil RegionSet is no
// restriction; one that is empty and not nil allows no region.
type RegionSet map[identifier.Region]bool

// Allows reports whether a request may be processed in a region. A region that is not known,
// which is empty, is allowed only without a restriction.
func (s RegionSet) Allows(r identifier.Region) bool { return s == nil || r != "" && s[r] }

// Intersect returns the restriction by which both apply.
func (s RegionSet) Intersect(t RegionSet) RegionSet {
	switch {
	case s == nil:
		return t
	case t == nil:
		return s
	}
	both := RegionSet{}
	for r := range s {
		if t[r] {
			both[r] = true
		}
	}
	return both
}
