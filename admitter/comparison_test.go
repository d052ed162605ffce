package admitter

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"buckthorndrum/identifier"
)

// compare makes TestCompareChoices print the table of docs/design/balancing.md.
var compare = flag.Bool("compare", false, "compare ways of choosing an engine in all replays (1 to 2 minutes)")

// alternative is a way of choosing an engine, for comparison. The zero value compares the
// costs at the three preferred targets, with the time to read the request's own prompt.
type alternative struct {
	name string
	// former uses the cost without the request's own prompt, and all shortest queues if no
	// preferred target fits.
	former bool
	// recompute is the weight of the time in which shared prefixes are read again.
	recompute float64
	// random is how many random targets are considered if no preferred target fits, and
	// always makes them compete with the preferred ones.
	random int
	always bool
	// subset makes each router draw from eight targets of its own.
	subset bool
	// noise is the mean of a random addition to each cost, as a fraction of MaxWait.
	noise float64
	// hysteresis is the fraction of the cost that is taken off for the target that the
	// router last used for the prefix.
	hysteresis float64
	// unreported adds an estimate of what peers have sent since their reports.
	unreported bool
	// ownWeight is the weight in that estimate of what the router itself sent to the same
	// target, the rest is that of what it sent to all.
	ownWeight float64
	// observed makes the backlog that a target named in an answer replace an older report.
	observed bool
	// copyTime is the engine time per second of one prefix for which one preferred target
	// is enough, zero if there are always three.
	copyTime float64
	// reportDelay is the age of reports when they arrive.
	reportDelay time.Duration
	routers     map[*Admitter]*alternativeState
}

type sentTokens struct {
	at     identifier.Instant
	tokens int
	target *targetState
}

type seenBacklog struct {
	at      identifier.Instant
	backlog time.Duration
}

type seenPrefix struct {
	count float64
	at    identifier.Instant
}

// alternativeState is what one router remembers for an alternative.
type alternativeState struct {
	number                  uint64
	sent                    []sentTokens
	last                    map[uint64]*targetState
	seen                    map[identifier.Target]seenBacklog
	prefixes                map[prefixKey]seenPrefix
	ownRunning, peerRunning float64
	reportedAt              identifier.Instant
	// factor is how many times as much all peers send as this router.
	factor float64
}

func (v *alternative) state(a *Admitter) *alternativeState {
	if v.routers == nil {
		v.routers = map[*Admitter]*alternativeState{}
	}
	s := v.routers[a]
	if s == nil {
		s = &alternativeState{number: uint64(len(v.routers)), last: map[uint64]*targetState{}, seen: map[identifier.Target]seenBacklog{}, prefixes: map[prefixKey]seenPrefix{}}
		v.routers[a] = s
	}
	return s
}

func (v *alternative) observe(a *Admitter, now identifier.Instant, id identifier.Target, backlog time.Duration) {
	v.state(a).seen[id] = seenBacklog{at: now, backlog: backlog}
}

// choose chooses as chooseEngine does, with the changes of the alternative.
func (v *alternative) choose(a *Admitter, now identifier.Instant, req Request) Choice {
	p, s := a.pools[req.Pool], v.state(a)
	s.update(a, p, v.reportDelay)
	p.summarise(now, a.processes)
	keys := prefixKeys(req.Model, req.Segments)
	preferred := v.preferredTargets(a, now, p, s, req, keys)
	if len(preferred) == 0 {
		return Choice{Refused: NoTarget}
	}
	shared := len(a.candidates)
	spare := req.WithinShare || p.meanQueueDelay <= spareQueuePercent*req.MaxWait/100
	if v.always && req.WithinShare {
		v.draw(a, now, p, s, req, keys)
		preferred = append(append([]candidate(nil), preferred...), a.candidates[shared:]...)
	}
	best := v.cheapest(a, p, s, preferred, req, spare)
	if best == nil && req.WithinShare {
		if !v.always {
			v.draw(a, now, p, s, req, keys)
		}
		if v.random == 0 {
			for _, t := range p.shortestQueues {
				a.addCandidate(now, p, t, req, keys)
			}
		}
		best = v.cheapest(a, p, s, a.candidates, req, spare)
	}
	if best == nil {
		return Choice{Refused: TargetsBusy, Wait: a.shortestWait(p)}
	}
	s.sent = append(s.sent, sentTokens{now, best.prefillTokens, best.target})
	s.last[req.Segments[0].ID] = best.target
	return Choice{Target: best.target.ID, Wait: best.wait, PrefillTokens: best.prefillTokens}
}

