package forwarder

import (
	"math"
	"sync"

	"buckthorndrum/identifier"
	"buckthorndrum/sharer"
)

const (
	// countDecay is what is left of a count of requests after each look.
	countDecay = 0.9
	// minCount is the count below which a workspace is forgotten.
	minCount = 0.1
)

// fairAdmission shares the requests that a strained router serves max-min among the
// workspaces that come to it, so that one that floods it keeps out itself and not
// those that ask for little.
type fairAdmission struct {
	mu sync.Mutex
	// counts holds how many requests have come of late.
	counts map[identifier.Workspace]float64
	// level is how many of them are served of each workspace.
	level float64
}

// addRequest counts a request, and returns the part of its workspace's requests that is
// served.
func (a *fairAdmission) addRequest(w identifier.Workspace) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counts == nil {
		a.counts = map[identifier.Workspace]float64{}
		a.level = math.Inf(1)
	}
	a.counts[w]++
	return min(1, a.level/a.counts[w])
}

// update finds the level at which a part of all requests is served, and lets the
// counts decay.
func (a *fairAdmission) update(ratio float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := 0.0
	counts := make([]float64, 0, len(a.counts))
	for w, n := range a.counts {
		if n < minCount {
			delete(a.counts, w)
			continue
		}
		a.counts[w] = n * countDecay
		counts = append(counts, n*countDecay)
		total += n * countDecay
	}
	a.level = sharer.Fill(counts, ratio*total)
}
