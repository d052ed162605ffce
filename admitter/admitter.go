package admitter

import (
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// Request describes a request for which a target is chosen.
type Request struct {
	Pool identifier.Pool
	// Model is the model that the request needs, empty for a plain service.
	Model string
	// Segments are the segments of the prompt, in order. All but the last may be shared
	// with other requests.
	Segments []PromptSegment
	// PromptTokens is the length of the prompt, and MaxOutputTokens the most that may be
	// generated, both in tokens. They are zero for a plain service.
	PromptTokens    int
	MaxOutputTokens int
	// MaxWait is the longest expected time to the first token at which the request is
	// sent. See fits for exceptions.
	MaxWait time.Duration
	// WithinShare reports whether the workspace has been given no more than its share.
	WithinShare bool
	// TargetMemory is the memory capacity of one target in tokens, zero if it is not
	// known.
	TargetMemory int
	// GapObjective is the longest gap between two events at which all streams of the pool
	// are on time, zero if there is none.
	GapObjective time.Duration
	// EventTokens is the number of tokens of one event of a stream, zero if it is not
	// known.
	EventTokens int
	// Exclude are the targets that earlier attempts of the request were sent to. They are
	// not chosen again.
	Exclude []identifier.Target
	// Isolate is zero, or a number by which the request goes to one target only, the same
	// from all routers, so that it can harm no others.
	Isolate uint64
	// Crashed are the targets that have crashed under what isolates the request. It goes to
	// one of them only if there is no other.
	Crashed []identifier.Target
	// AllowedRegions are the regions of the targets that may be given the request.
	AllowedRegions permitter.RegionSet
	// Pinned is set if the request may go only to targets whose software is Software.
	Pinned   bool
	Software identifier.Software
	// LocalDataCentre is the data centre of the router.
	LocalDataCentre identifier.DataCentre
	// Seed breaks ties between the targets of a plain service. For a prompt without a
	// shared prefix it determines the position on the hash ring.
	Seed uint64
}

// Refusal is the reason why a request is not sent, empty if it is sent.
type Refusal string

// Reasons for a refusal.
const (
	// NoTarget means that the pool has no target that accepts work and is not excluded.
	NoTarget Refusal = "no target takes work"
	// TargetsBusy means that the request fits at none of the targets that were evaluated:
	// it would wait too long, or their slots or memory are in use.
	TargetsBusy Refusal = "targets are busy"
	// TargetsPausing means that no target of the pool accepts work, and that the first
	// one to accept work again has asked for a pause.
	TargetsPausing Refusal = "targets asked for a pause"
	// TargetsLimited means that targets which would have been chosen have reached the rate
	// of requests that they name, and that the request fits at no other.
	TargetsLimited Refusal = "targets are at their limits"
	// TargetsEvacuated means that no target of the pool accepts work, that at least one is in
	// an evacuated data centre, and that it is not known when another accepts work again.
	TargetsEvacuated Refusal = "data centres of all targets are evacuated"
	// TargetsWarmingUp means that no target of the pool accepts work, and that the first one
	// to accept work again warms up and has its next permit then.
	TargetsWarmingUp Refusal = "targets warm up"
	// TargetsDisallowed means that no target of the pool is in an allowed region.
	TargetsDisallowed Refusal = "no target is in an allowed region"
	// SoftwareUnavailable means that no target that accepts work and is not excluded has the
	// software that the request is pinned to, and that targets of the pool have other software.
	SoftwareUnavailable Refusal = "no target runs the stream's software version"
	// ShareExceeded means that the workspace has too much more than others. Choose does
	// not return it; its caller sets it.
	ShareExceeded Refusal = "workspace is beyond its share"
)

// noTargetRetryAfter is how long a request for which there is no target is to wait before
// it is tried again.
const noTargetRetryAfter = 2 * time.Second

// Choice is the target that was chosen for a request, or the reason for its refusal.
type Choice struct {
	Target  identifier.Target
	Refused Refusal
	// Wait is the expected time to the first token. In a refusal it is the expected time
	// until there is room.
	Wait time.Duration
	// PrefillTokens is the number of prompt tokens that the target is expected to
	// prefill. Tokens of cached prefixes are not among them.
	PrefillTokens int
}

// Admitter chooses the targets of one router and holds what the router knows of them. It
// is not safe for concurrent use.
type Admitter struct {
	targets map[identifier.Target]*targetState
	pools   map[identifier.Pool]*pool
	// peerLoadsAt is when the loads of the peers were last set, zero if there are none.
	peerLoadsAt identifier.Instant
	// evenLoad is set if the load is evened out (see EvenOutLoad).
	evenLoad bool
	// peerLoadDelay is how old the loads of the peers were at peerLoadsAt.
	peerLoadDelay time.Duration
	// prunedAt is when unused prefixes were last dropped.
	prunedAt identifier.Instant
	// departed holds the incarnations that have announced that they leave and are no
	// longer listed, with the time of the announcement, as an entry may be listed again.
	departed map[incarnation]identifier.Instant
	// evacuated holds the evacuated data centres.
	evacuated map[identifier.DataCentre]bool
	// coldRates holds the load that the cold targets of pools can handle, and warmUpPolicy
	// how often this router may send to them.
	coldRates    map[identifier.Pool]permitter.ColdRate
	warmUpPolicy WarmUpPolicy
	// seed makes the phases of permits differ from those of other routers.
	seed uint64
	// processes is the number of routers, including this one.
	processes int
	// candidates is the buffer for the targets that one choice evaluates.
	candidates []candidate
	// ringTargets is the buffer for the targets at which a popular prefix is cached.
	ringTargets []*targetState
	// popular counts the requests by prefix.
	popular popularity
}

// New returns an admitter without targets.
func New() *Admitter {
	return &Admitter{targets: map[identifier.Target]*targetState{}, pools: map[identifier.Pool]*pool{}, departed: map[incarnation]identifier.Instant{}}
}

// SetTargets replaces the list of targets. It keeps the state of a target whose address
// and incarnation have not changed. Any other target begins with the mean latency of its
// pool. A cold period that an entry names begins at the instant now if the entry is new or
// has changed.
func (a *Admitter) SetTargets(now identifier.Instant, list []Target) {
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
		old := a.targets[t.ID]
		s := old
		if s == nil || s.incarnation() != t.incarnation() || s.Pool != t.Pool {
			s = &targetState{prefixes: prefixCache{}, latency: initialLatency[t.Pool]}
			a.restoreDeparted(t, s)
		}
		a.applyEntry(now, old, s, t)
		s.Target, s.pool = t, p
		s.admission.SetListedLeaving(t.Leaving)
		s.admission.SetEvacuated(a.evacuated[t.DataCentre])
		next[t.ID] = s
		p.targets = append(p.targets, s)
		p.mixed = p.mixed || t.Software != p.targets[0].Software
	}
	for id, p := range pools {
		if old := a.pools[id]; old != nil {
			p.ring, p.pace, p.unreported = old.ring, old.pace, old.unreported
		}
		p.updateRing()
	}
	a.rememberDeparted(next)
	a.targets, a.pools = next, pools
}

