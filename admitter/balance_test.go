package admitter

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against herding: routers with reports of the same age choose the same few targets
// at the same time, which are overloaded while others are idle. Callers then get late
// answers and refusals, and shared prefixes are read again elsewhere.
func TestLoadIsEvenWithStaleReports(t *testing.T) {
	for _, c := range []struct {
		replay string
		// The bounds are between the figures of the choice that herds and those of the
		// alternatives in docs/design/balancing.md.
		onTime, busiestRequests, again float64
	}{
		{"24x44, full load", 0.4, 1.9, 0.25},
		{"24x44, equal engines", 0.65, 1.4, 0.25},
		{"24x44, overload, shares", 0.38, 1.68, 0.11},
		{"46x53, 600 ms", 0.5, 1.8, 0.2},
		{"46x53, 50 ms", 0.7, 1.7, 0.2},
	} {
		t.Run(c.replay, func(t *testing.T) {
			g := NewWithT(t)
			result := runReplay(replayNamed(c.replay), builtChoice{})
			t.Log(result)
			g.Expect(result.goodShare()).To(BeNumerically(">", c.onTime), "share of requests with a first token in time")
			g.Expect(result.busiestRequests).To(BeNumerically("<", c.busiestRequests), "requests of the busiest engine")
			g.Expect(result.againShare()).To(BeNumerically("<", c.again), "share of the shared tokens that are read again")
		})
	}
}
