package queuer

import (
	"container/heap"

	"buckthorndrum/identifier"
)

// recheckHeap is a heap of times at which classes have to be checked again, so that a
// tick costs nothing for the other classes.
type recheckHeap []recheck

// recheck is an entry of recheckHeap. It is outdated unless at is still the recheckAt
// of the class.
type recheck struct {
	at    identifier.Instant
	class identifier.Class
}

func (h recheckHeap) Len() int           { return len(h) }
func (h recheckHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h recheckHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *recheckHeap) Push(x any) { *h = append(*h, x.(recheck)) }

// Pop implements heap.Interface.
func (h *recheckHeap) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	*h = (*h)[:n]
	return x
}

// scheduleRecheck has class g checked again at the given time, unless an earlier check
// is scheduled.
func (s *Queuer) scheduleRecheck(g *classState, at identifier.Instant) {
	if g.recheckAt != 0 && g.recheckAt <= at {
		return
	}
	g.recheckAt = at
	heap.Push(&s.rechecks, recheck{at, g.class})
}

// markDue marks the classes whose recheck is due as dirty.
func (s *Queuer) markDue(now identifier.Instant) {
	for len(s.rechecks) > 0 && s.rechecks[0].at <= now {
		due := heap.Pop(&s.rechecks).(recheck)
		g := s.classes[due.class]
		if g == nil || g.recheckAt != due.at {
			continue // The class was removed or is due at another time.
		}
		g.recheckAt = 0
		s.dirtyClasses[due.class] = true
	}
}

// delayUpdate delays the update of a class whose usual wait is long, so that several
// changes go in one frame, and reports whether it did. If the unbound queue is empty,
// the class is updated at once, because every grant on its offers would be wasted. It
// is also updated at once if it has bound requests.
func (s *Queuer) delayUpdate(now identifier.Instant, g *classState) bool {
	unboundOnly := len(g.unbound.items) > 0 && len(g.bound) == 0
	if !unboundOnly || s.usualWait(g.class) < s.cfg.LongWaitThreshold || now.Sub(g.lastUpdate) >= s.cfg.BatchDelay {
		g.lastUpdate = now
		return false
	}
	s.scheduleRecheck(g, g.lastUpdate.Add(s.cfg.BatchDelay))
	return true
}
