package queuer

import (
	"container/heap"

	"buckthorndrum/identifier"
)

// wakes is a heap of times at which groups have to be looked at again, so that
// a tick costs nothing for the groups that are not concerned.
type wakes []wake

type wake struct {
	at    identifier.Instant
	class identifier.Class
}

func (w wakes) Len() int           { return len(w) }
func (w wakes) Less(i, j int) bool { return w[i].at < w[j].at }
func (w wakes) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }

// Push implements heap.Interface.
func (w *wakes) Push(x any) { *w = append(*w, x.(wake)) }

// Pop implements heap.Interface.
func (w *wakes) Pop() any {
	n := len(*w) - 1
	x := (*w)[n]
	*w = (*w)[:n]
	return x
}

// sleep has group g looked at again at the given time, unless that is due
// earlier already.
func (s *Queuer) sleep(g *group, at identifier.Instant) {
	if g.wakeAt != 0 && g.wakeAt <= at {
		return
	}
	g.wakeAt = at
	heap.Push(&s.wakes, wake{at, g.class})
}

// wake marks the groups that are due.
func (s *Queuer) wake(now identifier.Instant) {
	for len(s.wakes) > 0 && s.wakes[0].at <= now {
		w := heap.Pop(&s.wakes).(wake)
		g := s.groups[w.class]
		if g == nil || g.wakeAt != w.at {
			continue // The group has gone or is due at another time.
		}
		g.wakeAt = 0
		s.dirty[w.class] = true
	}
}

// batched puts off the update of a group whose kind usually waits long, so that
// several changes go in one frame, and reports whether it did. An empty queue is
// withdrawn at once, for each grant on it would be lost, and so is a bound
// request offered.
func (s *Queuer) batched(now identifier.Instant, g *group) bool {
	free := len(g.free.items) > 0 && len(g.bound) == 0
	if !free || s.usual(g.class) < s.cfg.LongWaitThreshold || now.Sub(g.updated) >= s.cfg.BatchDelay {
		g.updated = now
		return false
	}
	s.sleep(g, g.updated.Add(s.cfg.BatchDelay))
	return true
}
