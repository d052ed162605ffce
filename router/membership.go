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
	// listEvery is how often the instance list is read.
	listEvery = 5 * time.Second
	// maxWatchers is how many routers watch the configuration in the key-value
	// service. The others learn of changes over the links.
	maxWatchers = 8
)

// membership is what a router takes from the platform's instance list. The list
// lags, so that it only saves calls and offers: nothing that must hold depends
// on it.
type membership struct {
	// routers is how many routers are listed, at least 1.
	routers int
	// watches tells that this router watches the configuration.
	watches bool
	// addresses are where the listed routers take callers' calls.
	addresses map[identifier.Router]string
	// leaving are the targets whose instances are leaving.
	leaving map[identifier.Target]bool
}

// newMembership is what holds while there is no list: this router is on its own.
func newMembership() membership { return membership{routers: 1, watches: true} }

// readMembership works out what a list means for router self. A router that is
// not on the list, or not yet, watches for itself.
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
	m.watches = !listed || among(string(self), names, maxWatchers)
	return m
}

// among tells whether self is one of the first n names in the order of a hash.
func among(self string, names []string, n int) bool {
	sort.Slice(names, func(i, j int) bool { return xxhash.Sum64String(names[i]) < xxhash.Sum64String(names[j]) })
	for i := 0; i < len(names) && i < n; i++ {
		if names[i] == self {
			return true
		}
	}
	return false
}

// followList reads the instance list until the router stops.
func (r *Router) followList() {
	ticks := time.NewTicker(listEvery)
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

func (r *Router) setMembership(m membership) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	r.board.members = m
	if s := r.board.adopter.Current(); s != nil {
		r.limitClaims(s)
	}
	for t, a := range r.board.agents {
		r.place(t, a)
	}
}

// limitClaims gives this router its part of the fleet's claims. The caller holds
// the lock.
func (r *Router) limitClaims(s *configurator.Snapshot) {
	part := s.Document.Limits.ClaimsPerSecond / float64(r.board.members.routers)
	r.claims.SetLimit(rate.Limit(part))
	r.claims.SetBurst(int(part) + 1)
}

// watches tells whether this router has to ask the key-value service: it is one
// of the watchers, or it has no configuration yet.
func (r *Router) watches() bool {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	return r.board.members.watches || r.board.adopter.Current() == nil
}
