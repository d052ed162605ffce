package admitter

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// newRegions returns an admitter with n targets, in turn in the regions east and west and in
// one that is not known.
func newRegions(n int) *Admitter {
	targets := coldTargets(n, 0)
	for i := range targets {
		targets[i].Region = []identifier.Region{"east", "west", ""}[i%3]
	}
	a := New()
	a.SetTargets(second, targets)
	return a
}

// Guards against a request that reaches a target in a region that is not allowed or not known,
// whatever its kind: preferred, with a full preferred target, isolated, plain.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	for name, req := range evacuationRequests() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := newRegions(30)
			for seed := range uint64(300) {
				r := req
				r.AllowedRegions = permitter.RegionSet{"east": true}
				r.Seed = seed
				if r.Model != "" {
					r.Segments = testRequest(seed).Segments
				}
				if r.Isolate != 0 {
					r.Isolate = seed + 1
				}
				c := a.Choose(second, r)
				if c.Refused != "" {
					g.Expect(c.Refused).To(Equal(TargetsBusy))
					continue
				}
				g.Expect(a.targets[c.Target].Region).To(BeEquivalentTo("east"))
				a.StartAttempt(second, r, c) // Its load remains, so that targets fill up.
			}
			for _, none := range []permitter.RegionSet{{}, {"north": true}, {"": true}} {
				req.AllowedRegions = none
				c := a.Choose(second, req)
				g.Expect(c.Refused).To(Equal(TargetsDisallowed))
				g.Expect(c.Wait).To(BeNumerically(">", 0))
				g.Expect(a.PoolRefusal(second, Request{Pool: "p", AllowedRegions: none}).Refused).To(Equal(TargetsDisallowed))
			}
		})
	}
}

// Guards against a refusal that names the restriction while allowed targets only pause.
func TestRefusalCountsAllowedTargets(t *testing.T) {
	g := NewWithT(t)
	a := newRegions(3)
	req := testRequest(1)
	req.AllowedRegions = permitter.RegionSet{"west": true}
	attempt := a.StartAttempt(second, req, a.Choose(second, req))
	a.ApplyNotice(second, attempt, TargetNotice{Pause: time.Second}, 0)
	g.Expect(a.Choose(second, req).Refused).To(Equal(TargetsPausing))
	g.Expect(a.Choose(second, testRequest(1)).Refused).To(BeEmpty(), "others have no restriction")
}
