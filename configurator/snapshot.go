package configurator

import (
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/queuer"
	"buckthorndrum/scheduler"
)

// Snapshot is an accepted document with its revision and the look-ups that the
// processes need. It is immutable.
type Snapshot struct {
	Revision identifier.Revision
	Document Document
	kinds    map[identifier.Kind]Kind
	pools    map[identifier.Pool]Pool
	targets  map[identifier.Target]Target
	tokens   map[string]identifier.Workspace
	admins   map[string]string
}

// NewSnapshot indexes document doc, accepted as revision r.
func NewSnapshot(r identifier.Revision, doc Document) *Snapshot {
	s := &Snapshot{
		Revision: r,
		Document: doc,
		kinds:    map[identifier.Kind]Kind{},
		pools:    map[identifier.Pool]Pool{},
		targets:  map[identifier.Target]Target{},
		tokens:   map[string]identifier.Workspace{},
		admins:   map[string]string{},
	}
	for _, k := range doc.Kinds {
		s.kinds[k.ID] = k
	}
	for _, p := range doc.Pools {
		s.pools[p.ID] = p
	}
	for _, t := range doc.Targets {
		s.targets[t.ID] = t
	}
	for _, w := range doc.Workspaces {
		for _, h := range w.TokenHashes {
			s.tokens[h] = w.ID
		}
	}
	for _, o := range doc.Operators {
		s.admins[o.TokenHash] = o.ID
	}
	return s
}

// Kind returns kind k.
func (s *Snapshot) Kind(k identifier.Kind) (Kind, bool) {
	v, ok := s.kinds[k]
	return v, ok
}

// Pool returns pool p.
func (s *Snapshot) Pool(p identifier.Pool) (Pool, bool) {
	v, ok := s.pools[p]
	return v, ok
}

// Target returns target t.
func (s *Snapshot) Target(t identifier.Target) (Target, bool) {
	v, ok := s.targets[t]
	return v, ok
}

// WorkspaceOf returns the workspace whose token has hash h.
func (s *Snapshot) WorkspaceOf(h string) (identifier.Workspace, bool) {
	w, ok := s.tokens[h]
	return w, ok
}

// OperatorOf returns the operator whose token has hash h.
func (s *Snapshot) OperatorOf(h string) (string, bool) {
	o, ok := s.admins[h]
	return o, ok
}

// QueuerConfig returns the configuration of router r's queues.
func (s *Snapshot) QueuerConfig(r identifier.Router) queuer.Config {
	cfg := queuer.Config{
		Self:               r,
		Kinds:              map[identifier.Kind]queuer.KindRule{},
		MaxBytes:           s.Document.Limits.RouterBytes,
		InitialFanout:      queuer.DefaultInitialFanout,
		FanoutDoublingTime: queuer.DefaultFanoutDoublingTime,
		LongWaitThreshold:  queuer.DefaultLongWaitThreshold,
		BatchDelay:         queuer.DefaultBatchDelay,
	}
	for _, k := range s.Document.Kinds {
		cfg.Kinds[k.ID] = queuer.KindRule{Pool: k.Pool, MaxQueued: k.MaxQueued, MaxQueuedBytes: k.MaxQueuedBytes}
	}
	return cfg
}

// SchedulerConfig returns the configuration of the agent beside target t.
func (s *Snapshot) SchedulerConfig(t Target) scheduler.Config {
	pool := s.pools[t.Pool]
	cfg := scheduler.Config{
		Slots:              t.Slots,
		MaxOvercommit:      maxAhead,
		GrantTTL:           scheduler.DefaultGrantTTL,
		CreditWindow:       pool.CreditWindow,
		BackloggedAfter:    scheduler.DefaultBackloggedAfter,
		IdleAfter:          scheduler.DefaultIdleAfter,
		StallTimeout:       scheduler.DefaultStallTimeout,
		TokenLatencyTarget: time.Duration(pool.TokenTargetMS) * time.Millisecond,
		PreemptInterval:    scheduler.DefaultPreemptInterval,
		Kinds:              map[identifier.Kind]scheduler.KindRule{},
		Weights:            map[identifier.Workspace]float64{},
	}
	for _, k := range s.Document.Kinds {
		if k.Pool == t.Pool {
			cfg.Kinds[k.ID] = scheduler.KindRule{Share: k.Share, Urgency: k.Urgency, Estimate: k.Cost}
		}
	}
	for _, w := range s.Document.Workspaces {
		if w.Weight > 0 && w.Weight != 1 {
			cfg.Weights[w.ID] = w.Weight
		}
	}
	return cfg
}

// maxAhead is how many grants an agent may issue beyond its free slots, so that
// the next request is there when a slot falls free.
const maxAhead = 8
