package measurer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"buckthorndrum/identifier"
)

// system is a way of bringing jobs to targets.
type system interface {
	// submit takes a job in at its router.
	submit(j *job)
	// token and ended tell what a target does.
	token(t *target, j *job)
	ended(t *target, j *job)
	// fault begins or ends a failure.
	fault(f Fault, on bool)
}

// world is the outside of one run: targets, callers and gauges.
type world struct {
	clock   *clock
	rng     *rand.Rand
	size    Size
	sc      Scenario
	kinds   []kind
	byKind  map[identifier.Kind]kind
	targets []*target
	sys     system
	gauges  *gauges
	serial  int
	seed    uint64
	// homes are the routers at which each workspace's callers arrive.
	homes [][]int
	// part is each workspace's part of the load.
	part []float64
}

func newWorld(size Size, sc Scenario, seed uint64) *world {
	w := &world{
		clock:  &clock{},
		rng:    rand.New(rand.NewPCG(seed, 1)),
		size:   size,
		sc:     sc,
		kinds:  kinds(),
		byKind: map[identifier.Kind]kind{},
		seed:   seed,
	}
	for _, k := range w.kinds {
		w.byKind[k.id] = k
	}
	w.gauges = newGauges(w)
	w.addTargets("engine", models, size.Engines, engineSlots, false)
	w.addTargets("service", registry, size.Services, serviceSlots, true)
	w.spread()
	return w
}

func (w *world) addTargets(name string, p identifier.Pool, n, slots int, service bool) {
	for i := range n {
		t := &target{
			clock:   w.clock,
			name:    identifier.Target(fmt.Sprintf("%s-%02d", name, i)),
			pool:    p,
			region:  i % w.size.DataCentres,
			slots:   slots,
			speed:   1,
			service: service,
		}
		t.onToken = func(j *job) {
			w.gauges.token(j)
			w.sys.token(t, j)
		}
		t.onEnd = func(j *job) {
			w.gauges.end(j)
			w.sys.ended(t, j)
		}
		w.targets = append(w.targets, t)
	}
}

func workspaceName(i int) identifier.Workspace {
	return identifier.Workspace(fmt.Sprintf("ws-%02d", i))
}

// spread gives each workspace its part of the load and its routers. The first
// three are large.
func (w *world) spread() {
	total := 0.0
	for i := range w.size.Workspaces {
		part := 1.0
		if i < 3 {
			part = 5
		}
		w.part = append(w.part, part)
		total += part
		w.homes = append(w.homes, w.home(i))
	}
	for i := range w.part {
		w.part[i] /= total
	}
}

// fewRouters is how many routers a workspace uses in an uneven spread.
const fewRouters = 2

func (w *world) home(i int) []int {
	n := w.size.Routers
	if w.sc.Uneven && i > 0 {
		n = fewRouters
	}
	return w.rng.Perm(w.size.Routers)[:n]
}

// capacity is what a pool can serve, in cost a second.
func (w *world) capacity(p identifier.Pool) float64 {
	sum := 0.0
	for _, t := range w.targets {
		if t.pool != p {
			continue
		}
		step := baseStep + time.Duration(t.slots)*stepPerJob
		if t.service {
			step = serviceLatency
		}
		sum += float64(t.slots) / step.Seconds()
	}
	return sum
}

// slots is how many jobs a pool runs at once.
func (w *world) slots(p identifier.Pool) int {
	n := 0
	for _, t := range w.targets {
		if t.pool == p {
			n += t.slots
		}
	}
	return n
}

// begin starts the callers and the fault.
func (w *world) begin() {
	for n, k := range w.kinds {
		for i := range w.size.Workspaces {
			rate := w.capacity(k.pool) * k.load * w.sc.Load * w.part[i] / float64(k.mean)
			w.arrivals(k, i, rate, uint64(n))
			if k.id == w.sc.Flood {
				w.flood(k, i)
			}
		}
	}
	if w.sc.Fault == NoFault {
		return
	}
	third := (w.sc.Length - settle) / 3
	w.clock.after(settle+third, func() { w.fault(true) })
	w.clock.after(settle+2*third, func() { w.fault(false) })
}

