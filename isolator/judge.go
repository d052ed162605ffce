package isolator

import (
	"sort"
	"time"

	"buckthorndrum/identifier"
)

// cleared reports whether a crash does not count against a part: the part was answered
// since or shortly before, or its block was lifted since.
func (i *Isolator) cleared(c *crash, p Part) bool {
	if c.at <= i.lifted[p] {
		return true
	}
	answered := i.lastAnswer(p)
	return answered != 0 && c.at <= answered.Add(answerGrace)
}

// rejudge computes the judgements anew if something has changed, and blocks the parts
// that have crashed enough targets. The worst part is blocked first: the crashes at which
// it was running are then explained and do not count against others.
func (i *Isolator) rejudge(now identifier.Instant) {
	if !i.dirty {
		return
	}
	withdrawn := i.withdrawUnsettled()
	order := i.earliestFirst()
	for {
		counts := i.countCrashes(order)
		worst, found := i.worst(counts)
		if !found {
			i.setJudgements(now, counts)
			break
		}
		i.block(now, worst, counts[worst], withdrawn)
	}
	i.dirty = false
}

// count is the crashes that count against a part.
type count struct {
	Suspect
	// crashes is their number, in which those with the same cause and those of the same
	// target count once. moments is the same with those of one target at different times
	// counted each, and total is the number of all.
	crashes, moments, total int
	// trials is how many of them were trials at targets that crashed alone.
	trials int
	// accompanied is how many of crashes happened in the same outage as one elsewhere. Each of
	// them raises what blocks the part by one, up to blockAfterRepeated.
	accompanied int
	// targets are the targets of crashes.
	targets map[TargetHash]struct{}
	// last is when the last of crashes happened, and lastMoment the last of moments.
	last, lastMoment identifier.Instant
}

// countCrashes counts the crashes that no blocked part explains, for each part that was
// running and is not cleared.
func (i *Isolator) countCrashes(order []CrashID) map[Part]count {
	counts := map[Part]count{}
	for _, id := range order {
		c := i.crashes[id]
		if i.explained(c) {
			continue
		}
		for p, s := range c.suspects {
			if i.cleared(c, p) {
				continue
			}
			n, known := counts[p]
			if !known {
				n = count{Suspect: s, targets: map[TargetHash]struct{}{}}
			}
			if n.add(c.at, id.target(), s) && i.accompanied(c, p, sameOutage) {
				n.accompanied++
			}
			if s.Trial && !i.accompanied(c, p, sameCause) {
				n.trials++
			}
			counts[p] = n
		}
	}
	return counts
}

// add adds a crash of a target that happened after those that are in the count. It reports
// whether the crash is one of n.crashes.
func (n *count) add(at identifier.Instant, t TargetHash, s Suspect) bool {
	n.Suspect = n.merge(s)
	n.total++
	if n.moments == 0 || s.Trial || at.Sub(n.lastMoment) > sameCause {
		n.moments++
		n.lastMoment = at
	}
	_, again := n.targets[t]
	if again || n.crashes > 0 && !s.Trial && at.Sub(n.last) <= sameCause {
		return false
	}
	n.crashes++
	n.last = at
	n.targets[t] = struct{}{}
	return true
}

// accompanied reports whether a target at which a part was not running crashed within a time
// of one at which it was, so that both may have a cause other than the part.
func (i *Isolator) accompanied(c *crash, p Part, within time.Duration) bool {
	for _, other := range i.crashes {
		_, running := other.suspects[p]
		if !running && max(other.at.Sub(c.at), c.at.Sub(other.at)) <= within {
			return true
		}
	}
	return false
}

// explained reports whether a blocked part was running at a crash. A workspace whose
// request carried the part is added to the block.
func (i *Isolator) explained(c *crash) bool {
	found := false
	for p, b := range i.blocks {
		s, running := c.suspects[p]
		if running && !i.cleared(c, p) {
			b.add(s)
			found = true
		}
	}
	return found
}

