package linker

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Bound is the most links that one process opens to the members of one pool.
// Up to that size of a pool every process links to every member.
const Bound = 64

// Candidate is a process that could be linked to.
type Candidate struct {
	Name string
	// Near tells that it is in the same region.
	Near bool
}

// Subset returns the members that self links to, at most bound of them. Members
// of its region come first, and the choice is by rendezvous hashing: it is
// spread evenly over the members, and a member that joins or leaves changes one
// link of those that are concerned.
func Subset(self string, members []Candidate, bound int) []string {
	ranked := make([]rank, 0, len(members))
	for _, m := range members {
		if m.Name != self {
			ranked = append(ranked, rank{m, xxhash.Sum64String(self + "|" + m.Name)})
		}
	}
	sort.Slice(ranked, func(i, j int) bool { return ranked[i].before(ranked[j]) })
	if len(ranked) > bound {
		ranked = spill(ranked, bound)
	}
	names := make([]string, len(ranked))
	for i, r := range ranked {
		names[i] = r.Name
	}
	return names
}

// spillFraction is the part of the links that go outside the region, so that
// regions stay joined and work can spill over.
const spillFraction = 8

// spill keeps bound candidates of which some are outside the region.
func spill(ranked []rank, bound int) []rank {
	far := 0
	for far < len(ranked) && ranked[far].Near {
		far++
	}
	outside := min(max(bound/spillFraction, bound-far), len(ranked)-far)
	kept := append([]rank(nil), ranked[:min(bound-outside, far)]...)
	return append(kept, ranked[far:far+outside]...)
}

// rank is a candidate with its place in the order.
type rank struct {
	Candidate
	hash uint64
}

func (a rank) before(b rank) bool {
	if a.Near != b.Near {
		return a.Near
	}
	if a.hash != b.hash {
		return a.hash < b.hash
	}
	return a.Name < b.Name
}
