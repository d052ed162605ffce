package isolator

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// crashTTL is how long a crash is remembered.
	crashTTL = 10 * time.Minute
	// answerGrace is how long after a complete answer on a part a crash does not count
	// against the part. Requests that run beside a bad one end with it, so that answers
	// on a good part stop coming at the same time.
	answerGrace = 2 * time.Second
	// sameCause is the time between two crashes up to which they count once, since one
	// fault of a data centre may end many targets. The crash of a trial counts nevertheless.
	sameCause = 250 * time.Millisecond
	// sameOutage is the time between two crashes up to which one outage may have led to both.
	sameOutage = 500 * time.Millisecond
	// blockAfter is the number of crashes after which a part is blocked that was never
	// answered, and blockAnsweredAfter that for a part that was answered before.
	blockAfter         = 3
	blockAnsweredAfter = 4
	// blockAfterRepeated is the number of crashes at different times after which a part is
	// blocked even if they are of the same target. Requests with the same rare part run at
	// few targets.
	blockAfterRepeated = 5
	// undecidedAfter is the number of crashes, whatever their time and target, after which
	// a part is undecided. It is blocked after undecidedTrials trials that crash their
	// targets alone, as one may be a coincidence too.
	undecidedAfter  = 5
	undecidedTrials = 2
	// suspectAnsweredAfter is the number of crashes after which a part is suspected that
	// was answered before. A part that was never answered is suspected after the first.
	suspectAnsweredAfter = 2
	// resendFor is how long after a change a report holds everything, so that each hub
	// receives it. After that it does so once in refreshInterval.
	resendFor       = time.Second
	refreshInterval = time.Second
)

// State says how requests with a part are handled.
type State int

// The states of a part, in ascending order of severity.
const (
	// Clear means that nothing is known against the part.
	Clear State = iota
	// Suspected means that requests with the part are run one at a time and apart from
	// each other.
	Suspected
	// Undecided means that as many targets have crashed under the part as block it, but at
	// so few moments that they may have one cause outside the prompt. Requests with it are
	// run as with Suspected, and only from one router: each run of a part that does crash
	// targets is one too many by now.
	Undecided
	// Blocked means that no request with the part is sent.
	Blocked
)

// Verdict is the state of a request, which is that of its most severe part.
type Verdict struct {
	State State
	// Part is the part that decided, and Crashes the number of crashes that count
	// against it. Both are zero if State is Clear.
	Part    Part
	Crashes int
	// Granted is whether this router alone may try an undecided part, as its block is tried
	// once more.
	Granted bool
}

// crash is one crash of a target.
type crash struct {
	at       identifier.Instant
	suspects map[Part]Suspect
}

// judgement is what the crashes show about one part.
type judgement struct {
	state   State
	crashes int
}

// Isolator holds what one router knows about crashes and parts. It is not safe for
// concurrent use.
type Isolator struct {
	crashes map[CrashID]*crash
	// own holds when this router saw parts answered, peers the same of other routers for
	// suspects.
	own   answerLog
	peers map[Part]identifier.Instant
	// blocks holds the blocked parts.
	blocks map[Part]*Block
	// lifted holds when blocks were lifted. Crashes before that do not count.
	lifted map[Part]identifier.Instant
	// unstore holds the parts whose blocks were lifted and are in the store.
	unstore map[Part]struct{}
	// pending holds the parts that were blocked since the last call of NewBlocks.
	pending []Block
	// judgements holds the suspects, valid while dirty is false. It never holds a part
	// that is clear.
	judgements map[Part]judgement
	dirty      bool
	// runs holds the runs of this router by the incarnation of their target.
	runs map[CrashID]map[*Run]struct{}
	// rank identifies this router among its peers. held holds since when it has held requests
	// with undecided parts, and candidates the first router that does, as its peers told.
	rank       Rank
	held       map[Part]identifier.Instant
	candidates map[Part]candidacy
	// tried holds when this router last began or ended a trial of an undecided part.
	tried map[Part]identifier.Instant
	// undecided holds when parts were last found undecided. They stay so until they are
	// answered or blocked, though later crashes crowd out those that showed it.
	undecided map[Part]identifier.Instant
	// trials counts this router's runs with a suspected part.
	trials map[Part]int
	// changedAt is when the crashes last changed, and reportedAt when they were last
	// reported in full.
	changedAt  identifier.Instant
	reportedAt identifier.Instant
}