// worst returns the part to be blocked next, if there is one: that with the most crashes,
// then with the most trials among them, then one that was never answered, then the deepest.
func (i *Isolator) worst(counts map[Part]count) (worst Part, found bool) {
	for p, n := range counts {
		if !i.proven(p, n) {
			continue
		}
		if !found || i.worse(n, counts[worst]) {
			worst, found = p, true
		}
	}
	return worst, found
}

// proven reports whether the crashes show that targets crash under a part. Crashes at one
// moment are not enough, however many they are, as they may have one cause outside the
// prompt. Trials that crash their targets alone are.
func (i *Isolator) proven(p Part, n count) bool {
	limit := min(i.limit(p, blockAfter, blockAnsweredAfter)+n.accompanied, blockAfterRepeated)
	return n.crashes >= limit || n.moments >= blockAfterRepeated || i.isUndecided(p, n) && n.trials >= undecidedTrials
}

// isUndecided reports whether as many targets have crashed under a part as block it.
func (i *Isolator) isUndecided(p Part, n count) bool {
	_, before := i.undecided[p]
	return before || n.total >= undecidedAfter
}

func (i *Isolator) worse(a, b count) bool {
	if a.crashes != b.crashes {
		return a.crashes > b.crashes
	}
	if a.trials != b.trials {
		return a.trials > b.trials
	}
	if x, y := i.lastAnswer(a.Part) == 0, i.lastAnswer(b.Part) == 0; x != y {
		return x
	}
	if a.Depth != b.Depth {
		return a.Depth > b.Depth
	}
	if a.total != b.total {
		return a.total > b.total
	}
	return a.Part < b.Part
}

// limit returns never for a part that was never answered, and else answered.
func (i *Isolator) limit(p Part, never, answered int) int {
	if i.lastAnswer(p) == 0 {
		return never
	}
	return answered
}

// setJudgements replaces the judgements by those that follow from counts, and from what was
// undecided before.
func (i *Isolator) setJudgements(now identifier.Instant, counts map[Part]count) {
	clear(i.judgements)
	for p, at := range i.undecided {
		if b := i.blocks[p]; b != nil && b.settled || at <= i.lifted[p] || at <= i.lastAnswer(p).Add(answerGrace) || now.Sub(at) > crashTTL {
			delete(i.undecided, p)
		}
	}
	for p := range i.undecided {
		i.judgements[p] = judgement{state: Undecided, crashes: counts[p].crashes}
	}
	for p, n := range counts {
		switch {
		case i.isUndecided(p, n):
			if len(i.undecided) < maxTried {
				i.undecided[p] = n.last
			}
			i.judgements[p] = judgement{state: Undecided, crashes: n.crashes}
		case n.crashes >= i.limit(p, 1, suspectAnsweredAfter):
			i.judgements[p] = judgement{state: Suspected, crashes: n.crashes}
		}
	}
}

// earliestFirst returns the crashes in the order in which they happened.
func (i *Isolator) earliestFirst() []CrashID {
	list := make([]CrashID, 0, len(i.crashes))
	for id := range i.crashes {
		list = append(list, id)
	}
	sort.Slice(list, func(a, b int) bool {
		x, y := i.crashes[list[a]].at, i.crashes[list[b]].at
		return x < y || x == y && list[a] < list[b]
	})
	return list
}

// latestFirst returns the crashes, the latest first.
func (i *Isolator) latestFirst() []CrashID {
	list := i.earliestFirst()
	for a, b := 0, len(list)-1; a < b; a, b = a+1, b-1 {
		list[a], list[b] = list[b], list[a]
	}
	return list
}

// sortedSuspects returns suspects in the order in which they are kept if there are too
// many: first those with the most crashes, then those that were never answered.
func (i *Isolator) sortedSuspects(suspects map[Part]Suspect) []Suspect {
	list := make([]Suspect, 0, len(suspects))
	for _, s := range suspects {
		list = append(list, s)
	}
	rank := func(s Suspect) int {
		n := 2 * i.judgements[s.Part].crashes
		if i.lastAnswer(s.Part) == 0 {
			n++
		}
		return n
	}
	sort.Slice(list, func(a, b int) bool {
		if x, y := rank(list[a]), rank(list[b]); x != y {
			return x > y
		}
		return list[a].Part < list[b].Part
	})
	return list
}
