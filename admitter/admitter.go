package admitter

import (
	"time"

	"buckthorndrum/identifier"
)

// Request is one request that wants a target.
type Request struct {
	Pool identifier.Pool
	// Model names the weights that it needs, empty for a plain service.
	Model string
	// Segments is the shared parts of its prompt, in order.
	Segments []PromptSegment
	// PromptTokens and Output are its tokens to read and the most to generate, zero for
	// a plain service.
	PromptTokens    int
	MaxOutputTokens int
	// MaxWait is the longest time to the first token at which it is still sent.
	MaxWait time.Duration
	// WithinShare tells that its workspace has had less than its share.
	WithinShare bool
	// TargetMemory is the memory of one target in tokens, zero if it is not known.
	TargetMemory int
	// Exclude are the targets that it was sent to before.
	Exclude []identifier.Target
	// LocalDataCentre is the data centre of the router.
	LocalDataCentre identifier.DataCentre
	// Seed spreads requests without a prompt over targets that are alike.
	Seed uint64
}

// Refusal is why a request is not sent.
type Refusal string

// The reasons.
const (
	// NoTarget means that no target of the pool takes work.
	NoTarget Refusal = "no target takes work"
	// TargetsBusy means that every target would keep it waiting beyond its limit.
	TargetsBusy Refusal = "targets are busy"
	// TargetsPausing means that no target of the pool takes work, and that the first that
	// will has asked for a pause.
	TargetsPausing Refusal = "targets asked for a pause"
	// ShareExceeded means that its workspace has too much more than others.
	ShareExceeded Refusal = "workspace is beyond its share"
)

// noTargetRetryAfter is when a request may come back that found no target.
const noTargetRetryAfter = 2 * time.Second

// Choice is where a request goes, or why it goes nowhere.
type Choice struct {
	Target  identifier.Target
	Refused Refusal
	// Wait is the expected time to the first token, or until there is room.
	Wait time.Duration
	// PrefillTokens is the tokens that the target is expected to read.
	PrefillTokens int
}

// Admitter is one router's view of the targets. It is not safe for concurrent
// use.
type Admitter struct {
	targets map[identifier.Target]*targetState
	pools   map[identifier.Pool]*pool
	// peerLoadsAt is when others' loads came last.
	peerLoadsAt identifier.Instant
	// prunedAt is when parts that are no longer used were dropped last.
	prunedAt identifier.Instant
	// departed holds the boots that have said that they leave and are not listed any more,
	// with when they said so, as an entry may come back.
	departed map[incarnation]identifier.Instant
	// candidates is the room for the targets that one choice weighs.
	candidates []candidate
}

// New returns an admitter without targets.
func New() *Admitter {
	return &Admitter{targets: map[identifier.Target]*targetState{}, pools: map[identifier.Pool]*pool{}, departed: map[incarnation]identifier.Instant{}}
}

// SetTargets replaces the list of targets. What was learned of those that stay
// is kept.
func (a *Admitter) SetTargets(list []Target) {
	next := make(map[identifier.Target]*targetState, len(list))
	pools := map[identifier.Pool]*pool{}
	initialLatency := map[identifier.Pool]latencyEstimate{}
	for _, t := range list {
		p := pools[t.Pool]
		if p == nil {
			p = &pool{}
			pools[t.Pool] = p
			initialLatency[t.Pool] = a.pools[t.Pool].meanLatency()
		}
		s := a.targets[t.ID]
		if s == nil || s.incarnation() != t.incarnation() {
			s = &targetState{prefixes: prefixCache{}, latency: initialLatency[t.Pool]}
			a.restoreDeparted(t, s)
		}
		s.Target = t
		s.admission.List(t.Leaving)
		next[t.ID] = s
		p.targets = append(p.targets, s)
	}
	for id, p := range pools {
		if old := a.pools[id]; old != nil {
			p.ring = old.ring
		}
		p.ring.setTargets(withoutLeaving(p.targets))
	}
	a.rememberDeparted(next)
	a.targets, a.pools = next, pools
}

// withoutLeaving returns the targets that do not leave.
func withoutLeaving(list []*targetState) []*targetState {
	remaining := make([]*targetState, 0, len(list))
	for _, t := range list {
		if !t.Leaving {
			remaining = append(remaining, t)
		}
	}
	return remaining
}

// Choose returns the target for a request, and notes nothing.
func (a *Admitter) Choose(now identifier.Instant, req Request) Choice {
	p := a.pools[req.Pool]
	if p == nil {
		return Choice{Refused: NoTarget, Wait: noTargetRetryAfter}
	}
	p.summarise(now)
	c := a.chooseFromPool(now, p, req)
	if c.Refused == NoTarget {
		return p.refusal(now)
	}
	return c
}

// chooseFromPool returns the target of a pool for a request.
func (a *Admitter) chooseFromPool(now identifier.Instant, p *pool, req Request) Choice {
	if req.Model == "" {
		return p.chooseLeastLoaded(now, req)
	}
	return a.chooseEngine(now, p, req)
}

func contains(list []identifier.Target, t identifier.Target) bool {
	for _, v := range list {
		if v == t {
			return true
		}
	}
	return false
}

