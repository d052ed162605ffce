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

// noTargetWait is when a request may come back that found no target.
const noTargetWait = 2 * time.Second

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
	targets map[identifier.Target]*state
	pools   map[identifier.Pool]*pool
	// heard is when others' loads came last.
	heard identifier.Instant
	// forgot is when parts that are no longer used were dropped last.
	forgot identifier.Instant
	// left holds the boots that have said that they leave and are not listed any more,
	// with when they said so, as an entry may come back.
	left map[boot]identifier.Instant
	// options is the room for the targets that one choice weighs.
	options []option
}

// New returns an admitter without targets.
func New() *Admitter {
	return &Admitter{targets: map[identifier.Target]*state{}, pools: map[identifier.Pool]*pool{}, left: map[boot]identifier.Instant{}}
}

// SetTargets replaces the list of targets. What was learned of those that stay
// is kept.
func (a *Admitter) SetTargets(list []Target) {
	next := make(map[identifier.Target]*state, len(list))
	pools := map[identifier.Pool]*pool{}
	usual := map[identifier.Pool]pace{}
	for _, t := range list {
		p := pools[t.Pool]
		if p == nil {
			p = &pool{}
			pools[t.Pool] = p
			usual[t.Pool] = a.pools[t.Pool].usualPace()
		}
		s := a.targets[t.ID]
		if s == nil || s.boot() != t.boot() {
			s = &state{parts: held{}, pace: usual[t.Pool]}
			a.recall(t, s)
		}
		s.Target = t
		s.permit.List(t.Leaving)
		next[t.ID] = s
		p.targets = append(p.targets, s)
	}
	for id, p := range pools {
		if old := a.pools[id]; old != nil {
			p.ring = old.ring
		}
		p.ring.replace(staying(p.targets))
	}
	a.rememberLeft(next)
	a.targets, a.pools = next, pools
}

// staying returns the targets that do not leave.
func staying(list []*state) []*state {
	found := make([]*state, 0, len(list))
	for _, t := range list {
		if !t.Leaving {
			found = append(found, t)
		}
	}
	return found
}

// Choose returns the target for a request, and notes nothing.
func (a *Admitter) Choose(now identifier.Instant, q Request) Choice {
	p := a.pools[q.Pool]
	if p == nil {
		return Choice{Refused: NoTarget, Wait: noTargetWait}
	}
	p.summarise(now)
	c := a.pick(now, p, q)
	if c.Refused == NoTarget {
		return p.closed(now)
	}
	return c
}

// pick returns the target of a pool for a request.
func (a *Admitter) pick(now identifier.Instant, p *pool, q Request) Choice {
	if q.Model == "" {
		return p.plain(now, q)
	}
	return a.engine(now, p, q)
}

func contains(list []identifier.Target, t identifier.Target) bool {
	for _, v := range list {
		if v == t {
			return true
		}
	}
	return false
}

// farPenalty is how many requests more a target in the same data centre may run
// than one elsewhere.
const farPenalty = 1

// plain picks the least loaded target of a service that reads no prompts.
func (p *pool) plain(now identifier.Instant, q Request) Choice {
	list := p.pickable(now, q.Exclude)
	if len(list) == 0 {
		return Choice{Refused: NoTarget}
	}
	best, least := list[0], 0.0
	for i, t := range list {
		l := float64(t.load().Running) / float64(max(1, t.Slots))
		if t.DataCentre != q.LocalDataCentre {
			l += farPenalty / float64(max(1, t.Slots))
		}
		l += t.failing
		l += float64(mix(q.Seed+uint64(i))%1000) / 1e6
		if i == 0 || l < least {
			best, least = t, l
		}
	}
	return Choice{Target: best.ID}
}

// Attempt is a request that was sent to a target, to be ended with Ended.
type Attempt struct {
	// state is of the boot that it was sent to, nil if that was not listed any more.
	state *state
	load  Load
	// ahead is what the target had to read for the request to begin, and at when
	// it was sent.
	ahead int
	at    identifier.Instant
	read  bool
}

// StartAttempt notes that a request is sent to target c.Target.
func (a *Admitter) StartAttempt(now identifier.Instant, q Request, c Choice) *Attempt {
	t := a.targets[c.Target]
	if t == nil {
		return &Attempt{at: now}
	}
	s := &Attempt{state: t, at: now, load: Load{Running: 1, PrefillTokens: c.PrefillTokens, MemoryTokens: q.PromptTokens + q.MaxOutputTokens}}
	s.ahead = t.load().PrefillTokens + c.PrefillTokens
	t.own = t.own.plus(s.load)
	t.tried = now
	if q.Model != "" {
		t.parts.use(now, chainKeys(q.Model, q.Segments))
	}
	return s
}

// RecordAnswerStart notes that the first part of the answer has come.
func (a *Admitter) RecordAnswerStart(now identifier.Instant, s *Attempt) {
	t := s.state
	if t == nil || s.read {
		return
	}
	s.read = true
	t.own.PrefillTokens -= s.load.PrefillTokens
	t.pace.learn(s.ahead, now.Sub(s.at))
	s.load.PrefillTokens = 0
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
func (a *Admitter) EndAttempt(now identifier.Instant, s *Attempt, r Result) {
	t := s.state
	if t == nil {
		return
	}
	t.own = t.own.plus(Load{Running: -s.load.Running, PrefillTokens: -s.load.PrefillTokens, MemoryTokens: -s.load.MemoryTokens})
	s.load = Load{}
	switch r {
	case Answered:
		t.answered(false)
	case Failed:
		t.answered(true)
	case ConnectionFailed:
		t.permit.Break(now)
	case Inconclusive:
	}
}

// OwnLoads returns what this router has under way at each target.
func (a *Admitter) OwnLoads() map[identifier.Target]Load {
	loads := map[identifier.Target]Load{}
	for id, t := range a.targets {
		if t.own != (Load{}) {
			loads[id] = t.own
		}
	}
	return loads
}

// SetPeerLoads notes what all other routers have under way.
func (a *Admitter) SetPeerLoads(now identifier.Instant, loads map[identifier.Target]Load) {
	a.heard = now
	for id, t := range a.targets {
		t.others = loads[id]
	}
	for _, p := range a.pools {
		p.worked = 0
	}
}

const (
	// othersLife is how long what others said counts.
	othersLife = time.Second
	// forgetEvery is how often parts that are no longer used are dropped.
	forgetEvery = partLife / 10
)

// Tick forgets what others said if they are silent, and parts that are no longer
// used.
func (a *Admitter) Tick(now identifier.Instant) {
	if a.heard != 0 && now.Sub(a.heard) > othersLife {
		a.SetPeerLoads(0, nil)
	}
	if now.Sub(a.forgot) < forgetEvery {
		return
	}
	a.forgot = now
	a.forgetLeft(now)
	for _, t := range a.targets {
		t.parts.forget(now)
	}
}
