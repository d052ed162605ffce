package scheduler

import (
	"time"

	"buckthorndrum/counter"
	"buckthorndrum/identifier"
)

// backlogCheckInterval is the time between two checks of which workspaces are
// backlogged.
const backlogCheckInterval = 50 * time.Millisecond

// localityBonus is added to the age of an offer whose prompt prefix the target has
// cached.
const localityBonus = 50 * time.Millisecond

// Grant permits router To to hand over one request of Class.
type Grant struct {
	ID    identifier.Grant
	To    identifier.Router
	Class identifier.Class
}

// Actions are the steps that the caller carries out after an event.
type Actions struct {
	// Grants are to be sent to their routers.
	Grants []Grant
	// Starts are handed-over requests that the target starts or resumes now.
	Starts []identifier.Request
	// Preempts are running requests to cancel at the target. A later entry of Starts
	// resumes them.
	Preempts []identifier.Request
}

// Scheduler holds the scheduling state of one agent. It is not safe for concurrent use.
type Scheduler struct {
	cfg   Config
	table *counter.Table
	flows *flows
	// classes holds only classes with offers or preempted requests.
	classes map[identifier.Class]*class
	// grants are the outstanding grants by number.
	grants map[uint64]*grant
	// lastNumber is the number of the latest grant. It never decreases.
	lastNumber uint64
	// runs are the handed-over requests that have not finished.
	runs map[identifier.Request]*run
	// queued are handed-over requests that wait for a slot, oldest first.
	queued []identifier.Request
	// running is the number of runs that occupy a slot at the target.
	running int
	// scratch is the buffer that candidates reuses.
	scratch []candidate
	// contenders are the workspaces that have work here or had some within
	// Config.IdleAfter.
	contenders map[identifier.Workspace]*contender
	limiter    slotLimiter
	prefixes   *prefixCache
	draining   bool
	// paused reports that no request is started and no grant is issued.
	paused bool
	// servedKinds are the kinds of which the target takes requests; nil means all.
	servedKinds map[identifier.Kind]bool
	// preemptChecked is the time of the latest check for a run to preempt.
	preemptChecked identifier.Instant
	// backlogChecked is the time of the latest check of which workspaces are
	// backlogged, and floor is the lowest level of the backlogged workspaces at that
	// time.
	backlogChecked identifier.Instant
	floor          identifier.Cost
	// unsynced reports that the fleet's counters are not known yet, so that no
	// workspace starts a new period.
	unsynced bool
}

// New returns a scheduler that records the service it gives in table.
func New(cfg Config, table *counter.Table) *Scheduler {
	return &Scheduler{
		cfg:        cfg,
		table:      table,
		flows:      newFlows(cfg),
		classes:    map[identifier.Class]*class{},
		grants:     map[uint64]*grant{},
		runs:       map[identifier.Request]*run{},
		contenders: map[identifier.Workspace]*contender{},
		limiter:    newSlotLimiter(cfg.Slots),
		prefixes:   newPrefixCache(),
	}
}

// Configure replaces the configuration except for Self. Running requests are not
// affected.
func (s *Scheduler) Configure(now identifier.Instant, cfg Config) Actions {
	cfg.Self = s.cfg.Self
	s.cfg = cfg
	s.flows.configure(cfg)
	s.limiter.configure(cfg.Slots)
	for id, c := range s.classes {
		if _, served := cfg.Kinds[id.Kind]; !served && len(c.preempted) == 0 {
			delete(s.classes, id)
		}
	}
	return s.fillSlots(now)
}

// SetDraining stops new grants, or allows them again. Outstanding grants stay valid
// until they expire.
func (s *Scheduler) SetDraining(on bool) { s.draining = on }

// SetPaused stops all starts and grants, or allows them again. When it stops them, it
// revokes the outstanding grants, so that their routers look for other targets.
func (s *Scheduler) SetPaused(on bool) {
	if on && !s.paused {
		s.releaseAllGrants()
	}
	s.paused = on
}

// RevokeGrants revokes all outstanding grants and returns the handed-over requests that
// have not been started. The caller must end these.
func (s *Scheduler) RevokeGrants() []identifier.Request {
	s.releaseAllGrants()
	return append([]identifier.Request(nil), s.queued...)
}

// releaseAllGrants revokes all outstanding grants and refunds their charges.
func (s *Scheduler) releaseAllGrants() {
	for n, g := range s.grants {
		s.releaseGrant(n, g)
	}
}

// Draining reports whether new grants are stopped by SetDraining.
func (s *Scheduler) Draining() bool { return s.draining }

// SetSynced sets whether the fleet's counters are known here. Until they are, no
// workspace starts a new period.
func (s *Scheduler) SetSynced(ok bool) { s.unsynced = !ok }

// ReportBatch records the number of requests that the target reports as running. The
// report lags, so it is compared with the most requests that ran here recently. What
// the report has beyond that is taken for work of others and reduces the usable slots.
func (s *Scheduler) ReportBatch(now identifier.Instant, batch int) Actions {
	s.limiter.recordReport(batch)
	return s.fillSlots(now)
}

// Idle reports whether there is neither an outstanding grant nor an unfinished request.
func (s *Scheduler) Idle() bool { return len(s.grants) == 0 && len(s.runs) == 0 }

// Load returns how many requests run, how many wait here for a slot and how many grants
// are outstanding.
func (s *Scheduler) Load() Load {
	return Load{Running: s.running, Queued: len(s.queued), Granted: len(s.grants), Slots: s.limiter.slots}
}

// Load describes the occupancy of one target, in requests.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	Granted int      `json:"granted"`
	Slots   int      `json:"slots"`
}

// Free returns how many more requests the target could take at once. It is negative
// when more requests run, wait or are granted than there are slots.
func (l Load) Free() int { return l.Slots - l.Running - l.Queued - l.Granted }

// WantsWork reports whether the target has capacity for more grants and no request is
// waiting that could use it.
func (s *Scheduler) WantsWork(now identifier.Instant) bool {
	return !s.draining && !s.paused && s.grantableCount(now) > 0 && len(s.waitingKinds()) == 0
}

// Tick expires grants, updates the backlogged workspaces and the slots, fills free
// slots and preempts at most one run.
func (s *Scheduler) Tick(now identifier.Instant) Actions {
	for n, g := range s.grants {
		if now >= g.expires {
			s.releaseGrant(n, g)
		}
	}
	if now.Sub(s.backlogChecked) >= backlogCheckInterval {
		s.backlogChecked = now
		s.updateBacklogged(now)
	}
	s.limiter.tick(now, s.cfg, s.running)
	acts := s.fillSlots(now)
	s.preempt(now, &acts)
	return acts
}

// fillSlots starts queued requests, and then resumes preempted ones or issues grants
// while there is capacity.
func (s *Scheduler) fillSlots(now identifier.Instant) Actions {
	var acts Actions
	if s.paused {
		return acts
	}
	s.startQueued(now, &acts)
	for s.grantableCount(now) > 0 {
		if !s.serveNext(now, &acts) {
			break
		}
	}
	return acts
}

// grantableCount returns how many more grants may be issued now. It is not positive if
// none may, and zero while the target is stalled.
func (s *Scheduler) grantableCount(now identifier.Instant) int {
	if s.limiter.stalled(now, s.cfg, s.running) {
		return 0
	}
	return s.limiter.usableSlots() + s.limiter.overcommit(s.cfg.MaxOvercommit) - s.running - len(s.queued) - len(s.grants)
}