// remotePenalty is how many requests more a target in the same data centre may run
// than one elsewhere.
const remotePenalty = 1

// chooseLeastLoaded picks the least loaded target of a service that reads no prompts.
func (p *pool) chooseLeastLoaded(now identifier.Instant, req Request) Choice {
	list := p.eligibleTargets(now, req.Exclude)
	if len(list) == 0 {
		return Choice{Refused: NoTarget}
	}
	best, lowest := list[0], 0.0
	for i, t := range list {
		score := float64(t.totalLoad().Running) / float64(max(1, t.Slots))
		if t.DataCentre != req.LocalDataCentre {
			score += remotePenalty / float64(max(1, t.Slots))
		}
		score += t.failureRate
		score += float64(mix(req.Seed+uint64(i))%1000) / 1e6
		if i == 0 || score < lowest {
			best, lowest = t, score
		}
	}
	return Choice{Target: best.ID}
}

// Attempt is a request that was sent to a target, to be ended with Ended.
type Attempt struct {
	// target is of the boot that it was sent to, nil if that was not listed any more.
	target *targetState
	load   Load
	// prefillTokens is what the target had to read for the request to begin, and at when
	// it was sent.
	prefillTokens int
	startedAt     identifier.Instant
	answerStarted bool
}

// StartAttempt notes that a request is sent to target c.Target.
func (a *Admitter) StartAttempt(now identifier.Instant, req Request, c Choice) *Attempt {
	t := a.targets[c.Target]
	if t == nil {
		return &Attempt{startedAt: now}
	}
	attempt := &Attempt{target: t, startedAt: now, load: Load{Running: 1, PrefillTokens: c.PrefillTokens, MemoryTokens: req.PromptTokens + req.MaxOutputTokens}}
	attempt.prefillTokens = t.totalLoad().PrefillTokens + c.PrefillTokens
	t.ownLoad = t.ownLoad.add(attempt.load)
	t.lastAttempt = now
	if req.Model != "" {
		t.prefixes.touch(now, prefixKeys(req.Model, req.Segments))
	}
	return attempt
}

// RecordAnswerStart notes that the first part of the answer has come.
func (a *Admitter) RecordAnswerStart(now identifier.Instant, attempt *Attempt) {
	t := attempt.target
	if t == nil || attempt.answerStarted {
		return
	}
	attempt.answerStarted = true
	t.ownLoad.PrefillTokens -= attempt.load.PrefillTokens
	t.latency.observe(attempt.prefillTokens, now.Sub(attempt.startedAt))
	attempt.load.PrefillTokens = 0
}

// Result is how a request ended at a target.
type Result int

// The results.
const (
	// Answered means that a whole answer came that is no failure.
	Answered Result = iota
	// Failed means that the target answered with a failure of its own, or spoilt
	// its answer.
	Failed
	// ConnectionFailed means that the connection failed.
	ConnectionFailed
	// Inconclusive means that the caller went away, or that nothing is known.
	Inconclusive
)

// String returns the result's name, as counted.
func (r Result) String() string {
	switch r {
	case Answered:
		return "answered"
	case Failed:
		return "failed"
	case ConnectionFailed:
		return "broken"
	default:
		return "left"
	}
}

// EndAttempt notes how a request ended.
func (a *Admitter) EndAttempt(now identifier.Instant, attempt *Attempt, r Result) {
	t := attempt.target
	if t == nil {
		return
	}
	t.ownLoad = t.ownLoad.add(Load{Running: -attempt.load.Running, PrefillTokens: -attempt.load.PrefillTokens, MemoryTokens: -attempt.load.MemoryTokens})
	attempt.load = Load{}
	switch r {
	case Answered:
		t.recordAnswer(false)
	case Failed:
		t.recordAnswer(true)
	case ConnectionFailed:
		t.admission.Break(now)
	case Inconclusive:
	}
}

// OwnLoads returns what this router has under way at each target.
func (a *Admitter) OwnLoads() map[identifier.Target]Load {
	loads := map[identifier.Target]Load{}
	for id, t := range a.targets {
		if t.ownLoad != (Load{}) {
			loads[id] = t.ownLoad
		}
	}
	return loads
}

// SetPeerLoads notes what all other routers have under way.
func (a *Admitter) SetPeerLoads(now identifier.Instant, loads map[identifier.Target]Load) {
	a.peerLoadsAt = now
	for id, t := range a.targets {
		t.peerLoad = loads[id]
	}
	for _, p := range a.pools {
		p.summarisedAt = 0
	}
}

const (
	// peerLoadTTL is how long what others said counts.
	peerLoadTTL = time.Second
	// pruneInterval is how often parts that are no longer used are dropped.
	pruneInterval = prefixTTL / 10
)

// Tick forgets what others said if they are silent, and parts that are no longer
// used.
func (a *Admitter) Tick(now identifier.Instant) {
	if a.peerLoadsAt != 0 && now.Sub(a.peerLoadsAt) > peerLoadTTL {
		a.SetPeerLoads(0, nil)
	}
	if now.Sub(a.prunedAt) < pruneInterval {
		return
	}
	a.prunedAt = now
	a.pruneDeparted(now)
	for _, t := range a.targets {
		t.prefixes.prune(now)
	}
}
