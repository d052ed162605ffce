package admitter

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"buckthorndrum/identifier"
)

// replayKind is a kind of request of a replay.
type replayKind struct {
	name string
	// fraction is the fraction of all requests that are of this kind.
	fraction float64
	// sharedTokens is the length of the shared prefix, which is one of prefixes, and
	// ownTokens that of the rest, both in tokens.
	sharedTokens, ownTokens int
	prefixes                int
	// popularity is the exponent of the Zipf distribution of the prefixes, 0 if all are
	// equally frequent.
	popularity float64
	objective  time.Duration
	// decodeTime is how long a request keeps its slot after its first token.
	decodeTime time.Duration
}

// replayKinds are the three kinds of a replay: short prompts, medium prompts, and long
// prompts of sessions of which a few are popular.
var replayKinds = []replayKind{
	{"short", 0.6, 300, 500, 40, 0, 400 * time.Millisecond, time.Second},
	{"medium", 0.25, 1200, 1200, 60, 0, 500 * time.Millisecond, 1500 * time.Millisecond},
	{"long", 0.15, 5400, 6600, 300, 0.9, time.Second, 2 * time.Second},
}

// replayConfig describes a replay: routers that choose among engines, without a network.
type replayConfig struct {
	name             string
	routers, engines int
	// reportAge is the greatest age of the peers' loads. They are half as old when they
	// arrive, and arrive every half reportAge.
	reportAge time.Duration
	// load is the rate of the prompt tokens that have to be read if each shared prefix is
	// cached, as a fraction of what the engines can read.
	load float64
	// tokenTime is the time in which a fast engine reads a token, 0 for the initial estimate
	// of the routers.
	tokenTime time.Duration
	// beyondShare is the fraction of requests whose workspaces are beyond their share, with
	// a share ratio of a half.
	beyondShare float64
	// uneven makes a quarter of the engines half as fast as the others.
	uneven bool
	// slowdowns makes each engine slower by a factor of 2.5 for 600 ms of every 4 s.
	slowdowns bool
	// bursts makes the rate three times as high for 200 ms of every second. The mean stays.
	bursts bool
	// cutOff makes router 0 receive no reports.
	cutOff bool
	// dataCentres spreads routers and engines over several data centres, 0 for one.
	dataCentres int
	// trouble, if set, is called every 250 ms and may change the targets of all routers.
	trouble func(r *replay, now identifier.Instant)
	seed    uint64
}

const (
	replayWarmUp   = 10 * time.Second
	replayDuration = 10 * time.Second
	replaySlots    = 48
	// replayBase is the time to a first token without any prompt tokens.
	replayBase = 40 * time.Millisecond
	// replayCacheTokens is how many shared tokens an engine keeps. The least recently
	// used prefix is dropped first.
	replayCacheTokens = 150_000
	// replayAdmission is the fraction of the objective in which the first token must be
	// expected, as in package forwarder.
	replayAdmission = 0.8
	slowdownFactor  = 2.5
)

// replayEngine reads prompts one after the other, in the order of their arrival.
type replayEngine struct {
	tokenTime  float64
	busyUntil  identifier.Instant
	cached     map[prefixKey]identifier.Instant
	cachedSize map[prefixKey]int
	cacheSize  int
	phase      time.Duration
	// requests, tokens and busy count what it was given, and the time it reads, after the
	// warm-up.
	requests int
	tokens   int
	busy     time.Duration
}

// read returns when the engine sends the first token of a request that arrives now, and
// how many shared tokens it reads again.
func (e *replayEngine) read(now identifier.Instant, cfg replayConfig, k replayKind, key prefixKey) (first identifier.Instant, again int, tokens int, took time.Duration) {
	tokens = k.ownTokens
	if _, ok := e.cached[key]; !ok {
		again = k.sharedTokens
		tokens += k.sharedTokens
		e.cacheSize += k.sharedTokens
		e.cachedSize[key] = k.sharedTokens
	}
	e.cached[key] = now
	for e.cacheSize > replayCacheTokens {
		e.dropOldest()
	}
	start := max(now, e.busyUntil)
	factor := 1.0
	if cfg.slowdowns && (time.Duration(start)+e.phase)%(4*time.Second) < 600*time.Millisecond {
		factor = slowdownFactor
	}
	took = time.Duration(float64(tokens) * e.tokenTime * factor)
	e.busyUntil = start.Add(took)
	return e.busyUntil.Add(replayBase), again, tokens, took
}

func (e *replayEngine) dropOldest() {
	var oldest prefixKey
	at := identifier.Instant(math.MaxInt64)
	for k, used := range e.cached {
		if used < at || used == at && k < oldest {
			oldest, at = k, used
		}
	}
	e.cacheSize -= e.cachedSize[oldest]
	delete(e.cached, oldest)
	delete(e.cachedSize, oldest)
}

