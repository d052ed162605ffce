package router

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/lister"
	"buckthorndrum/reporter"
)

const (
	// listInterval is how often the instance list is read.
	listInterval = 5 * time.Second
	// maxWatchers is how many routers watch the configuration in the key-value service.
	// The others receive changes over the links.
	maxWatchers = 8
)

// membership is what a router derives from the platform's instance list. The list lags
// behind, so it only serves to save calls and offers. No guarantee depends on it.
type membership struct {
	// routers is the number of live routers in the list, at least 1.
	routers int
	// watchesConfig reports whether this router watches the configuration.
	watchesConfig bool
	// addresses are the addresses of the live routers for callers.
	addresses map[identifier.Router]string
	// leaving are the targets whose agents are leaving.
	leaving map[identifier.Target]bool
}

// newMembership returns the membership while no list was read: this router is alone.
func newMembership() membership { return membership{routers: 1, watchesConfig: true} }

// readMembership derives the membership of router self from a list. A router that is not,
// or not yet, on the list watches the configuration itself.
func readMembership(self identifier.Router, list []lister.Instance) membership {
	m := membership{addresses: map[identifier.Router]string{}, leaving: map[identifier.Target]bool{}}
	var names []string
	listed := false
	for _, i := range list {
		switch {
		case i.Role == lister.Router && i.State == lister.Live:
			names = append(names, i.Name)
			m.addresses[identifier.Router(i.Name)] = i.Address
			listed = listed || i.Name == string(self)
		case i.Role == lister.Agent && i.State == lister.Leaving:
			m.leaving[identifier.Target(i.Name)] = true
		}
	}
	m.routers = max(1, len(names))
	m.watchesConfig = !listed || firstByHash(string(self), names, maxWatchers)
	return m
}

// firstByHash reports whether self is one of the first n names in the order of their
// hashes. It sorts names.
func firstByHash(self string, names []string, n int) bool {
	sort.Slice(names, func(i, j int) bool { return xxhash.Sum64String(names[i]) < xxhash.Sum64String(names[j]) })
	for i := 0; i < len(names) && i < n; i++ {
		if names[i] == self {
			return true
		}
	}
	return false
}

// pollInstances reads the instance list every listInterval until the router stops.
func (r *Router) pollInstances() {
	ticks := time.NewTicker(listInterval)
	defer ticks.Stop()
	for {
		list, err := r.cfg.Instances.List(r.ctx)
		if err != nil {
			r.log.Debug("instance list not read", reporter.Error(err))
		} else {
			r.setMembership(readMembership(r.cfg.Name, list))
		}
		select {
		case <-ticks.C:
		case <-r.ctx.Done():
			return
		}
	}
}

// setMembership replaces the membership, and updates the claim limit and the queues.
func (r *Router) setMembership(m membership) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.state.members = m
	if s := r.state.adopter.Current(); s != nil {
		r.limitClaims(s)
	}
	for t, a := range r.state.agents {
		r.updateInQueues(t, a)
	}
}

// limitClaims sets the claim limit to this router's equal share of the fleet's. The caller
// holds the lock.
func (r *Router) limitClaims(s *configurator.Snapshot) {
	share := s.Document.Limits.ClaimsPerSecond / float64(r.state.members.routers)
	r.claimLimiter.SetLimit(rate.Limit(share))
	r.claimLimiter.SetBurst(int(share) + 1)
}

// shouldWatchConfig reports whether this router reads the configuration from the key-value
// service: it is one of the watchers, or it has no configuration yet.
func (r *Router) shouldWatchConfig() bool {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	return r.state.members.watchesConfig || r.state.adopter.Current() == nil
}