// update drops what was sent before the reports and estimates factor.
func (s *alternativeState) update(a *Admitter, p *pool, delay time.Duration) {
	for len(s.sent) > 0 && s.sent[0].at < a.peerLoadsAt.Add(-delay) {
		s.sent = s.sent[1:]
	}
	if s.reportedAt == a.peerLoadsAt {
		return
	}
	s.reportedAt = a.peerLoadsAt
	s.ownRunning *= 0.8
	s.peerRunning *= 0.8
	for _, t := range p.targets {
		s.ownRunning += float64(t.ownLoad.Running)
		s.peerRunning += float64(t.peerLoad.Running)
	}
	s.factor = min(s.peerRunning/max(1, s.ownRunning), float64(a.processes-1))
}

// preferredTargets returns the first three targets of the ring, or three of more if the
// prefix needs more copies.
func (v *alternative) preferredTargets(a *Admitter, now identifier.Instant, p *pool, s *alternativeState, req Request, keys []prefixKey) []candidate {
	const window, maxCopies = 5.0, 32
	all := a.ringCandidates(now, p, req, keys)
	first := all[:min(len(all), maxPreferredTargets)]
	if v.copyTime == 0 {
		return first
	}
	key := keys[len(keys)-2]
	seen := s.prefixes[key]
	seen = seenPrefix{count: seen.count*math.Exp(-now.Sub(seen.at).Seconds()/window) + 1, at: now}
	s.prefixes[key] = seen
	engineTime := (seen.count - 0.5) / window * (1 + s.factor) * initialPerToken * float64(unsharedTokens(req)) / 1e9
	copies := min(int(math.Ceil(engineTime/v.copyTime)), maxCopies, len(p.targets))
	if copies <= maxPreferredTargets {
		return first
	}
	var list []*targetState
	p.ring.walk(ringKey(keys, req.Seed), func(t *targetState) bool {
		known := false
		for _, u := range list {
			known = known || u == t
		}
		if !known {
			list = append(list, t)
		}
		return len(list) < copies
	})
	a.candidates = a.candidates[:0]
	for i := uint64(0); i < maxPreferredTargets; i++ {
		if t := list[mix(req.Seed+i*991)%uint64(len(list))]; !a.isCandidate(t) && eligible(now, t, &req) && p.healthy(now, t) {
			a.candidates = append(a.candidates, a.evaluate(now, t, req, keys, 0))
		}
	}
	return a.candidates
}

// draw adds random targets to the candidates.
func (v *alternative) draw(a *Admitter, now identifier.Instant, p *pool, s *alternativeState, req Request, keys []prefixKey) {
	for i := 0; i < v.random; i++ {
		n := mix(req.Seed + uint64(i)*77)
		if v.subset {
			n = mix(s.number*8 + n%8)
		}
		a.addCandidate(now, p, p.targets[n%uint64(len(p.targets))], req, keys)
	}
}

