package forwarder

import (
	"net"
	"sort"
	"strings"
	"time"

	"buckthorndrum/identifier"
)

// Snapshot is one configuration in force. It does not change.
type Snapshot struct {
	Revision identifier.Revision
	Limits   Limits
	pools    map[identifier.Pool]Pool
	keys     map[string]identifier.Workspace
	// routes are those of each host, the longest prefix first.
	routes map[string][]*Route
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBodyBytes is in bytes, zero for the default.
	MaxBodyBytes int64
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout time.Duration
	// TokensPerSecond is what all engines together produce, zero if not known.
	TokensPerSecond float64
}

// Route says what requests with a host and a path prefix are.
type Route struct {
	Kind   identifier.Kind
	Host   string
	Prefix string
	// Repeatable tells that a request may run more than once.
	Repeatable bool
	// Stream tells that the answer is a series of events.
	Stream bool
	// Resumable tells that a broken stream may go on at another target.
	Resumable bool
	// Public tells that a request needs no key.
	Public bool
	// Timeout is the longest that a caller is kept waiting, zero for no limit.
	Timeout time.Duration
	// LatencyObjective is the time to the first part of the answer at which it is on time.
	LatencyObjective time.Duration
	// GapObjective is the longest between two events of a stream at which it is on time.
	GapObjective time.Duration
	// Urgency orders kinds, zero first.
	Urgency int
	// MaxRuns is the most targets that one request may run at.
	MaxRuns int
	// Split says which pools serve it, and with what weight.
	Split []PoolWeight
}

// PoolWeight is a pool's part of a route's requests.
type PoolWeight struct {
	Pool   identifier.Pool
	Weight int
}

// Pool is a set of targets that can stand in for one another.
type Pool struct {
	ID identifier.Pool
	// Engine tells that its targets read prompts.
	Engine bool
	// MemoryTokens is an engine's, in tokens.
	MemoryTokens int
}

// Workspace is a customer with its keys.
type Workspace struct {
	ID   identifier.Workspace
	Keys []string
	// Urgency goes before that of routes, zero first.
	Urgency int
}

// NewSnapshot indexes a configuration.
func NewSnapshot(r identifier.Revision, l Limits, routes []Route, pools []Pool, workspaces []Workspace) *Snapshot {
	s := &Snapshot{
		Revision: r,
		Limits:   l,
		pools:    map[identifier.Pool]Pool{},
		keys:     map[string]identifier.Workspace{},
		routes:   map[string][]*Route{},
	}
	for _, p := range pools {
		s.pools[p.ID] = p
	}
	for _, w := range workspaces {
		for _, k := range w.Keys {
			s.keys[k] = w.ID
		}
	}
	for i := range routes {
		s.addRoute(&routes[i])
	}
	for _, list := range s.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return s
}

func (s *Snapshot) addRoute(r *Route) {
	host := normalizeHost(r.Host)
	s.routes[host] = append(s.routes[host], r)
}

// Match returns the route of a request, or nil.
func (s *Snapshot) Match(host, path string) *Route {
	for _, r := range s.routes[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalizeHost returns a host name without port and in lower case.
func normalizeHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// WorkspaceOf returns the workspace that holds a key.
func (s *Snapshot) WorkspaceOf(key string) (identifier.Workspace, bool) {
	w, ok := s.keys[key]
	return w, ok && key != ""
}

// pickPool returns the pool for a request, by weight; n is a random number.
func (r *Route) pickPool(n uint64) (identifier.Pool, bool) {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return "", false
	}
	at := int(n % uint64(total))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Pool, true
		}
		at -= s.Weight
	}
	return "", false
}
