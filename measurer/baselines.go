package measurer

import (
	"sort"
	"time"

	"buckthorndrum/identifier"
)

// firstCome is the first baseline: a router sends each job to a random target
// at once, and the target takes jobs first come first served.
type firstCome struct {
	w      *world
	queues map[*target][]*job
}

func newFirstCome(w *world) *firstCome { return &firstCome{w: w, queues: map[*target][]*job{}} }

// maxTargetQueue bounds what waits at one target of a baseline.
const maxTargetQueue = 2000

func (s *firstCome) submit(j *job) {
	t := s.pick(j.pool)
	if t == nil || len(s.queues[t]) >= maxTargetQueue {
		s.w.gauges.refuse(j)
		return
	}
	s.w.clock.after(s.w.delay(j.router, t.region), func() {
		s.queues[t] = append(s.queues[t], j)
		s.next(t)
	})
}

func (s *firstCome) pick(p identifier.Pool) *target {
	var ts []*target
	for _, t := range s.w.targets {
		if t.pool == p && !t.dead {
			ts = append(ts, t)
		}
	}
	if len(ts) == 0 {
		return nil
	}
	return ts[s.w.rng.IntN(len(ts))]
}

func (s *firstCome) next(t *target) {
	for len(t.running) < t.slots && len(s.queues[t]) > 0 && !t.dead {
		j := s.queues[t][0]
		s.queues[t] = s.queues[t][1:]
		if j.deadline <= s.w.clock.now {
			s.w.gauges.refuse(j)
			continue
		}
		s.w.gauges.leave(j)
		t.start(j)
	}
}

func (s *firstCome) token(*target, *job)     {}
func (s *firstCome) ended(t *target, _ *job) { s.next(t) }

func (s *firstCome) fault(f Fault, on bool) {
	if f != TargetDies {
		return
	}
	t := s.w.targets[0]
	if on {
		for _, j := range s.queues[t] {
			s.w.gauges.leave(j)
			s.w.gauges.lose(j)
		}
		s.queues[t] = nil
	}
}

// leastLoaded is the second baseline: each router has fair queues of its own
// and pushes to the target that reports the least load.
type leastLoaded struct {
	w       *world
	routers []*pushRouter
	queues  map[*target][]*job
	// reported is the load that the targets have reported, late.
	reported map[*target]int
}

type pushRouter struct {
	index int
	// waiting is by pool and workspace, served is by workspace.
	waiting map[identifier.Pool]map[identifier.Workspace][]*job
	served  map[identifier.Workspace]identifier.Cost
	// sent is what was pushed to each target since its last report.
	sent map[*target]int
}

// reportEvery is how often targets report their load to the routers.
const reportEvery = 250 * time.Millisecond

func newLeastLoaded(w *world) *leastLoaded {
	s := &leastLoaded{w: w, queues: map[*target][]*job{}, reported: map[*target]int{}}
	for i := range w.size.Routers {
		s.routers = append(s.routers, &pushRouter{
			index:   i,
			waiting: map[identifier.Pool]map[identifier.Workspace][]*job{models: {}, registry: {}},
			served:  map[identifier.Workspace]identifier.Cost{},
			sent:    map[*target]int{},
		})
	}
	w.clock.every(reportEvery, s.report)
	w.clock.every(sampleEvery, w.gauges.sample)
	return s
}

func (s *leastLoaded) report() {
	for _, t := range s.w.targets {
		s.reported[t] = len(t.running) + len(s.queues[t])
		if s.w.sc.Fault == TargetLies && t == s.w.targets[0] {
			s.reported[t] = 0
		}
	}
	for _, r := range s.routers {
		clear(r.sent)
		s.push(r)
	}
}

func (s *leastLoaded) submit(j *job) {
	r := s.routers[j.router]
	q := r.waiting[j.pool]
	if len(q[j.class.Workspace]) >= maxQueued {
		s.w.gauges.refuse(j)
		return
	}
	q[j.class.Workspace] = append(q[j.class.Workspace], j)
	s.push(r)
}

// push sends waiting jobs while a target seems to have room.
func (s *leastLoaded) push(r *pushRouter) {
	for _, p := range []identifier.Pool{models, registry} {
		for {
			t := s.mostFree(r, p)
			if t == nil {
				break
			}
			j := s.next(r, p)
			if j == nil {
				break
			}
			s.send(r, t, j)
		}
	}
}

func (s *leastLoaded) send(r *pushRouter, t *target, j *job) {
	r.served[j.class.Workspace] += max(j.hint, 1)
	r.sent[t]++
	s.w.clock.after(s.w.delay(r.index, t.region), func() {
		s.queues[t] = append(s.queues[t], j)
		s.start(t)
	})
}

