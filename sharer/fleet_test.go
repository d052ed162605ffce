package sharer

import (
	"buckthorndrum/identifier"
)

// fleet is a set of routers that exchange their rates every 0.3 s. Workspace "held"
// requests far more than it gets, at the first router.
type fleet struct {
	routers []*Sharer
	// previous holds the rates of each router as of the last exchange.
	previous []map[identifier.Workspace]Rates
	// heldRate is the rate that workspace "held" gets, in tokens per second.
	heldRate int
	// loseReports makes the reports of the first router get lost.
	loseReports bool
}

func newFleet(routers int) *fleet {
	f := &fleet{routers: make([]*Sharer, routers), heldRate: 300_000}
	for i := range f.routers {
		f.routers[i] = New()
		f.routers[i].SetCapacity(4_000_000)
	}
	return f
}

// play simulates one second in which workspace "wide" requests rates, in tokens per
// second, by router index. It returns how many tokens were dispatched.
func (f *fleet) play(sec int, rates map[int]int) int {
	const steps, size = 100, 400
	dispatched := 0
	for step := 0; step < steps; step++ {
		now := second + identifier.Instant(sec*steps+step)*second/steps
		f.routers[0].RecordRequest(now, "held", 8_000_000/steps)
		f.routers[0].RecordDispatch(now, "held", f.heldRate/steps)
		for at, rate := range rates {
			dispatched += f.request(now, f.routers[at], rate/steps/size, size, step)
		}
		if (sec*steps+step)%30 == 0 {
			exchange(now, f.routers, f.previous)
			f.previous = localRates(now, f.routers)
			if f.loseReports {
				f.previous[0] = nil
			}
		}
	}
	return dispatched
}

// request simulates n requests of the given size at one router, and returns how many
// tokens were dispatched.
func (f *fleet) request(now identifier.Instant, s *Sharer, n, size, salt int) int {
	dispatched := 0
	for i := 0; i < n; i++ {
		s.RecordRequest(now, "wide", size)
		if draw := float64((salt*n+i)*7919%1009) / 1009; draw < s.AdmissionRatio(now, "wide") {
			s.RecordDispatch(now, "wide", size)
			dispatched += size
		}
	}
	return dispatched
}

// localRates returns the rates that each router has measured.
func localRates(now identifier.Instant, routers []*Sharer) []map[identifier.Workspace]Rates {
	rates := make([]map[identifier.Workspace]Rates, len(routers))
	for i, s := range routers {
		rates[i] = s.LocalRates(now)
	}
	return rates
}

// exchange gives each router the summed rates of the others as of the previous exchange.
func exchange(now identifier.Instant, routers []*Sharer, previous []map[identifier.Workspace]Rates) {
	sum := map[identifier.Workspace]Rates{}
	for _, rates := range previous {
		for w, r := range rates {
			sum[w] = sum[w].AddSigned(r, 1)
		}
	}
	for i, s := range routers {
		others := map[identifier.Workspace]Rates{}
		for w, r := range sum {
			others[w] = r
			if previous != nil {
				others[w] = r.AddSigned(previous[i][w], -1)
			}
		}
		s.SetPeerRates(now, others)
	}
}