// floodStream is the random stream of a flood.
const floodStream = 1 << 16

func (w *world) flood(k kind, i int) {
	from := w.sc.FloodFrom
	if from == 0 {
		from = w.size.Workspaces
	}
	if i >= from {
		return
	}
	w.arrivals(k, i, w.capacity(k.pool)*w.sc.FloodBy/float64(from)/float64(k.mean), floodStream)
}

// arrivals submits jobs of one kind and workspace as a Poisson process.
// Each process draws from a stream of its own, so that the callers of one kind
// do the same whatever the others do.
func (w *world) arrivals(k kind, ws int, rate float64, stream uint64) {
	if rate <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(w.seed, stream<<32|uint64(ws)))
	w.arrive(k, ws, rate, rng)
}

func (w *world) arrive(k kind, ws int, rate float64, rng *rand.Rand) {
	gap := time.Duration(rng.ExpFloat64() / (rate * w.swing(k)) * float64(time.Second))
	w.clock.after(gap, func() {
		w.submit(k, ws, rng)
		w.arrive(k, ws, rate, rng)
	})
}

// Deadlines of the jobs.
const (
	longDeadline  = 60 * time.Second
	shortDeadline = 10 * time.Second
	longCost      = 100
	// prefixesPerWorkspace is how many prompt prefixes a workspace uses.
	prefixesPerWorkspace = 12
	// prefixSpread spreads the prefixes over their whole range, as a hash does.
	prefixSpread = 0x9e3779b1
)

func (w *world) submit(k kind, ws int, rng *rand.Rand) {
	w.serial++
	cost := cost(k, rng)
	deadline := shortDeadline
	if k.mean > longCost {
		deadline = longDeadline
	}
	homes := w.homes[ws]
	j := &job{
		id:       identifier.Request(fmt.Sprintf("r%d", w.serial)),
		class:    identifier.Class{Kind: k.id, Workspace: workspaceName(ws)},
		pool:     k.pool,
		router:   homes[rng.IntN(len(homes))],
		cost:     cost,
		hint:     hint(k, cost, rng),
		arrived:  w.clock.now,
		deadline: w.clock.now.Add(deadline),
	}
	if k.pool == models {
		j.prefix = identifier.Prefix(ws*prefixesPerWorkspace+rng.IntN(prefixesPerWorkspace)+1) * prefixSpread
	}
	w.gauges.submit(j)
	w.sys.submit(j)
}

// cost draws what a job takes.
func cost(k kind, rng *rand.Rand) identifier.Cost {
	if k.mean == 1 {
		return 1
	}
	c := float64(k.mean) * (0.25 + 0.75*rng.ExpFloat64())
	return identifier.Cost(math.Max(1, math.Min(c, float64(k.most))))
}

// hint is the cost wrong by a factor of up to two either way. Callers of plain
// services give none.
func hint(k kind, c identifier.Cost, rng *rand.Rand) identifier.Cost {
	if k.mean == 1 {
		return 0
	}
	return max(1, identifier.Cost(float64(c)*math.Exp2(2*rng.Float64()-1)))
}

// delay is the one-way time between a router and a target, or two targets.
func (w *world) delay(a, b int) time.Duration {
	if a%w.size.DataCentres == b%w.size.DataCentres {
		return inside
	}
	return w.size.Latency
}

// fault begins or ends the scenario's failure.
func (w *world) fault(on bool) {
	t := w.targets[0]
	switch w.sc.Fault {
	case TargetDies:
		if on {
			for _, j := range t.die() {
				w.gauges.lose(j)
			}
		} else {
			t.revive()
		}
	case TargetSlow:
		t.speed = map[bool]float64{true: 0.25, false: 1}[on]
	case TargetStuck:
		if on {
			t.stuck = true
		} else {
			t.unstick()
		}
	}
	w.sys.fault(w.sc.Fault, on)
}