// replayEvent is something that happens at an instant.
type replayEvent struct {
	at  identifier.Instant
	seq int
	run func(now identifier.Instant)
}

type replayQueue []replayEvent

func (q replayQueue) Len() int { return len(q) }
func (q replayQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q replayQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *replayQueue) Push(x any)   { *q = append(*q, x.(replayEvent)) }
func (q *replayQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// chooser is a way of choosing targets that a replay measures.
type chooser interface {
	// choose returns the target for a request of a router.
	choose(a *Admitter, now identifier.Instant, req Request) Choice
	// observe tells that an answer of a target arrived, when the target had to read for
	// the time backlog before it reads a new request.
	observe(a *Admitter, now identifier.Instant, id identifier.Target, backlog time.Duration)
}

// builtChoice is the choice of the package.
type builtChoice struct{}

func (builtChoice) choose(a *Admitter, now identifier.Instant, req Request) Choice {
	return a.Choose(now, req)
}

func (builtChoice) observe(*Admitter, identifier.Instant, identifier.Target, time.Duration) {}

// replay is a replay while it runs.
type replay struct {
	cfg     replayConfig
	chooser chooser
	random  *rand.Rand
	queue   replayQueue
	seq     int
	routers []*Admitter
	targets []Target
	engines map[identifier.Target]*replayEngine
	popular []float64
	rate    float64
	result  replayResult
}

// replayResult is what a replay measures after its warm-up.
type replayResult struct {
	// offered, served, late and refused count requests by kind, and onTime those with a
	// first token within their objective.
	offered, served, late, refused [3]int
	// sharedTokens are those of the served requests, and again those that were read again.
	sharedTokens, again int
	// local counts the served requests at an engine of the router's data centre.
	local int
	// busiestTokens and busiestRequests are the most that one engine got, divided by the
	// mean over all engines.
	busiestTokens, busiestRequests float64
	// used is the fraction of the time in which the engines read.
	used float64
	// longestQueue is the mean, over the samples, of the longest queueing delay of an
	// engine.
	longestQueue time.Duration
	samples      int
}

func sum(n [3]int) int { return n[0] + n[1] + n[2] }

func ratio(a, b int) float64 { return float64(a) / float64(max(1, b)) }

func (r replayResult) lateShare() float64    { return ratio(sum(r.late), sum(r.served)) }
func (r replayResult) refusedShare() float64 { return ratio(sum(r.refused), sum(r.offered)) }
func (r replayResult) againShare() float64   { return ratio(r.again, r.sharedTokens) }

// goodShare is the fraction of all requests whose first token came within the objective.
func (r replayResult) goodShare() float64 {
	return ratio(sum(r.served)-sum(r.late), sum(r.offered))
}

// String returns the columns of the tables in docs/design/balancing.md: busiest engine by
// tokens and by requests, on time, late (by kind), refused, read again, used, longest
// queue, and at an engine of the router's own data centre.
func (r replayResult) String() string {
	return fmt.Sprintf("%.2f | %.2f | %.3f | %.3f (%.2f %.2f %.2f) | %.3f | %.3f | %.2f | %d ms | %.2f",
		r.busiestTokens, r.busiestRequests, r.goodShare(), r.lateShare(), ratio(r.late[0], r.served[0]), ratio(r.late[1], r.served[1]), ratio(r.late[2], r.served[2]),
		r.refusedShare(), r.againShare(), r.used, r.longestQueue.Milliseconds(), ratio(r.local, sum(r.served)))
}

// runReplay replays cfg with a choice.
func runReplay(cfg replayConfig, c chooser) replayResult {
	r := &replay{cfg: cfg, chooser: c, random: rand.New(rand.NewPCG(cfg.seed, 1)), engines: map[identifier.Target]*replayEngine{}}
	capacity, tokenTime := 0.0, float64(initialPerToken)
	if cfg.tokenTime > 0 {
		tokenTime = float64(cfg.tokenTime)
	}
	for i := 0; i < cfg.engines; i++ {
		t := Target{ID: identifier.Target(fmt.Sprintf("e%d", i)), Pool: "p", Slots: replaySlots, Incarnation: 1, DataCentre: dataCentreOf(cfg, i)}
		e := &replayEngine{tokenTime: tokenTime, cached: map[prefixKey]identifier.Instant{}, cachedSize: map[prefixKey]int{}, phase: time.Duration(r.random.IntN(4000)) * time.Millisecond}
		if cfg.uneven && i%4 == 1 {
			e.tokenTime *= 2
		}
		r.targets = append(r.targets, t)
		r.engines[t.ID] = e
		capacity += float64(time.Second) / e.tokenTime
	}
	if cfg.slowdowns {
		capacity /= 1 + 0.15*(slowdownFactor-1)
	}
	mean := 0.0
	for _, k := range replayKinds {
		mean += k.fraction * float64(k.ownTokens)
	}
	r.rate = cfg.load * capacity / mean
	long := replayKinds[2]
	for i, total := 0, 0.0; i < long.prefixes; i++ {
		total += math.Pow(float64(i+1), -long.popularity)
		r.popular = append(r.popular, total)
	}
	for i := 0; i < cfg.routers; i++ {
		a := New()
		a.EvenOutLoad()
		a.SetTargets(replayStart, r.targets)
		a.SetProcesses(cfg.routers)
		a.SetPeerLoadDelay(cfg.reportAge / 2)
		r.routers = append(r.routers, a)
	}
	r.run()
	return r.summary()
}

func dataCentreOf(cfg replayConfig, i int) identifier.DataCentre {
	return identifier.DataCentre(fmt.Sprintf("z%d", i%max(1, cfg.dataCentres)))
}

// replayStart is when a replay begins, not zero, which stands for no instant.
const replayStart = identifier.Instant(time.Hour)

func (r *replay) at(t identifier.Instant, run func(now identifier.Instant)) {
	r.seq++
	heap.Push(&r.queue, replayEvent{at: t, seq: r.seq, run: run})
}

// every calls run at intervals.
func (r *replay) every(interval time.Duration, run func(now identifier.Instant)) {
	var next func(now identifier.Instant)
	next = func(now identifier.Instant) {
		run(now)
		r.at(now.Add(interval), next)
	}
	r.at(replayStart.Add(interval), next)
}

func (r *replay) run() {
	r.at(replayStart, r.arrive)
	r.every(r.cfg.reportAge/2, r.report)
	r.every(20*time.Millisecond, r.sample)
	if r.cfg.trouble != nil {
		r.every(250*time.Millisecond, func(now identifier.Instant) { r.cfg.trouble(r, now) })
	}
	end := replayStart.Add(replayWarmUp + replayDuration)
	for r.queue[0].at < end {
		e := heap.Pop(&r.queue).(replayEvent)
		e.run(e.at)
	}
}

func (r *replay) measuring(now identifier.Instant) bool { return now.Sub(replayStart) >= replayWarmUp }

// report takes the loads of all routers and delivers them when they are half of reportAge
// old.
func (r *replay) report(now identifier.Instant) {
	own := make([]map[identifier.Target]Load, len(r.routers))
	total := map[identifier.Target]Load{}
	for i, a := range r.routers {
		own[i] = a.OwnLoads()
		if r.cfg.cutOff && i == 0 {
			continue
		}
		for id, l := range own[i] {
			total[id] = total[id].add(l)
		}
	}
	r.at(now.Add(r.cfg.reportAge/2), func(now identifier.Instant) {
		for i, a := range r.routers {
			a.Tick(now)
			if r.cfg.cutOff && i == 0 {
				continue
			}
			others := make(map[identifier.Target]Load, len(total))
			for id, l := range total {
				m := own[i][id]
				others[id] = l.add(Load{Running: -m.Running, PrefillTokens: -m.PrefillTokens, MemoryTokens: -m.MemoryTokens})
			}
			a.SetPeerLoads(now, others)
		}
	})
}

// sample measures the queues of all engines.
func (r *replay) sample(now identifier.Instant) {
	if !r.measuring(now) {
		return
	}
	var longest time.Duration
	for _, e := range r.engines {
		longest = max(longest, e.busyUntil.Sub(now))
	}
	r.result.samples++
	r.result.longestQueue += longest
}

// arrive lets a request arrive at a router and schedules the next one.
func (r *replay) arrive(now identifier.Instant) {
	rate := r.rate
	if r.cfg.bursts {
		// 0.2 s of three times the rate, and 0.8 s of half of it.
		rate *= 0.5
		if time.Duration(now)%time.Second < 200*time.Millisecond {
			rate = r.rate * 3
		}
	}
	r.at(now.Add(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second))), r.arrive)
	kind, draw := 0, r.random.Float64()
	for kind < len(replayKinds)-1 && draw >= replayKinds[kind].fraction {
		draw -= replayKinds[kind].fraction
		kind++
	}
	k := replayKinds[kind]
	prefix := r.random.IntN(k.prefixes)
	if k.popularity > 0 {
		draw := r.random.Float64() * r.popular[len(r.popular)-1]
		for prefix = 0; r.popular[prefix] < draw; prefix++ {
		}
	}
	r.send(now, r.random.IntN(len(r.routers)), kind, uint64(kind)<<32|uint64(prefix))
}

