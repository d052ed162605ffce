package sharer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
)

// Most workspaces send few and large requests, so that chance gives now one and now
// another less than half of what it requests. This throttles nobody: otherwise the
// workspaces would throttle each other until next to nothing is sent. Under a flood from
// two workspaces the engines started a twentieth of what they can.
func TestRandomShortfallThrottlesNobody(t *testing.T) {
	g := NewWithT(t)
	const routers, workspaces, size, capacity = 40, 30, 12_000, 2_000_000
	rng := rand.New(rand.NewPCG(5, 6))
	list := make([]*Sharer, routers)
	for i := range list {
		list[i] = New()
		list[i].SetCapacity(capacity)
	}
	var previous []map[identifier.Workspace]Rates
	requested, dispatched := map[int]int{}, map[int]int{}
	for step := 0; step < 2000; step++ {
		now := second + identifier.Instant(step)*second/100
		// One workspace floods a router that is short of processor time.
		list[0].RecordRequest(now, "flood", 10*size)
		if step%15 == 0 {
			list[0].RecordDispatch(now, "flood", size)
		}
		for w := range workspaces {
			// The workspaces send from two to ten requests per second.
			if rng.IntN(100*workspaces) >= workspaces*2+8*w {
				continue
			}
			id, router := identifier.Workspace(fmt.Sprint(w)), list[rng.IntN(routers)]
			router.RecordRequest(now, id, size)
			requested[step/100] += size
			// The targets have no room for a third of them.
			if rng.Float64() < router.AdmissionRatio(now, id) && rng.IntN(3) > 0 {
				router.RecordDispatch(now, id, size)
				dispatched[step/100] += size
			}
		}
		if step%15 == 0 {
			exchange(now, list, previous)
			previous = localRates(now, list)
		}
	}
	t.Log(requested, dispatched)
	for sec := 5; sec < 20; sec++ {
		g.Expect(dispatched[sec]).To(BeNumerically(">", requested[sec]/3), "second %d: %v of %v", sec, dispatched, requested)
	}
}
