package configurator

import (
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/queuer"
	"buckthorndrum/scheduler"
)

// Snapshot is an accepted document with its revision and with indexes for lookups. It is
// immutable.
type Snapshot struct {
	Revision        identifier.Revision
	Document        Document
	kindByID        map[identifier.Kind]Kind
	poolByID        map[identifier.Pool]Pool
	targetByID      map[identifier.Target]Target
	workspaceByHash map[string]identifier.Workspace
	operatorByHash  map[string]string
}

// NewSnapshot returns the snapshot of document doc, accepted as revision r.
func NewSnapshot(r identifier.Revision, doc Document) *Snapshot {
	s := &Snapshot{
		Revision:        r,
		Document:        doc,
		kindByID:        map[identifier.Kind]Kind{},
		poolByID:        map[identifier.Pool]Pool{},
		targetByID:      map[identifier.Target]Target{},
		workspaceByHash: map[string]identifier.Workspace{},
		operatorByHash:  map[string]string{},
	}
	for _, k := range doc.Kinds {
		s.kindByID[k.ID] = k
	}
	for _, p := range doc.Pools {
		s.poolByID[p.ID] = p
	}
	for _, t := range doc.Targets {
		s.targetByID[t.ID] = t
	}
	for _, w := range doc.Workspaces {
		for _, h := range w.TokenHashes {
			s.workspaceByHash[h] = w.ID
		}
	}
	for _, o := range doc.Operators {
		s.operatorByHash[o.TokenHash] = o.ID
	}
	return s
}

// Kind returns the kind with id k, and whether it exists.
func (s *Snapshot) Kind(k identifier.Kind) (Kind, bool) {
	v, ok := s.kindByID[k]
	return v, ok
}

// Pool returns the pool with id p, and whether it exists.
func (s *Snapshot) Pool(p identifier.Pool) (Pool, bool) {
	v, ok := s.poolByID[p]
	return v, ok
}

// Target returns the target with id t, and whether it exists.
func (s *Snapshot) Target(t identifier.Target) (Target, bool) {
	v, ok := s.targetByID[t]
	return v, ok
}

// WorkspaceOf returns the id of the workspace that has a bearer token with hash h, and
// whether there is one.
func (s *Snapshot) WorkspaceOf(h string) (identifier.Workspace, bool) {
	w, ok := s.workspaceByHash[h]
	return w, ok
}

// OperatorOf returns the id of the operator whose bearer token has hash h, and whether
// there is one.
func (s *Snapshot) OperatorOf(h string) (string, bool) {
	o, ok := s.operatorByHash[h]
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

// SchedulerConfig returns the configuration of the scheduler in target t's agent.
func (s *Snapshot) SchedulerConfig(t Target) scheduler.Config {
	pool := s.poolByID[t.Pool]
	cfg := scheduler.Config{
		Slots:              t.Slots,
		MaxOvercommit:      maxGrantsAhead,
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

// maxGrantsAhead is the number of grants that an agent may issue beyond its free slots, so
// that the next request has already arrived when a slot becomes free.
const maxGrantsAhead = 8