// send lets a router choose a target for a request of a kind, and the target answer it.
func (r *replay) send(now identifier.Instant, router, kind int, prefix uint64) {
	k, a, measuring := replayKinds[kind], r.routers[router], r.measuring(now)
	seed := r.random.Uint64()
	req := Request{Pool: "p", Model: "m", PromptTokens: k.sharedTokens + k.ownTokens, MaxOutputTokens: 100, WithinShare: true, Seed: seed,
		Segments: []PromptSegment{{prefix, k.sharedTokens}, {seed, k.ownTokens}}, MaxWait: time.Duration(replayAdmission * float64(k.objective)),
		LocalDataCentre: dataCentreOf(r.cfg, router)}
	if r.random.Float64() < r.cfg.beyondShare {
		req.WithinShare = false
		req.MaxWait /= 2
	}
	c := r.chooser.choose(a, now, req)
	if measuring {
		r.result.offered[kind]++
		if c.Refused != "" {
			r.result.refused[kind]++
		}
	}
	if c.Refused != "" {
		return
	}
	attempt := a.StartAttempt(now, req, c)
	target, _ := attempt.Target()
	e := r.engines[c.Target]
	first, again, tokens, took := e.read(now, r.cfg, k, prefixKey(prefix))
	if measuring {
		e.requests++
		e.tokens += tokens
		e.busy += took
		r.result.served[kind]++
		r.result.sharedTokens += k.sharedTokens
		r.result.again += again
		if first.Sub(now) > k.objective {
			r.result.late[kind]++
		}
		if target.DataCentre == req.LocalDataCentre {
			r.result.local++
		}
	}
	r.at(first, func(now identifier.Instant) {
		a.RecordAnswerStart(now, attempt)
		r.chooser.observe(a, now, c.Target, max(0, e.busyUntil.Sub(now)))
	})
	r.at(first.Add(k.decodeTime), func(now identifier.Instant) { a.EndAttempt(now, attempt, Answered) })
}