// New returns an isolator that knows nothing, of a router without peers.
func New() *Isolator { return NewRanked(0) }

// NewRanked returns an isolator that knows nothing, of a router with a rank among its peers.
func NewRanked(rank Rank) *Isolator {
	return &Isolator{
		rank: rank, held: map[Part]identifier.Instant{}, candidates: map[Part]candidacy{}, tried: map[Part]identifier.Instant{}, undecided: map[Part]identifier.Instant{},
		crashes: map[CrashID]*crash{}, peers: map[Part]identifier.Instant{}, blocks: map[Part]*Block{}, lifted: map[Part]identifier.Instant{}, unstore: map[Part]struct{}{},
		judgements: map[Part]judgement{}, runs: map[CrashID]map[*Run]struct{}{}, trials: map[Part]int{},
	}
}

// Judge returns the verdict on a request of a workspace with the given parts, in the
// order of the prompt. The deepest of several suspected parts decides: requests share it
// with the fewest others. Of several undecided parts one that is being tried decides, or
// else the first: a run tries all of them.
func (i *Isolator) Judge(now identifier.Instant, w identifier.Workspace, parts []Part) Verdict {
	i.rejudge(now)
	verdict := Verdict{}
	for _, p := range parts {
		switch v := i.judgePart(p, HashWorkspace(w)); {
		case v.State == Blocked:
			return v
		case v.State != Clear && i.decides(p, v.State, verdict):
			verdict = v
		}
	}
	return verdict
}

// judgePart returns the verdict on one part in a request of a workspace. A part that is
// blocked for other workspaces is undecided.
func (i *Isolator) judgePart(p Part, w WorkspaceHash) Verdict {
	b := i.blocks[p]
	switch {
	case b != nil && b.mayRetry:
		return Verdict{State: Undecided, Part: p, Crashes: b.Crashes, Granted: true}
	case b != nil && b.applies(w):
		return Verdict{State: Blocked, Part: p, Crashes: b.Crashes}
	case b != nil:
		return Verdict{State: Undecided, Part: p, Crashes: b.Crashes}
	}
	if j, known := i.judgements[p]; known {
		return Verdict{State: j.state, Part: p, Crashes: j.crashes}
	}
	return Verdict{}
}

// decides reports whether a part in a state decides on a request, in place of the part in
// front of it that has led to a verdict.
func (i *Isolator) decides(p Part, s State, v Verdict) bool {
	switch {
	case s != v.State:
		return s > v.State
	case s == Undecided:
		return i.InTrial(p) && !i.InTrial(v.Part)
	}
	return true
}

// CountSuspected returns the number of suspected and undecided parts.
func (i *Isolator) CountSuspected(now identifier.Instant) int {
	i.rejudge(now)
	return len(i.judgements)
}

// lastAnswer returns when a part was last answered at any router, zero if never.
func (i *Isolator) lastAnswer(p Part) identifier.Instant {
	return max(i.own.last(p), i.peers[p])
}

// HasCrashed reports whether a crash of a target is remembered at which a part was running.
func (i *Isolator) HasCrashed(t TargetHash, p Part) bool {
	for id, c := range i.crashes {
		if _, running := c.suspects[p]; running && id.target() == t {
			return true
		}
	}
	return false
}

// addCrash returns the crash with the given id and adds it if it is new. The earliest
// instant counts.
func (i *Isolator) addCrash(now, at identifier.Instant, id CrashID) *crash {
	c := i.crashes[id]
	if c == nil {
		c = &crash{at: at, suspects: map[Part]Suspect{}}
		i.crashes[id] = c
		i.setChanged(now)
	}
	c.at = min(c.at, at)
	return c
}

