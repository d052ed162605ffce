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

func (w recheckHeap) Len() int           { return len(w) }
func (w recheckHeap) Less(i, j int) bool { return w[i].at < w[j].at }
func (w recheckHeap) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }

// Push implements heap.Interface.
func (w *recheckHeap) Push(x any) { *w = append(*w, x.(recheck)) }

// Pop implements heap.Interface.
func (w *recheckHeap) Pop() any {
	n := len(*w) - 1
	x := (*w)[n]
	*w = (*w)[:n]
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
		w := heap.Pop(&s.rechecks).(recheck)
		g := s.classes[w.class]
		if g == nil || g.recheckAt != w.at {
			continue // The class was removed or is due at another time.
		}
		g.recheckAt = 0
		s.dirtyClasses[w.class] = true
	}
}

// delayUpdate delays the update of a class whose usual wait is long, so that several
// changes go in one frame, and reports whether it did. If the unbound queue is empty,
// the class is updated at once, because every grant on its offers would be lost. It is
// also updated at once if it has bound requests.
func (s *Queuer) delayUpdate(now identifier.Instant, g *classState) bool {
	unboundOnly := len(g.unbound.items) > 0 && len(g.bound) == 0
	if !unboundOnly || s.usualWait(g.class) < s.cfg.LongWaitThreshold || now.Sub(g.lastUpdate) >= s.cfg.BatchDelay {
		g.lastUpdate = now
		return false
	}
	s.scheduleRecheck(g, g.lastUpdate.Add(s.cfg.BatchDelay))
	return true
}
