package forwarder

import (
	"math"
	"net"
	"sort"
	"strings"
	"time"

	"buckthorndrum/acceptor"
	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// Snapshot is one revision of the configuration, indexed for lookups. It is immutable.
type Snapshot struct {
	Revision identifier.Revision
	Limits   Limits
	pools    map[identifier.Pool]Pool
	keys     map[string]identifier.Workspace
	// workspaceRegions holds the restrictions of the workspaces that have one.
	workspaceRegions map[identifier.Workspace]permitter.RegionSet
	// coldRates holds what cold targets of the pools that have such stand.
	coldRates map[identifier.Pool]permitter.ColdRate
	// streamTimeouts holds the longest time limit of the resumable streaming routes of each pool
	// that serves such, noTimeout if one has none.
	streamTimeouts map[identifier.Pool]time.Duration
	// routes holds the routes of each host, the longest path prefix first.
	routes map[string][]*Route
}

// Limits are the limits and rates that apply to all routes.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body, zero for the default.
	MaxBodyBytes int64
	// MaxHeadBytes is the maximum size of a request head in bytes, and HeadTimeout the time
	// in which one must be complete, zero for the defaults.
	MaxHeadBytes int
	HeadTimeout  time.Duration
	// IdleTimeout is how long a caller's connection may be idle, zero for the default.
	IdleTimeout time.Duration
	// TokensPerSecond is the rate that all engines together process, zero if it is not
	// known.
	TokensPerSecond float64
}

// headMargin is added to the maximum size of a head, in bytes, so that no legal head is
// rejected. It is the margin that net/http adds.
const headMargin = 4 << 10

// heads returns the limits of request heads.
func (l Limits) heads() acceptor.HeadLimits {
	heads := acceptor.HeadLimits{Timeout: l.HeadTimeout}
	if l.MaxHeadBytes > 0 {
		heads.MaxBytes = l.MaxHeadBytes + headMargin
	}
	return heads
}

// Route describes how requests for a host and path prefix are served.
type Route struct {
	Kind   identifier.Kind
	Host   string
	Prefix string
	// Repeatable is set if a request may run more than once.
	Repeatable bool
	// Stream is set if the answer is a stream of events.
	Stream bool
	// Resumable is set if another target can continue a stream that was interrupted.
	Resumable bool
	// Public is set if requests need no key.
	Public bool
	// Timeout is the longest time to answer a request, zero for no limit.
	Timeout time.Duration
	// LatencyObjective is the longest time to the first part of the answer at which the
	// answer is on time.
	LatencyObjective time.Duration
	// GapObjective is the longest time between two events of a stream at which the
	// stream is on time.
	GapObjective time.Duration
	// Urgency orders kinds of requests. Zero is the most urgent.
	Urgency int
	// AllowedRegions are the regions in which requests may be processed.
	AllowedRegions permitter.RegionSet
	// MaxRuns is the maximum number of targets that may run one request.
	MaxRuns int
	// Split lists the pools that serve the route, with their weights.
	Split []PoolWeight
}

// PoolWeight is the weight of a pool in a route's traffic split.
type PoolWeight struct {
	Pool   identifier.Pool
	Weight int
}

// Pool is a set of interchangeable targets.
type Pool struct {
	ID identifier.Pool
	// Engine is set if the targets are inference engines, which read prompts.
	Engine bool
	// MemoryTokens is the memory of one engine, in tokens.
	MemoryTokens int
	// EventTokens is the number of tokens of one event of a stream.
	EventTokens int
	// GapObjective is the shortest gap objective of the routes that the pool serves, zero
	// if none has one.
	GapObjective time.Duration
	// Cold is the load that the targets can handle while they are cold.
	Cold permitter.ColdRate
}

// Workspace is a customer with its keys.
type Workspace struct {
	ID   identifier.Workspace
	Keys []string
	// AllowedRegions are the regions in which its requests may be processed.
	AllowedRegions permitter.RegionSet
	// Urgency takes precedence over the urgency of routes. Zero is the most urgent.
	Urgency int
}

// NewSnapshot returns a snapshot of a configuration. It keeps pointers into routes.
func NewSnapshot(r identifier.Revision, l Limits, routes []Route, pools []Pool, workspaces []Workspace) *Snapshot {
	s := &Snapshot{
		Revision:  r,
		Limits:    l,
		pools:     map[identifier.Pool]Pool{},
		keys:      map[string]identifier.Workspace{},
		routes:    map[string][]*Route{},
		coldRates: map[identifier.Pool]permitter.ColdRate{},

		streamTimeouts: map[identifier.Pool]time.Duration{},
	}
	for _, p := range pools {
		s.pools[p.ID] = p
		if p.Cold != (permitter.ColdRate{}) {
			s.coldRates[p.ID] = p.Cold
		}
	}
	s.workspaceRegions = map[identifier.Workspace]permitter.RegionSet{}
	for _, w := range workspaces {
		if w.AllowedRegions != nil {
			s.workspaceRegions[w.ID] = w.AllowedRegions.Intersect(s.workspaceRegions[w.ID])
		}
		for _, k := range w.Keys {
			s.keys[k] = w.ID
		}
	}
	for i := range routes {
		s.addRoute(&routes[i])
		s.addGapObjective(&routes[i])
		s.addStreamTimeout(&routes[i])
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

// addGapObjective applies the gap objective of a route to the pools that serve it.
func (s *Snapshot) addGapObjective(r *Route) {
	for _, w := range r.Split {
		p, known := s.pools[w.Pool]
		if known && w.Weight > 0 && r.GapObjective > 0 && (p.GapObjective == 0 || r.GapObjective < p.GapObjective) {
			p.GapObjective = r.GapObjective
			s.pools[w.Pool] = p
		}
	}
}

// noTimeout stands for the time limit of a route that sets none.
const noTimeout = time.Duration(math.MaxInt64)

// addStreamTimeout applies the time limit of a route to the pools that serve it, if its streams
// may be resumed.
func (s *Snapshot) addStreamTimeout(r *Route) {
	if !r.resumesStreams() {
		return
	}
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = noTimeout
	}
	for _, w := range r.Split {
		if w.Weight > 0 {
			s.streamTimeouts[w.Pool] = max(s.streamTimeouts[w.Pool], timeout)
		}
	}
}

// resumesStreams reports whether the answers are streams of events that may be resumed.
func (r *Route) resumesStreams() bool { return r.Stream && r.Resumable }

// Match returns the route with the longest path prefix that matches a request, or nil.
// The port and case of host are ignored.
func (s *Snapshot) Match(host, path string) *Route {
	for _, r := range s.routes[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalizeHost returns a host name without its port and in lower case.
func normalizeHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// ColdRate returns what cold targets of a pool stand, zero if its targets are never cold.
func (s *Snapshot) ColdRate(id identifier.Pool) permitter.ColdRate { return s.coldRates[id] }

// AllowedRegions returns the regions in which a request of a workspace on a route may be
// processed. w is empty for a public route.
func (s *Snapshot) AllowedRegions(r *Route, w identifier.Workspace) permitter.RegionSet {
	return r.AllowedRegions.Intersect(s.workspaceRegions[w])
}

// WorkspaceOf returns the workspace to which a key belongs, and whether there is one.
func (s *Snapshot) WorkspaceOf(key string) (identifier.Workspace, bool) {
	w, ok := s.keys[key]
	return w, ok && key != ""
}

// pickPool returns the pool for a request, by weight. n is a random number. It reports
// false if the weights add up to nothing.
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
