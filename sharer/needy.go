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
	had   float64
	// lowest and second are the one that has least among this and all that ask for
	// more, and the least of the others among them. Invariant: set by arrange.
	lowest *needyOne
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
		n[i].lowest, n[i].second = least, second
	}
}

// least returns the least that others have which ask for as much as workspace w has,
// or nearly so, in tokens a second, and infinity if there are none.
func (n needyOnes) least(w identifier.Workspace, own Rates) float64 {
	count := sort.Search(len(n), func(i int) bool { return comparable*n[i].asked < own.Given })
	if count == 0 {
		return math.Inf(1)
	}
	found := n[count-1].lowest
	if found.workspace == w {
		found = n[count-1].second
	}
	if found == nil {
		return math.Inf(1)
	}
	return found.had
}
