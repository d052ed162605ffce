package queuer

import (
	"container/heap"

	"buckthorndrum/identifier"
)

// recheckHeap is a heap of times at which groups have to be looked at again, so that
// a tick costs nothing for the groups that are not concerned.
type recheckHeap []recheck

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

// scheduleRecheck has group g looked at again at the given time, unless that is due
// earlier already.
func (s *Queuer) scheduleRecheck(g *classState, at identifier.Instant) {
	if g.recheckAt != 0 && g.recheckAt <= at {
		return
	}
	g.recheckAt = at
	heap.Push(&s.rechecks, recheck{at, g.class})
}

// markDue marks the groups that are due.
func (s *Queuer) markDue(now identifier.Instant) {
	for len(s.rechecks) > 0 && s.rechecks[0].at <= now {
		w := heap.Pop(&s.rechecks).(recheck)
		g := s.classes[w.class]
		if g == nil || g.recheckAt != w.at {
			continue // The group has gone or is due at another time.
		}
		g.recheckAt = 0
		s.dirtyClasses[w.class] = true
	}
}

// delayUpdate puts off the update of a group whose kind usually waits long, so that
// several changes go in one frame, and reports whether it did. An empty queue is
// withdrawn at once, for each grant on it would be lost, and so is a bound
// request offered.
func (s *Queuer) delayUpdate(now identifier.Instant, g *classState) bool {
	unboundOnly := len(g.unbound.items) > 0 && len(g.bound) == 0
	if !unboundOnly || s.usualWait(g.class) < s.cfg.LongWaitThreshold || now.Sub(g.lastUpdate) >= s.cfg.BatchDelay {
		g.lastUpdate = now
		return false
	}
	s.scheduleRecheck(g, g.lastUpdate.Add(s.cfg.BatchDelay))
	return true
}
