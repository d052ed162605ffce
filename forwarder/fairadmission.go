package forwarder

import (
	"math"
	"sync"

	"buckthorndrum/identifier"
	"buckthorndrum/sharer"
)

const (
	// countDecay is the factor by which the counts of requests shrink at each update.
	countDecay = 0.9
	// minCount is the count below which a workspace is forgotten.
	minCount = 0.1
)

// fairAdmission divides the requests that an overloaded router serves among the
// workspaces that send to it, by max-min fairness, so that a workspace that floods the
// router is shed itself and those that ask for little are not.
type fairAdmission struct {
	mu sync.Mutex
	// counts holds the number of recent requests of each workspace, with decay.
	counts map[identifier.Workspace]float64
	// level is the number of recent requests up to which those of a workspace are
	// served.
	level float64
}

// addRequest counts a request and returns the fraction of its workspace's requests that
// is served.
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

// update decays the counts and sets the level at which the fraction ratio of all
// requests is served.
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
	a.level = sharer.MaxMinLevel(counts, ratio*total)
}
