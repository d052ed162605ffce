package sharer

import (
	"buckthorndrum/identifier"
)

// round plays routers that tell each other each 0.3 s what they have seen. One
// workspace asks for far more than it is given, at the first router.
type round struct {
	list []*Sharer
	late []map[identifier.Workspace]Rates
	// held is what that workspace is given, in tokens a second.
	held int
	// silent tells that the reports of the first router are lost.
	silent bool
}

func newRound(routers int) *round {
	r := &round{list: make([]*Sharer, routers), held: 300_000}
	for i := range r.list {
		r.list[i] = New()
		r.list[i].SetCapacity(4_000_000)
	}
	return r
}

// play plays one second in which a workspace asks routers for rates, in tokens a
// second, and returns what it was given.
func (r *round) play(sec int, rates map[int]int) int {
	const steps, size = 100, 400
	given := 0
	for step := 0; step < steps; step++ {
		now := second + identifier.Instant(sec*steps+step)*second/steps
		r.list[0].RecordRequest(now, "held", 8_000_000/steps)
		r.list[0].RecordDispatch(now, "held", r.held/steps)
		for at, rate := range rates {
			given += r.ask(now, r.list[at], rate/steps/size, size, step)
		}
		if (sec*steps+step)%30 == 0 {
			tell(now, r.list, r.late)
			r.late = owns(now, r.list)
			if r.silent {
				r.late[0] = nil
			}
		}
	}
	return given
}

// ask plays n requests at one router, and returns what they were given.
func (r *round) ask(now identifier.Instant, s *Sharer, n, size, salt int) int {
	given := 0
	for i := 0; i < n; i++ {
		s.RecordRequest(now, "wide", size)
		if draw := float64((salt*n+i)*7919%1009) / 1009; draw < s.AdmissionRatio(now, "wide") {
			s.RecordDispatch(now, "wide", size)
			given += size
		}
	}
	return given
}

// owns returns what each router has seen.
func owns(now identifier.Instant, list []*Sharer) []map[identifier.Workspace]Rates {
	rates := make([]map[identifier.Workspace]Rates, len(list))
	for i, s := range list {
		rates[i] = s.LocalRates(now)
	}
	return rates
}

// tell tells each router what the others had seen one round before.
func tell(now identifier.Instant, list []*Sharer, late []map[identifier.Workspace]Rates) {
	sum := map[identifier.Workspace]Rates{}
	for _, rates := range late {
		for w, r := range rates {
			sum[w] = sum[w].AddSigned(r, 1)
		}
	}
	for i, s := range list {
		others := map[identifier.Workspace]Rates{}
		for w, r := range sum {
			others[w] = r
			if late != nil {
				others[w] = r.AddSigned(late[i][w], -1)
			}
		}
		s.SetPeerRates(now, others)
	}
}
