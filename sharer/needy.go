package sharer

import (
	"math"
	"sort"

	"buckthorndrum/identifier"
)

// needyOne is a workspace that is given less than half of what it asks for.
type needyOne struct {
	workspace identifier.Workspace
	// asked and had are rates, in tokens a second.
	asked int
	had   int
	// least and second are the one that has least among this and all that ask for
	// more, and the least of the others among them. Invariant: set by arrange.
	least  *needyOne
	second *needyOne
}

// needyOnes are the workspaces in need. Once arranged, those that ask for most come
// first.
type needyOnes []needyOne

// arrange makes the list ready for questions.
func (n needyOnes) arrange() {
	sort.Slice(n, func(i, j int) bool { return n[i].asked > n[j].asked })
	var least, second *needyOne
	for i := range n {
		switch own := &n[i]; {
		case least == nil || own.had < least.had:
			least, second = own, least
		case second == nil || own.had < second.had:
			second = own
		}
		n[i].least, n[i].second = least, second
	}
}

// allowed returns what workspace w with some rates may be given, in tokens a second,
// for the sake of needy ones that ask for as much or nearly so, and infinity if
// there are none.
func (n needyOnes) allowed(w identifier.Workspace, own Rates) float64 {
	count := sort.Search(len(n), func(i int) bool { return comparable*n[i].asked < own.Given })
	if count == 0 {
		return math.Inf(1)
	}
	found := n[count-1].least
	if found.workspace == w {
		found = n[count-1].second
	}
	if found == nil {
		return math.Inf(1)
	}
	return lead * float64(max(1, found.had))
}