// cheapest returns the cheapest candidate that the request fits.
func (v *alternative) cheapest(a *Admitter, p *pool, s *alternativeState, list []candidate, req Request, spare bool) *candidate {
	for i := range list {
		c := &list[i]
		v.correct(a, p, s, c)
		if v.former {
			// Requests with longer prompts delay those behind them more, from 2,000 tokens on
			// more than they are delayed themselves.
			c.cost = c.queueDelay + time.Duration(float64(c.queueDelay)*float64(c.prefillTokens)/2000) + 10*c.target.latency.prefillTime(c.recomputeTokens)
			continue
		}
		c.cost = c.queueDelay + c.prefillTime + time.Duration(v.recompute*float64(c.target.latency.prefillTime(c.recomputeTokens)))
		if v.noise > 0 {
			u := (float64(mix(req.Seed^uint64(i+1)*0x9e37)>>11) + 0.5) / (1 << 53)
			c.cost += time.Duration(-math.Log(u) * v.noise * float64(req.MaxWait))
		}
		if v.hysteresis > 0 && s.last[req.Segments[0].ID] == c.target {
			c.cost -= time.Duration(v.hysteresis * float64(c.cost))
		}
	}
	return p.cheapest(list, req, spare)
}

// correct replaces the backlog of the candidate by the alternative's estimate.
func (v *alternative) correct(a *Admitter, p *pool, s *alternativeState, c *candidate) {
	tokens := float64(c.target.totalLoad().PrefillTokens)
	if seen := s.seen[c.target.ID]; v.observed && seen.at > a.peerLoadsAt {
		tokens = max(float64(c.target.ownLoad.PrefillTokens), seen.backlog.Seconds()*1e9/c.target.latency.perToken)
	}
	if v.unreported {
		same, all := 0, 0
		for _, m := range s.sent {
			all += m.tokens
			if m.target == c.target {
				same += m.tokens
			}
		}
		tokens += s.factor * (v.ownWeight*float64(same) + (1-v.ownWeight)*float64(all)/float64(len(p.targets)))
	}
	c.load.PrefillTokens = int(tokens)
	c.queueDelay = c.target.latency.prefillTime(int(tokens))
	c.wait = c.target.latency.base + c.queueDelay + c.prefillTime
}

// alternatives returns the ways that are compared. They hold state and are used for one
// replay.
func alternatives() []*alternative {
	return []*alternative{
		{name: "former choice", former: true},
		{name: "own prompt in the cost", recompute: 6},
		{name: "random 1 instead of shortest", recompute: 6, random: 1},
		{name: "random 2", recompute: 6, random: 2},
		{name: "random 4", recompute: 6, random: 4},
		{name: "random 2 compete", recompute: 6, random: 2, always: true},
		{name: "random 2 compete, recompute 1", recompute: 1, random: 2, always: true},
		{name: "random 2, noise 0.1", recompute: 6, random: 2, noise: 0.1},
		{name: "random 2 of a subset of 8", recompute: 6, random: 2, subset: true},
		{name: "random 2, hysteresis 0.3", recompute: 6, random: 2, hysteresis: 0.3},
		{name: "random 2, told in answers", recompute: 6, random: 2, observed: true},
		{name: "random 2, unreported", recompute: 6, random: 2, unreported: true, ownWeight: 0.3},
		{name: "the same, all by target", recompute: 6, random: 2, unreported: true, ownWeight: 1},
		{name: "the same, none by target", recompute: 6, random: 2, unreported: true},
		{name: "random 2, unreported, copies", recompute: 6, random: 2, unreported: true, ownWeight: 0.3, copyTime: 0.2},
		{name: "random 1, unreported, copies", recompute: 6, random: 1, unreported: true, ownWeight: 0.3, copyTime: 0.2},
	}
}

// TestCompareChoices prints the figures of all alternatives. It checks nothing.
func TestCompareChoices(t *testing.T) {
	if !*compare {
		t.Skip("run with -compare")
	}
	for _, cfg := range replayConfigs {
		fmt.Printf("\n%s\n\n", cfg.name)
		for _, v := range alternatives() {
			v.reportDelay = cfg.reportAge / 2
			fmt.Printf("| %s | %s |\n", v.name, runReplay(cfg, v))
		}
		fmt.Printf("| **built** | %s |\n", runReplay(cfg, builtChoice{}))
	}
}
