package isolator

import (
	"slices"
	"time"

	"buckthorndrum/identifier"
)

// brokenFor is how long a run whose connection broke counts as running at a crash that
// is noticed later.
const brokenFor = time.Second

const (
	// FirstProgress is the time between the first event of an answer and the first record
	// of its progress. A target that crashes under a part does so when it begins to answer.
	FirstProgress = 250 * time.Millisecond
	// ProgressInterval is the time between two records of the progress of an answer.
	ProgressInterval = time.Second
)

// maxPartsPerRun bounds the parts of one request that are looked at.
const maxPartsPerRun = 16

// Run is one run of a request at a target, from its sending to its end.
type Run struct {
	target    CrashID
	workspace identifier.Workspace
	parts     []Part
	// trials are the parts for which the run is a trial, none if it is none.
	trials []Part
	// counted is whether the run counts as a trial that is under way.
	counted bool
	// brokenAt is when the connection broke, zero before.
	brokenAt identifier.Instant
}

// Outcome is how a run ended.
type Outcome int

const (
	// Answered means that the answer came completely.
	Answered Outcome = iota
	// Broken means that the target broke off, before or in its answer.
	Broken
	// Ended means that the run ended in a way that says nothing about its parts.
	Ended
)

// StartRun records that a request with the given parts is sent to an incarnation of a
// target. A run with a suspected part is a trial of the part, and one with undecided parts
// of all of them.
func (i *Isolator) StartRun(now identifier.Instant, target CrashID, w identifier.Workspace, parts []Part) *Run {
	r := &Run{target: target, workspace: w, parts: parts[:min(len(parts), maxPartsPerRun)]}
	v := i.Judge(now, w, r.parts)
	r.trials = i.trialsOf(r, v)
	r.counted = len(r.trials) > 0
	for _, p := range r.trials {
		i.trials[p]++
		if v.State == Undecided && i.rank != 0 {
			i.tried[p] = now
		}
		if b := i.blocks[p]; b != nil {
			b.mayRetry = false
		}
	}
	if i.runs[target] == nil {
		i.runs[target] = map[*Run]struct{}{}
	}
	i.runs[target][r] = struct{}{}
	return r
}

// trialsOf returns the parts that a run tries, given the verdict on its request.
func (i *Isolator) trialsOf(r *Run, v Verdict) []Part {
	switch v.State {
	case Suspected:
		return []Part{v.Part}
	case Undecided:
		var tried []Part
		for _, p := range r.parts {
			if i.judgePart(p, HashWorkspace(r.workspace)).State == Undecided {
				tried = append(tried, p)
			}
		}
		return tried
	}
	return nil
}

// EndRun records the end of a run. A broken run is kept for brokenFor, as the crash may
// be noticed later.
func (i *Isolator) EndRun(now identifier.Instant, r *Run, o Outcome) {
	if r.counted {
		r.counted = false
		for _, p := range r.trials {
			if _, known := i.tried[p]; known {
				i.tried[p] = now
			}
			if i.trials[p]--; i.trials[p] <= 0 {
				delete(i.trials, p)
			}
		}
	}
	if o == Broken {
		r.brokenAt = now
		return
	}
	i.dropRun(r)
	if o == Answered {
		i.RecordProgress(now, r)
	}
}

// RecordProgress records that the target of a run goes on with its answer, FirstProgress
// or more after the answer's first event. It clears the parts as a complete answer does: a
// target that crashes under a part does so when it begins to answer.
func (i *Isolator) RecordProgress(now identifier.Instant, r *Run) {
	for _, p := range r.parts {
		i.own.record(now, p)
		i.dirty = i.dirty || i.isSuspect(p)
		i.liftAnswered(now, p)
	}
}

func (i *Isolator) dropRun(r *Run) {
	delete(i.runs[r.target], r)
	if len(i.runs[r.target]) == 0 {
		delete(i.runs, r.target)
	}
}

// InTrial reports whether a request with a suspected part is running from this router.
func (i *Isolator) InTrial(p Part) bool { return i.trials[p] > 0 }

// RecordCrash records that an incarnation of a target has crashed, and returns the
// number of requests that this router was running there and their parts that are
// suspects. A crash at which it was running none is left to other routers.
func (i *Isolator) RecordCrash(now identifier.Instant, target CrashID) (runs int, suspects []Suspect) {
	i.dropBroken(now)
	if len(i.runs[target]) == 0 {
		return 0, nil
	}
	found := map[Part]Suspect{}
	for r := range i.runs[target] {
		runs++
		for depth, p := range r.parts {
			s := Suspect{Part: p, Depth: depth, Trial: slices.Contains(r.trials, p), Workspaces: []WorkspaceHash{HashWorkspace(r.workspace)}}
			if old, known := found[p]; known {
				s = old.merge(s)
			}
			found[p] = s
		}
	}
	c := i.addCrash(now, now, target)
	i.rejudge(now)
	for _, s := range i.sortedSuspects(found) {
		if !i.cleared(c, s.Part) {
			i.addSuspect(now, c, s)
			suspects = append(suspects, s)
		}
	}
	i.prune(now)
	return runs, suspects
}

// dropBroken drops the runs that broke more than brokenFor ago.
func (i *Isolator) dropBroken(now identifier.Instant) {
	for _, runs := range i.runs {
		for r := range runs {
			if r.brokenAt != 0 && now.Sub(r.brokenAt) > brokenFor {
				i.dropRun(r)
			}
		}
	}
}

// Tick drops what is too old to count.
func (i *Isolator) Tick(now identifier.Instant) {
	i.dropBroken(now)
	i.settleBlocks(now)
	i.expireBlocks(now)
	i.prune(now)
}
