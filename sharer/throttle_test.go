package sharer

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
)

// A workspace whose callers reach a hundred routers is throttled evenly, although routers
// learn of each other's rates late. With only a bound on the dispatched rate, all routers
// sent at once whenever it was not reached: in a large fleet, 30 to 530 requests per
// second.
func TestThrottlingIsEvenAcrossManyRouters(t *testing.T) {
	g := NewWithT(t)
	const (
		routers       = 100
		tick          = second / 100
		exchangeSteps = 30
		size          = 4000
		heldRate      = 300_000
		wideRate      = 3_000_000
	)
	rng := rand.New(rand.NewPCG(1, 2))
	list := make([]*Sharer, routers)
	for i := range list {
		list[i] = New()
		list[i].SetCapacity(4_000_000)
	}
	dispatched := map[int]int{}
	var previous []map[identifier.Workspace]Rates
	for step := 0; step < 2000; step++ {
		now := second + identifier.Instant(step)*tick
		list[0].RecordRequest(now, "held", 8_000_000/100)
		list[0].RecordDispatch(now, "held", heldRate/100)
		for n := 0; n < wideRate/100/size; n++ {
			s := list[rng.IntN(routers)]
			s.RecordRequest(now, "wide", size)
			if rng.Float64() < s.AdmissionRatio(now, "wide") {
				s.RecordDispatch(now, "wide", size)
				dispatched[step/100] += size
			}
		}
		if step%exchangeSteps == 0 {
			exchange(now, list, previous)
			previous = localRates(now, list)
		}
	}
	for from := 1; from < 14; from++ {
		sum := 0
		for sec := from; sec < from+6; sec++ {
			sum += dispatched[sec]
		}
		g.Expect(sum).To(BeNumerically("<", 6*2*heldRate), "in six seconds from second %d: %v", from, dispatched)
	}
	for sec := 10; sec < 20; sec++ {
		g.Expect(dispatched[sec]).To(BeNumerically("<", 2*heldRate), "in second %d", sec)
		g.Expect(dispatched[sec]).To(BeNumerically(">", heldRate/2), "in second %d", sec)
	}
}

// A workspace whose load comes suddenly, to one router at a time, gets less than twice as
// much as a workspace that was underserved before, over any six seconds from its first
// on.
func TestSuddenLoadIsThrottledAtOnce(t *testing.T) {
	for name, secondsPerRouter := range map[string]int{"one router": 600, "another each second": 1, "another each three seconds": 3} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newFleet(10)
			for sec := 0; sec < 4; sec++ {
				r.play(sec, nil)
			}
			dispatched := map[int]int{}
			for sec := 4; sec < 20; sec++ {
				at := 1 + sec/secondsPerRouter%9
				dispatched[sec] = r.play(sec, map[int]int{at: 8_000_000})
			}
			for from := 4; from < 14; from++ {
				sum := 0
				for sec := from; sec < from+6; sec++ {
					sum += dispatched[sec]
				}
				g.Expect(sum).To(BeNumerically("<", 6*2*r.heldRate), "in six seconds from second %d: %v", from, dispatched)
				g.Expect(sum).To(BeNumerically(">", 6*r.heldRate/2), "in six seconds from second %d: %v", from, dispatched)
			}
		})
	}
}

// An occasional lost report does not lift the throttling, as an underserved workspace is
// retained for a while. In a large fleet its callers moved to another router, and all
// others were admitted for half a second.
func TestLostReportsDoNotLiftThrottling(t *testing.T) {
	g := NewWithT(t)
	const routers, wideRate = 20, 8_000_000
	r := newFleet(routers)
	rates := map[int]int{}
	for at := 1; at < routers; at++ {
		rates[at] = wideRate / (routers - 1)
	}
	dispatched := map[int]int{}
	for sec := 0; sec < 16; sec++ {
		r.loseReports = sec%4 == 3
		dispatched[sec] = r.play(sec, rates)
	}
	for from := 3; from < 10; from++ {
		sum := 0
		for sec := from; sec < from+6; sec++ {
			sum += dispatched[sec]
		}
		g.Expect(sum).To(BeNumerically("<", 6*2*r.heldRate), "in six seconds from second %d: %v", from, dispatched)
	}
}