// updateRing sets the targets of the ring: those that are neither listed as leaving nor in
// an evacuated data centre. Evacuated targets count for the number of points per target, so
// that an evacuation moves only their own prefixes.
func (p *pool) updateRing() {
	remaining := make([]*targetState, 0, len(p.targets))
	evacuated := 0
	for _, t := range p.targets {
		switch {
		case t.Leaving:
		case t.admission.Evacuated():
			evacuated++
		default:
			remaining = append(remaining, t)
		}
	}
	p.ring.setTargets(remaining, len(remaining)+evacuated)
}

// Choose returns the target for a request, or a refusal. It does not record the request;
// StartAttempt does. A target at its limit is passed over.
func (a *Admitter) Choose(now identifier.Instant, req Request) Choice {
	p := a.pools[req.Pool]
	if p == nil {
		return Choice{Refused: NoTarget, Wait: noTargetRetryAfter}
	}
	p.unreported.dropBefore(now.Add(-peerLoadTTL))
	p.summarise(now, a.processes)
	limited := false
	for {
		c := a.chooseFromPool(now, p, req)
		switch {
		case c.Refused != "" && limited:
			return Choice{Refused: TargetsLimited, Wait: max(c.Wait, limitedRetryAfter)}
		case c.Refused == NoTarget:
			return p.refusalOfChoice(now, &req)
		case c.Refused != "" || a.underLimit(now, req, c.Target):
			return c
		}
		limited = true
		req.Exclude = append(append([]identifier.Target(nil), req.Exclude...), c.Target)
	}
}

// chooseFromPool chooses a target of pool p: by the number of running requests if the
// request names no model, and by the cost of its prefill if it does.
func (a *Admitter) chooseFromPool(now identifier.Instant, p *pool, req Request) Choice {
	if req.Isolate != 0 {
		return a.chooseIsolated(now, p, req)
	}
	if req.Model == "" {
		return p.chooseLeastLoaded(now, req)
	}
	return a.chooseEngine(now, p, req)
}

// remotePenalty is how many more requests a target in the local data centre may run than
// one in another data centre before the other one is preferred.
const remotePenalty = 1

