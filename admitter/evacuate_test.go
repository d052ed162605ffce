package admitter

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// newZones returns an admitter with n targets of a pool, alternating between the data
// centres a and b.
func newZones(n int) (*Admitter, []Target) {
	targets := make([]Target, n)
	for i := range targets {
		zone := identifier.DataCentre("a")
		if i%2 == 1 {
			zone = "b"
		}
		targets[i] = Target{ID: identifier.Target(fmt.Sprintf("e%d", i)), Pool: "p", Slots: 8, DataCentre: zone}
	}
	a := New()
	a.SetTargets(second, targets)
	return a, targets
}

// zones returns a set of data centres.
func zones(names ...identifier.DataCentre) map[identifier.DataCentre]bool {
	set := map[identifier.DataCentre]bool{}
	for _, n := range names {
		set[n] = true
	}
	return set
}

// evacuationRequests are requests of each kind that is chosen for differently.
func evacuationRequests() map[string]Request {
	isolated, plain := testRequest(1), testRequest(1)
	isolated.Isolate = 7
	plain.Model, plain.LocalDataCentre = "", "a"
	return map[string]Request{"engine": testRequest(1), "isolated": isolated, "plain": plain}
}

// Guards against a choice that passes over the evacuation, whatever the kind of request, and
// against an evacuation that is lost when the list of targets is replaced.
func TestEvacuatedTargetsAreNotChosen(t *testing.T) {
	for name, req := range evacuationRequests() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, targets := newZones(6)
			a.SetEvacuated(second, zones("a"))
			for seed := range uint64(200) {
				if seed == 100 {
					for i := range targets {
						targets[i].Incarnation++ // A target that starts anew has another state.
					}
					a.SetTargets(second, targets)
				}
				r := req
				r.Seed = seed
				if r.Model != "" {
					r.Segments = testRequest(seed).Segments
				}
				if r.Isolate != 0 {
					r.Isolate = seed + 1
				}
				c := a.Choose(second, r)
				g.Expect(c.Refused).To(BeEmpty())
				g.Expect(a.targets[c.Target].DataCentre).To(BeEquivalentTo("b"))
			}
			a.SetEvacuated(second, zones("a", "b", "unknown"))
			g.Expect(a.Choose(second, req).Refused).To(Equal(TargetsEvacuated))
			a.SetEvacuated(second, nil)
			g.Expect(a.Choose(second, req).Refused).To(BeEmpty(), "the evacuations have ended")
		})
	}
}

// Guards against an evacuation that moves the shared prefixes of targets which stay.
func TestEvacuationKeepsPrefixesOfOthers(t *testing.T) {
	g := NewWithT(t)
	a, _ := newZones(40)
	before := map[uint64]identifier.Target{}
	for prefix := range uint64(300) {
		before[prefix] = a.Choose(second, testRequest(prefix)).Target
	}
	a.SetEvacuated(second, zones("a"))
	for prefix, target := range before {
		if a.targets[target].DataCentre == "b" {
			g.Expect(a.Choose(second, testRequest(prefix)).Target).To(Equal(target))
		}
	}
	a.SetEvacuated(second, zones())
	for prefix, target := range before {
		g.Expect(a.Choose(second, testRequest(prefix)).Target).To(Equal(target), "after the end all are as before")
	}
}

// Guards against a request that is sent although its target was evacuated after it had been
// chosen.
func TestEvacuationIsCheckedBeforeFirstByte(t *testing.T) {
	g := NewWithT(t)
	a, _ := newZones(1)
	attempt := a.StartAttempt(second, testRequest(1), a.Choose(second, testRequest(1)))
	g.Expect(a.RecheckAdmission(second, attempt).Open()).To(BeTrue())
	a.SetEvacuated(second, zones("a"))
	g.Expect(a.RecheckAdmission(second, attempt).Reason).To(Equal(permitter.Evacuated))
	g.Expect(a.CountUnavailable(second)).To(Equal(map[permitter.Reason]int{permitter.Evacuated: 1}))
	g.Expect(a.LeavingReports(second)).To(BeEmpty(), "others are told nothing: each router reads the store")
}

// Guards against a refusal that hides what callers may wait for: the end of a pause is known,
// that of an evacuation is not.
func TestRefusalOfEvacuatedAndPausingTargets(t *testing.T) {
	g := NewWithT(t)
	a, _ := newZones(2)
	a.SetEvacuated(second, zones("b"))
	attempt := a.StartAttempt(second, testRequest(1), Choice{Target: "e0"})
	a.ApplyNotice(second, attempt, TargetNotice{Pause: permitter.DefaultPause}, 0)
	g.Expect(a.Choose(second, testRequest(1)).Refused).To(Equal(TargetsPausing))
	a.ApplyNotice(second, attempt, TargetNotice{Leaving: true}, 0)
	g.Expect(a.Choose(second, testRequest(1)).Refused).To(Equal(TargetsEvacuated))
}

// Guards against a share of capacity that counts other pools, or divides by nothing.
func TestAvailableSlots(t *testing.T) {
	g := NewWithT(t)
	a, targets := newZones(4)
	targets[1].Slots = 16
	targets = append(targets, Target{ID: "plain", Pool: "other", Slots: 100, DataCentre: "b"})
	a.SetTargets(second, targets)
	isPool := func(p identifier.Pool) bool { return p == "p" }
	g.Expect(a.AvailableSlots(isPool)).To(Equal(1.0))
	a.SetEvacuated(second, zones("b"))
	g.Expect(a.AvailableSlots(isPool)).To(Equal(0.4))
	a.SetEvacuated(second, zones("a", "b"))
	g.Expect(a.AvailableSlots(isPool)).To(Equal(0.0))
	g.Expect(a.AvailableSlots(func(identifier.Pool) bool { return false })).To(Equal(1.0))
}