func (s *leastLoaded) mostFree(r *pushRouter, p identifier.Pool) *target {
	var best *target
	least := 0
	for _, t := range s.w.targets {
		if t.pool != p || t.dead {
			continue
		}
		load := s.reported[t] + r.sent[t]
		if load < t.slots && (best == nil || load < least) {
			best, least = t, load
		}
	}
	return best
}

// next takes the oldest job of the workspace that this router has served least.
func (s *leastLoaded) next(r *pushRouter, p identifier.Pool) *job {
	var names []identifier.Workspace
	for w, js := range r.waiting[p] {
		if len(js) > 0 {
			names = append(names, w)
		}
	}
	if len(names) == 0 {
		return nil
	}
	sort.Slice(names, func(i, j int) bool {
		if a, b := r.served[names[i]], r.served[names[j]]; a != b {
			return a < b
		}
		return names[i] < names[j]
	})
	w := names[0]
	j := r.waiting[p][w][0]
	r.waiting[p][w] = r.waiting[p][w][1:]
	if j.deadline <= s.w.clock.now {
		s.w.gauges.refuse(j)
		return s.next(r, p)
	}
	return j
}

func (s *leastLoaded) start(t *target) {
	for len(t.running) < t.slots && len(s.queues[t]) > 0 && !t.dead {
		j := s.queues[t][0]
		s.queues[t] = s.queues[t][1:]
		s.w.gauges.leave(j)
		t.start(j)
	}
}

func (s *leastLoaded) token(*target, *job) {}

func (s *leastLoaded) ended(t *target, _ *job) { s.start(t) }

func (s *leastLoaded) fault(f Fault, on bool) {
	if f != TargetDies || !on {
		return
	}
	t := s.w.targets[0]
	for _, j := range s.queues[t] {
		s.w.gauges.leave(j)
		s.w.gauges.lose(j)
	}
	s.queues[t] = nil
}

// central is the oracle: one queue that sees everything at once. It serves the
// workspace with the least service and never leaves a slot idle.
type central struct {
	w       *world
	waiting map[identifier.Pool]map[identifier.Workspace][]*job
	served  map[identifier.Workspace]identifier.Cost
	count   map[identifier.Pool]int
	// before tells which of two workspaces is served first.
	before func(s *central, p identifier.Pool, a, b identifier.Workspace) bool
}

func leastServed(s *central, _ identifier.Pool, a, b identifier.Workspace) bool {
	if s.served[a] != s.served[b] {
		return s.served[a] < s.served[b]
	}
	return a < b
}

func earliestDeadline(s *central, p identifier.Pool, a, b identifier.Workspace) bool {
	da, db := s.waiting[p][a][0].deadline, s.waiting[p][b][0].deadline
	if da != db {
		return da < db
	}
	return a < b
}

func newCentral(w *world, before func(*central, identifier.Pool, identifier.Workspace, identifier.Workspace) bool) *central {
	w.clock.every(sampleEvery, w.gauges.sample)
	return &central{
		w:       w,
		waiting: map[identifier.Pool]map[identifier.Workspace][]*job{models: {}, registry: {}},
		served:  map[identifier.Workspace]identifier.Cost{},
		count:   map[identifier.Pool]int{},
		before:  before,
	}
}

// maxCentral bounds what one workspace has waiting in the central queue, which
// stands for the queues of all routers.
const maxCentral = 5000

func (s *central) submit(j *job) {
	q := s.waiting[j.pool]
	if len(q[j.class.Workspace]) >= maxCentral {
		s.w.gauges.refuse(j)
		return
	}
	q[j.class.Workspace] = append(q[j.class.Workspace], j)
	s.count[j.pool]++
	s.fill()
}

func (s *central) fill() {
	for _, t := range s.w.targets {
		for len(t.running) < t.slots && !t.dead && s.count[t.pool] > 0 {
			if j := s.next(t.pool); j != nil {
				s.w.gauges.leave(j)
				t.start(j)
			}
		}
	}
}

func (s *central) next(p identifier.Pool) *job {
	var best identifier.Workspace
	for w, js := range s.waiting[p] {
		if len(js) == 0 {
			continue
		}
		if best == "" || s.before(s, p, w, best) {
			best = w
		}
	}
	j := s.waiting[p][best][0]
	s.waiting[p][best] = s.waiting[p][best][1:]
	s.count[p]--
	if j.deadline <= s.w.clock.now {
		s.w.gauges.refuse(j)
		return nil
	}
	s.served[best] += j.cost
	return j
}

func (s *central) token(*target, *job) {}

func (s *central) ended(*target, *job) { s.fill() }

func (s *central) fault(Fault, bool) { s.fill() }
