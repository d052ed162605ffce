package measurer

import (
	"fmt"
	"sync"
	"time"

	"buckthorndrum/counter"
	"buckthorndrum/identifier"
)

// Way names a way of bringing jobs to targets.
type Way string

// The ways that are compared.
const (
	Ours        Way = "ours"
	FirstCome   Way = "first come"
	LeastLoaded Way = "least loaded"
	Central     Way = "central"
	// Strict and Deadline replace ours' shares by strict priority of urgency,
	// and the central queue's fairness by the earliest deadline.
	Strict   Way = "strict priority"
	Deadline Way = "deadline order"
)

// Result is what one run measured.
type Result struct {
	Size     string
	Scenario Scenario
	Way      Way
	// Gap is the largest range of the difference in service between two
	// workspaces while both were backlogged, in tokens.
	Gap float64
	// LevelGap is the largest difference of true levels, in weighted tokens.
	LevelGap identifier.Cost
	// Tokens is what the models delivered, in tokens.
	Tokens float64
	// Kinds is what the callers of each kind saw.
	Kinds map[identifier.Kind]KindResult
	// ControlMax and ControlMean are control bytes a second of one node.
	ControlMax  float64
	ControlMean float64
	// RequestFrames and RequestBytes are the control frames and bytes of offers,
	// grants and declines for each request handed over.
	RequestFrames float64
	RequestBytes  float64
	Lost          int
	Twice         int
	Grants        int
	Declines      int
	HeldBytes     int
	Took          time.Duration
	// Placement is for ways in which engines do not serve everything.
	Placement PlacementResult
}

// KindResult is what the callers of one kind saw.
type KindResult struct {
	Submitted int
	Refused   int
	Done      int
	// Rate is the cost delivered a second.
	Rate float64
	// First95 is the time to the first token for 95 in 100.
	First95 time.Duration
}

// Run measures one way in one scenario.
func Run(size Size, sc Scenario, way Way, seed uint64) Result {
	begin := time.Now()
	w := newWorld(size, sc, seed)
	w.sys = newSystem(w, way)
	placed := placing(w.sys, way)
	w.begin()
	w.clock.runUntil(identifier.Instant(sc.Length))
	res := w.gauges.result()
	if placed != nil {
		res.Placement = placed.result()
	}
	res.Size, res.Scenario, res.Way = size.Name, sc, way
	res.Took = time.Since(begin)
	return res
}

func newSystem(w *world, way Way) system {
	switch way {
	case FirstCome:
		w.clock.every(sampleEvery, w.gauges.sample)
		return newFirstCome(w)
	case LeastLoaded:
		return newLeastLoaded(w)
	case Central:
		return newCentral(w, leastServed)
	case Deadline:
		return newCentral(w, earliestDeadline)
	case Strict:
		for i := range w.kinds {
			w.kinds[i].share = 0
		}
		return newOurs(w, boundlessWindow)
	}
	return newOurs(w, creditWindow)
}

// placing sets up how the engines of a run get their models, nil if each serves
// everything.
func placing(s system, way Way) *placements {
	o, ok := s.(*ours)
	if !ok || (way != Halves && way != Placed) {
		return nil
	}
	return o.place(way)
}

func (g *gauges) result() Result {
	length := (g.w.sc.Length - settle).Seconds()
	res := Result{
		Gap:       g.gap,
		LevelGap:  g.levelGap,
		Tokens:    g.served[models],
		Kinds:     map[identifier.Kind]KindResult{},
		Lost:      g.lost,
		Twice:     g.twice,
		Grants:    g.grants,
		Declines:  g.declines,
		HeldBytes: g.heldBytes,
	}
	for id, k := range g.kinds {
		res.Kinds[id] = KindResult{
			Submitted: k.submitted,
			Refused:   k.refused,
			Done:      k.done,
			Rate:      k.cost / length,
			First95:   time.Duration(k.first.ValueAtQuantile(95)) * time.Microsecond,
		}
	}
	res.RequestFrames = float64(g.requestFrames) / float64(max(1, g.handed))
	res.RequestBytes = float64(g.requestBytes) / float64(max(1, g.handed))
	var sum int64
	for _, n := range g.control {
		sum += n
		res.ControlMax = max(res.ControlMax, float64(n)/length)
	}
	nodes := g.w.size.Routers + len(g.w.targets)
	res.ControlMean = float64(sum) / length / float64(nodes)
	return res
}

// Bound is the stated bound on the gap of a run in service, in tokens: see
// docs/design/fairness.md.
func Bound(size Size, sc Scenario) float64 {
	w := newWorld(size, sc, 1)
	var largest identifier.Cost
	for _, k := range w.kinds {
		if k.pool == models {
			largest = max(largest, k.most)
		}
	}
	age := counter.MaxInterval + agentTick + size.Latency
	if sc.Fault == AgentsCut || sc.Fault == CountersLossy {
		age += (sc.Length - settle) / 3
	}
	rate := w.capacity(models)
	inFlight := float64(w.slots(models) + maxAhead*size.Engines)
	return 2 * (creditWindow + age.Seconds()*rate + inFlight*float64(largest))
}

// RunAll measures every way in every scenario, a few runs at a time.
func RunAll(sizes []Size, scs []Scenario, ways []Way, seed uint64, parallel int) []Result {
	type place struct {
		size Size
		sc   Scenario
		way  Way
	}
	var places []place
	for _, size := range sizes {
		for _, sc := range scs {
			for _, way := range ways {
				places = append(places, place{size, sc, way})
			}
		}
	}
	results := make([]Result, len(places))
	limit := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	for i, p := range places {
		wg.Add(1)
		limit <- struct{}{}
		go func() {
			defer wg.Done()
			results[i] = Run(p.size, p.sc, p.way, seed)
			<-limit
		}()
	}
	wg.Wait()
	return results
}

// String renders a result in one line.
func (r Result) String() string {
	return fmt.Sprintf("%-12s %-28s %-13s gap %8.0f level %6d tokens %8.0f control max %6.0f mean %6.0f lost %d declines %d/%d held %d took %s",
		r.Size, r.Scenario.Name, r.Way, r.Gap, r.LevelGap, r.Tokens, r.ControlMax, r.ControlMean, r.Lost, r.Declines, r.Grants, r.HeldBytes, r.Took.Round(time.Millisecond))
}