func (r *replay) summary() replayResult {
	var requests, tokens, mostRequests, mostTokens int
	var busy time.Duration
	for _, e := range r.engines {
		requests, tokens, busy = requests+e.requests, tokens+e.tokens, busy+e.busy
		mostRequests, mostTokens = max(mostRequests, e.requests), max(mostTokens, e.tokens)
	}
	n := len(r.engines)
	res := r.result
	res.busiestRequests, res.busiestTokens = ratio(mostRequests*n, requests), ratio(mostTokens*n, tokens)
	res.used = busy.Seconds() / replayDuration.Seconds() / float64(n)
	res.longestQueue /= time.Duration(max(1, res.samples))
	return res
}

const (
	fastReports = 50 * time.Millisecond
	usualAge    = 300 * time.Millisecond
	slowReports = 600 * time.Millisecond
)

// replayConfigs are the replays of the tables in docs/design/balancing.md.
var replayConfigs = []replayConfig{
	{name: "24x44, half load", routers: 24, engines: 44, reportAge: usualAge, load: 0.5, uneven: true, bursts: true, seed: 1},
	{name: "24x44, full load", routers: 24, engines: 44, reportAge: usualAge, load: 0.9, uneven: true, bursts: true, seed: 1},
	{name: "24x44, slowdowns", routers: 24, engines: 44, reportAge: usualAge, load: 0.7, tokenTime: 25 * time.Microsecond, uneven: true, slowdowns: true, bursts: true, seed: 2},
	{name: "24x44, overload, shares", routers: 24, engines: 44, reportAge: usualAge, load: 1.3, beyondShare: 0.6, uneven: true, slowdowns: true, bursts: true, seed: 3},
	{name: "24x44, equal engines", routers: 24, engines: 44, reportAge: usualAge, load: 0.7, seed: 8},
	{name: "46x53, 600 ms", routers: 46, engines: 53, reportAge: slowReports, load: 0.7, uneven: true, bursts: true, seed: 4},
	{name: "46x53, 50 ms", routers: 46, engines: 53, reportAge: fastReports, load: 0.7, uneven: true, bursts: true, seed: 4},
	{name: "3x12, 100 ms", routers: 3, engines: 12, reportAge: 100 * time.Millisecond, load: 0.7, uneven: true, bursts: true, seed: 5},
	{name: "300x180, 600 ms", routers: 300, engines: 180, reportAge: slowReports, load: 0.7, uneven: true, bursts: true, seed: 6},
	{name: "24x44, no load", routers: 24, engines: 44, reportAge: usualAge, load: 0.05, uneven: true, seed: 7},
}

// replayNamed returns the replay of replayConfigs with a name.
func replayNamed(name string) replayConfig {
	for _, cfg := range replayConfigs {
		if cfg.name == name {
			return cfg
		}
	}
	panic("no replay " + name)
}
