package forwarder

import (
	"math"
	"sync"

	"buckthorndrum/identifier"
	"buckthorndrum/sharer"
)

const (
	// turnsDecay is what is left of a count of requests after each look.
	turnsDecay = 0.9
	// turnsLeast is the count below which a workspace is forgotten.
	turnsLeast = 0.1
)

// turns shares the requests that a strained router serves max-min among the
// workspaces that come to it, so that one that floods it keeps out itself and not
// those that ask for little.
type turns struct {
	mu sync.Mutex
	// counts holds how many requests have come of late.
	counts map[identifier.Workspace]float64
	// level is how many of them are served of each workspace.
	level float64
}

// note counts a request, and returns the part of its workspace's requests that is
// served.
func (t *turns) note(w identifier.Workspace) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[identifier.Workspace]float64{}
		t.level = math.Inf(1)
	}
	t.counts[w]++
	return min(1, t.level/t.counts[w])
}

// work finds the level at which a part of all requests is served, and lets the
// counts decay.
func (t *turns) work(part float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0.0
	list := make([]float64, 0, len(t.counts))
	for w, n := range t.counts {
		if n < turnsLeast {
			delete(t.counts, w)
			continue
		}
		t.counts[w] = n * turnsDecay
		list = append(list, n*turnsDecay)
		total += n * turnsDecay
	}
	t.level = sharer.MaxMinLevel(list, part*total)
}