// Throttled workspaces that are underserved throttle each other after the deficit of the
// workspace that they were throttled for has ended: none is admitted fully at once.
func TestThrottledWorkspacesAreComparedWithEachOther(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.SetCapacity(4_000_000)
	for step := 0; step < 120; step++ {
		now := second + identifier.Instant(step)*second/20
		rates := map[identifier.Workspace]Rates{
			"small": {Requested: 450_000, Dispatched: 100_000, Admitted: 450_000},
			"held":  {Requested: 8_000_000, Dispatched: 300_000, Admitted: 300_000},
			"wide":  {Requested: 8_000_000, Dispatched: 900_000, Admitted: 900_000},
		}
		if step >= 60 {
			rates["small"] = Rates{Requested: 100_000, Dispatched: 100_000, Admitted: 100_000}
		}
		s.SetPeerRates(now, rates)
		if step >= 20 {
			g.Expect(s.AdmissionRatio(now, "wide")).To(BeNumerically("<", 2*300_000/8e6), "after %d ms", step*50)
		}
	}
}

// A router with few requests settles at the same admission ratio as one with many.
func TestAdmissionRatioDoesNotDependOnRequestCount(t *testing.T) {
	g := NewWithT(t)
	ratio := func(interval int) float64 {
		s := New()
		s.SetCapacity(4_000_000)
		for step := 0; step < 300; step++ {
			now := second + identifier.Instant(step)*second/100
			s.SetPeerRates(now, map[identifier.Workspace]Rates{
				"held": {Requested: 8_000_000, Dispatched: 300_000, Completed: 300_000}, "wide": {Requested: 3_000_000, Dispatched: 1_000_000, Completed: 1_000_000}})
			if step%interval == 0 {
				s.AdmissionRatio(now, "wide")
			}
		}
		return s.AdmissionRatio(second+3*second, "wide")
	}
	g.Expect(ratio(60)).To(BeNumerically("~", ratio(10), 0.05))
}

// A throttled workspace whose demand rises does not get more. In a large fleet one rose
// from 1.7 to 7 million tokens per second within four seconds.
func TestRisingDemandGetsNoMore(t *testing.T) {
	g := NewWithT(t)
	const routers, from, rise = 20, 1_600_000, 1_600_000
	r := newFleet(routers)
	dispatched := map[int]int{}
	for sec := 0; sec < 14; sec++ {
		rates := map[int]int{}
		for at := 1; at < routers; at++ {
			rates[at] = (from + rise*max(0, sec-3)) / (routers - 1)
		}
		dispatched[sec] = r.play(sec, rates)
	}
	t.Log(dispatched)
	for sec := 4; sec < 14; sec++ {
		g.Expect(dispatched[sec]).To(BeNumerically(">", r.heldRate/2), "second %d: %v", sec, dispatched)
	}
	for from := 3; from < 8; from++ {
		sum := 0
		for sec := from; sec < from+6; sec++ {
			sum += dispatched[sec]
		}
		g.Expect(sum).To(BeNumerically("<", 6*2*r.heldRate), "in six seconds from second %d: %v", from, dispatched)
	}
}

// After an outage all workspaces send requests at once and none is served yet. That
// throttles nobody, or no workspace would ever get more: in a large fleet 0.43 of a day's
// load was served instead of 0.75.
func TestWorkspacesReturningAfterOutageAreServed(t *testing.T) {
	const workspaces, size, outageSeconds = 30, 4000, 1.5
	for name, affected := range map[string]int{"all": workspaces, "one": 1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newFleet(20)
			rng := rand.New(rand.NewPCG(3, 4))
			dispatched, requested := map[int]int{}, 0
			for step := 0; step < 800; step++ {
				now := second + identifier.Instant(step)*second/100
				for w := 0; w < workspaces; w++ {
					s := r.routers[rng.IntN(len(r.routers))]
					id := identifier.Workspace(rune('a' + w))
					s.RecordRequest(now, id, size)
					requested += size
					if inOutage := w < affected && float64(step)/100 < outageSeconds; !inOutage && rng.Float64() < s.AdmissionRatio(now, id) {
						s.RecordDispatch(now, id, size)
						s.RecordCompletion(now, id, size)
						dispatched[step/100] += size
					}
				}
				if step%30 == 0 {
					exchange(now, r.routers, r.previous)
					r.previous = localRates(now, r.routers)
				}
			}
			for sec := 5; sec < 8; sec++ {
				g.Expect(dispatched[sec]).To(BeNumerically(">", requested/8*9/10), "second %d: %v", sec, dispatched)
			}
		})
	}
}
