package admitter

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
)

// newSoftware returns an admitter with n targets, of which every third has software 2.
func newSoftware(n int) *Admitter {
	targets := coldTargets(n, 0)
	for i := range targets {
		targets[i].Software = "1"
		if i%3 == 0 {
			targets[i].Software = "2"
		}
	}
	a := New()
	a.SetTargets(second, targets)
	return a
}

// Guards against a pinned request that reaches a target with other software, whatever its kind
// and the size of the pool: preferred, with a full preferred target, isolated, plain.
func TestPinnedRequestsStayAtTheirSoftware(t *testing.T) {
	for name, req := range evacuationRequests() {
		for _, n := range []int{30, 3 * maxScanned} {
			for _, even := range []bool{false, true} {
				t.Run(name, func(t *testing.T) {
					g := NewWithT(t)
					a := newSoftware(n)
					if even {
						a.EvenOutLoad()
					}
					sent := 0
					for seed := range uint64(600) {
						r := req
						r.Pinned, r.Software, r.Seed = true, "2", seed
						if r.Model != "" {
							r.Segments = testRequest(seed % 200).Segments
						}
						if r.Isolate != 0 {
							r.Isolate = seed + 1
						}
						c := a.Choose(second, r)
						if c.Refused != "" {
							g.Expect(c.Refused).To(Equal(TargetsBusy))
							continue
						}
						sent++
						g.Expect(a.targets[c.Target].Software).To(BeEquivalentTo("2"))
						a.StartAttempt(second, r, c)
					}
					g.Expect(sent).To(BeNumerically(">", 10))
				})
			}
		}
	}
}

// Guards against a refusal of a pinned request that does not name the cause, and against one
// that is kept for others.
func TestPinnedRequestWithoutTargetIsRefused(t *testing.T) {
	for name, req := range evacuationRequests() {
		for _, n := range []int{3, 3 * maxScanned} {
			t.Run(name, func(t *testing.T) {
				g := NewWithT(t)
				a := newSoftware(n)
				pinned := req
				pinned.Pinned, pinned.Software = true, "3"
				c := a.Choose(second, pinned)
				g.Expect(c.Refused).To(Equal(SoftwareUnavailable))
				g.Expect(c.Wait).To(BeNumerically(">", 0))
				g.Expect(a.PoolRefusal(second, pinned).Refused).To(Equal(SoftwareUnavailable))
				g.Expect(a.Choose(second, req).Refused).To(BeEmpty())
				pinned.Software = "2"
				g.Expect(a.Choose(second, pinned).Refused).To(BeEmpty())
				for id := range a.targets {
					if a.targets[id].Software == "2" {
						pinned.Exclude = append(pinned.Exclude, id)
					}
				}
				if pinned.Isolate == 0 {
					g.Expect(a.Choose(second, pinned).Refused).To(Equal(SoftwareUnavailable), "the others were tried")
				}
				pinned.Pool = "unknown"
				g.Expect(a.Choose(second, pinned).Refused).To(Equal(NoTarget))
			})
		}
	}
}

// Guards against requests that are worse off in a pool of one version for being pinned to it: its
// targets are looked at one by one, or the refusal is another.
func TestPinChangesNothingInPoolOfOneVersion(t *testing.T) {
	g := NewWithT(t)
	targets := coldTargets(3*maxScanned, 0)
	for i := range targets {
		targets[i].Software = "1"
	}
	a := New()
	a.SetTargets(second, targets)
	pinned, other := Request{Pool: "p", Pinned: true, Software: "1"}, Request{Pool: "p", Pinned: true, Software: "2"}
	a.Choose(second, pinned)
	p := a.pools["p"]
	g.Expect(len(p.scanned(&pinned))).To(Equal(maxScanned))
	g.Expect(len(p.scanned(&other))).To(Equal(len(targets)))
	for i := range targets {
		targets[i].Leaving = true
	}
	a.SetTargets(second, targets)
	g.Expect(a.Choose(second, pinned).Refused).To(Equal(NoTarget))
	g.Expect(a.Choose(second, other).Refused).To(Equal(SoftwareUnavailable))
}

// Guards against a refusal that names the software while a target that has it only pauses.
func TestRefusalOfPinnedRequestCountsItsSoftware(t *testing.T) {
	g := NewWithT(t)
	a := newSoftware(3)
	req := testRequest(1)
	req.Pinned, req.Software = true, "2"
	attempt := a.StartAttempt(second, req, a.Choose(second, req))
	a.ApplyNotice(second, attempt, TargetNotice{Pause: time.Second}, 0)
	g.Expect(a.Choose(second, req).Refused).To(Equal(TargetsPausing))
	g.Expect(a.Choose(second, testRequest(1)).Refused).To(BeEmpty(), "others are not pinned")
}

func TestSlotsOfSoftware(t *testing.T) {
	g := NewWithT(t)
	a := New()
	a.SetTargets(second, []Target{
		{ID: "a", Pool: "p", Slots: 4, Software: "1"}, {ID: "b", Pool: "p", Slots: 3, Software: "1"},
		{ID: "c", Pool: "p", Software: "2"}, {ID: "d", Pool: "p", Slots: 8, Software: "3", Leaving: true},
		{ID: "e", Pool: "q", Slots: 5, Software: "2"},
	})
	g.Expect(a.SoftwareSlots("p")).To(Equal(map[identifier.Software]int{"1": 7, "2": 1}))
	g.Expect(a.Software("p")).To(Equal(map[identifier.Software]bool{"1": true, "2": true, "3": true}))
	g.Expect(a.SoftwareSlots("none")).To(BeEmpty())
	listed, ok := a.ListedTarget("e")
	g.Expect(ok).To(BeTrue())
	g.Expect(listed.Software).To(BeEquivalentTo("2"))
}
