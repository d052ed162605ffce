package scheduler

import (
	"time"

	"buckthorndrum/identifier"
)

// minRun is how long a run is left alone once it has started or resumed, so
// that preemption cannot thrash.
const minRun = time.Second

// preempt cancels one borrowed, resumable run when a kind waits that holds
// less than its guaranteed share of the slots, and gives that kind the room.
func (s *Scheduler) preempt(now identifier.Instant, acts *Actions) {
	if s.cfg.PreemptInterval <= 0 || s.draining || s.onHold || now.Sub(s.preempted) < s.cfg.PreemptInterval {
		return
	}
	if s.room(now) > 0 {
		return
	}
	s.preempted = now // Looked at, whether or not there is a victim.
	kind, found := s.underserved()
	if !found {
		return
	}
	r, u := s.victim(now)
	if u == nil {
		return
	}
	u.atTarget = false
	s.running--
	c := s.class(now, u.class)
	c.parked = append(c.parked, r)
	s.settle(u)
	acts.Preempts = append(acts.Preempts, r)
	s.startQueued(now, acts)
	if next := s.choose(kind); next != nil && s.room(now) > 0 {
		s.serve(now, kind, next, acts)
	}
}

// underserved returns a kind that waits and holds less than its share of slots,
// the one that lacks most.
func (s *Scheduler) underserved() (identifier.Kind, bool) {
	held := s.held()
	waiting := s.waitingKinds()
	var worst identifier.Kind
	most := 0.0
	for _, k := range s.cfg.kindNames() {
		lack := s.cfg.Kinds[k].Share*float64(s.pace.slots) - float64(held[k])
		if waiting[k] && lack >= 1 && lack > most {
			worst, most = k, lack
		}
	}
	return worst, most > 0
}

// held returns how many slots each kind holds or is about to hold.
func (s *Scheduler) held() map[identifier.Kind]int {
	held := map[identifier.Kind]int{}
	for _, u := range s.runs {
		if !s.isParked(u) {
			held[u.class.Kind]++
		}
	}
	for _, g := range s.grants {
		held[g.class.Kind]++
	}
	return held
}

func (s *Scheduler) isParked(u *run) bool { return !u.atTarget && u.started != 0 }

// victim returns the latest started resumable run of the kind that holds most
// beyond its share, or nil if no kind holds more than its share.
func (s *Scheduler) victim(now identifier.Instant) (identifier.Request, *run) {
	held := s.held()
	var id identifier.Request
	var best *run
	var bestOver float64
	for r, u := range s.runs {
		over := float64(held[u.class.Kind]) - s.cfg.Kinds[u.class.Kind].Share*float64(s.pace.slots)
		if !u.atTarget || !u.resumable || over < 1 || now.Sub(u.started) < minRun {
			continue
		}
		if best == nil || over > bestOver || (over == bestOver && laterRun(r, u, id, best)) {
			id, best, bestOver = r, u, over
		}
	}
	return id, best
}

func laterRun(r identifier.Request, u *run, id identifier.Request, best *run) bool {
	if u.started != best.started {
		return u.started > best.started
	}
	return r < id
}

// resume starts the oldest parked request of class c again.
func (s *Scheduler) resume(now identifier.Instant, lane identifier.Kind, c *class, acts *Actions) bool {
	if s.running >= s.pace.free() {
		return false
	}
	r := c.parked[0]
	c.parked = c.parked[1:]
	u := s.runs[r]
	u.lane = lane
	cost := max(u.estimate-u.used, 0)
	u.charged += cost
	s.charge(c.id.Workspace, cost)
	s.lanes.charge(lane, cost)
	s.tidy(now, c)
	s.start(now, r, acts)
	return true
}