// addSuspect adds a suspect to a crash and merges it with what is known of it.
func (i *Isolator) addSuspect(now identifier.Instant, c *crash, s Suspect) {
	old, known := c.suspects[s.Part]
	if !known && len(c.suspects) >= maxSuspects {
		return
	}
	merged := s
	if known {
		merged = old.merge(s)
	}
	if !known || len(merged.Workspaces) != len(old.Workspaces) || merged.Depth != old.Depth || merged.Trial != old.Trial {
		c.suspects[s.Part] = merged
		i.setChanged(now)
	}
}

func (i *Isolator) setChanged(now identifier.Instant) {
	i.changedAt = now
	i.dirty = true
}

// prune drops crashes that are too old or too many, and answers to parts that are no
// longer suspects.
func (i *Isolator) prune(now identifier.Instant) {
	for id, c := range i.crashes {
		if now.Sub(c.at) > crashTTL {
			delete(i.crashes, id)
			i.dirty = true
		}
	}
	for len(i.crashes) > maxCrashes {
		i.forget(i.oldestCrash())
	}
	if !i.dirty {
		return
	}
	for p := range i.peers {
		if !i.isSuspect(p) {
			delete(i.peers, p)
		}
	}
}

// forget drops a crash. The workspaces of its suspects stay with the other crashes at which
// these were running.
func (i *Isolator) forget(id CrashID) {
	forgotten := i.crashes[id]
	delete(i.crashes, id)
	i.dirty = true
	for p, s := range forgotten.suspects {
		for _, c := range i.crashes {
			if other, running := c.suspects[p]; running {
				other.Workspaces = other.merge(s).Workspaces
				c.suspects[p] = other
				break
			}
		}
	}
}

func (i *Isolator) oldestCrash() CrashID {
	var oldest CrashID
	var at identifier.Instant
	for id, c := range i.crashes {
		if at == 0 || c.at < at || c.at == at && id < oldest {
			oldest, at = id, c.at
		}
	}
	return oldest
}

// isSuspect reports whether a part was running at one of the crashes.
func (i *Isolator) isSuspect(p Part) bool {
	for _, c := range i.crashes {
		if _, known := c.suspects[p]; known {
			return true
		}
	}
	return false
}

// Report returns what other routers must know: which undecided parts this one tries, the
// crashes with their suspects, and when this router has seen suspects answered. It is empty
// for most of the time if nothing has changed for a while.
func (i *Isolator) Report(now identifier.Instant) Report {
	if len(i.crashes) == 0 || now.Sub(i.changedAt) > resendFor && now.Sub(i.reportedAt) < refreshInterval {
		return Report{Trying: i.candidacies(now)}
	}
	i.reportedAt = now
	return i.FullReport(now)
}

// FullReport returns all that other routers must know, for one that knows nothing yet.
func (i *Isolator) FullReport(now identifier.Instant) Report {
	i.prune(now)
	r := Report{Crashes: make(map[CrashID]CrashReport, len(i.crashes)), Answered: map[Part]time.Duration{}, Trying: i.candidacies(now)}
	remaining := maxReported
	for _, id := range i.latestFirst() {
		c := i.crashes[id]
		report := CrashReport{Age: max(0, now.Sub(c.at))}
		for _, s := range i.sortedSuspects(c.suspects) {
			if answered := i.own.last(s.Part); answered != 0 && len(r.Answered) < maxReported {
				r.Answered[s.Part] = max(0, now.Sub(answered))
			}
			if remaining > 0 && !i.cleared(c, s.Part) {
				report.Suspects = append(report.Suspects, s)
				remaining--
			}
		}
		r.Crashes[id] = report
	}
	return r
}

// Receive records the report of other routers.
func (i *Isolator) Receive(now identifier.Instant, r Report) {
	for id, c := range r.Crashes {
		if c.Age > crashTTL {
			continue
		}
		known := i.addCrash(now, now.Add(-c.Age), id)
		for _, s := range c.Suspects {
			i.addSuspect(now, known, s)
		}
	}
	i.receiveCandidates(now, r.Trying)
	for p, age := range r.Answered {
		at := now.Add(-age)
		if at <= i.peers[p] || !i.isSuspect(p) {
			continue
		}
		i.peers[p] = at
		i.dirty = true
		i.liftAnswered(now, p)
	}
	i.prune(now)
}