// chooseLeastLoaded chooses the least loaded target of a service that does not process
// prompts.
func (p *pool) chooseLeastLoaded(now identifier.Instant, req Request) Choice {
	list := p.eligibleTargets(now, &req)
	if len(list) == 0 {
		return Choice{Refused: NoTarget}
	}
	if cold := warmingUpWithSlot(now, list, req.Seed); cold != nil {
		return Choice{Target: cold.ID}
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

// Attempt is one attempt to run a request at a target. StartAttempt begins it, and it
// must be ended with EndAttempt.
type Attempt struct {
	// target is the state of the incarnation that the request was sent to, nil if that
	// was no longer listed.
	target *targetState
	// listed is the target as it was listed when the request was sent.
	listed Target
	load   Load
	// prefillTokens is the number of tokens that the target had to prefill for the answer
	// to begin, and startedAt is when the request was sent.
	prefillTokens int
	startedAt     identifier.Instant
	answerStarted bool
	// permitUntil is until when the request may begin at a cold target, zero if the target
	// was not cold when it was chosen.
	permitUntil identifier.Instant
}

// StartAttempt records that a request is sent to target c.Target.
func (a *Admitter) StartAttempt(now identifier.Instant, req Request, c Choice) *Attempt {
	t := a.targets[c.Target]
	if t == nil {
		return &Attempt{startedAt: now}
	}
	attempt := &Attempt{target: t, listed: t.Target, startedAt: now, load: Load{Running: 1, PrefillTokens: c.PrefillTokens, MemoryTokens: req.PromptTokens + req.MaxOutputTokens}}
	attempt.prefillTokens = t.totalLoad().PrefillTokens + c.PrefillTokens
	t.ownLoad = t.ownLoad.add(attempt.load)
	t.limit.RecordSent(now)
	attempt.permitUntil = t.warmUp.TakePermit(now)
	t.lastAttempt = now
	if req.Model != "" {
		keys := prefixKeys(req.Model, req.Segments)
		t.prefixes.touch(now, keys)
		a.recordSending(now, t, keys, c.PrefillTokens)
	}
	return attempt
}

// Target returns the target to which the request was sent, as it was listed, and whether
// it was.
func (a *Attempt) Target() (t Target, listed bool) {
	if a.target == nil {
		return Target{}, false
	}
	return a.listed, true
}

// RecordAnswerStart records that the first part of the answer has arrived, and updates the
// latency estimate of the target. Further calls for the same attempt have no effect.
func (a *Admitter) RecordAnswerStart(now identifier.Instant, attempt *Attempt) {
	t := attempt.target
	if t == nil || attempt.answerStarted {
		return
	}
	attempt.answerStarted = true
	t.ownLoad.PrefillTokens -= attempt.load.PrefillTokens
	t.latency.observe(int(float64(attempt.prefillTokens)*t.relativeTime()), now.Sub(attempt.startedAt))
	attempt.load.PrefillTokens = 0
}

// Result is the result of an attempt.
type Result int

// Results of an attempt.
const (
	// Answered means that a complete answer arrived that is not a failure.
	Answered Result = iota
	// Failed means that the target answered with a failure of its own, or that its answer
	// was truncated or invalid.
	Failed
	// ConnectionFailed means that the connection to the target failed.
	ConnectionFailed
	// Inconclusive means that the caller left, or that nothing is known about the target.
	Inconclusive
)

// String returns the name of the result, as used in metrics.
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

// EndAttempt records the result of an attempt and removes its load.
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
		t.admission.RecordConnectionFailure(now)
	case Inconclusive:
	}
}

// OwnLoads returns the load of the requests of this router at each target that has any.
func (a *Admitter) OwnLoads() map[identifier.Target]Load {
	loads := map[identifier.Target]Load{}
	for id, t := range a.targets {
		if t.ownLoad != (Load{}) {
			loads[id] = t.ownLoad
		}
	}
	return loads
}

// SetPeerLoads replaces the load of the requests of all other routers at each target.
func (a *Admitter) SetPeerLoads(now identifier.Instant, loads map[identifier.Target]Load) {
	a.peerLoadsAt = now
	for id, t := range a.targets {
		t.peerLoad = loads[id]
	}
	for _, p := range a.pools {
		p.summarisedAt = 0
		p.unreported.dropBefore(now.Add(-a.peerLoadDelay))
	}
}

const (
	// peerLoadTTL is how long the loads of the peers are used after they were set.
	peerLoadTTL = time.Second
	// pruneInterval is how often unused prefixes are dropped.
	pruneInterval = prefixTTL / 10
)

// Tick drops the loads of the peers if they were last set more than peerLoadTTL ago,
// unused prefixes, and incarnations that departed long ago.
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
