package scheduler

import (
	"time"

	"buckthorndrum/counter"
	"buckthorndrum/identifier"
)

// backlogCheckInterval is how often it is looked at which workspaces are backlogged.
const backlogCheckInterval = 50 * time.Millisecond

// localityBonus is how much older a request counts whose prefix is held.
const localityBonus = 50 * time.Millisecond

// Grant permits router To to hand over one request of Class.
type Grant struct {
	ID    identifier.Grant
	To    identifier.Router
	Class identifier.Class
}

// Actions is what the caller carries out after an event.
type Actions struct {
	// Grants are sent to their routers.
	Grants []Grant
	// Starts are handed-over requests that the target starts or resumes now.
	Starts []identifier.Request
	// Preempts are running requests to cancel at the target. They are resumed
	// by a later start.
	Preempts []identifier.Request
}

// Scheduler is the state of one agent's decisions. It is not safe for
// concurrent use.
type Scheduler struct {
	cfg   Config
	table *counter.Table
	flows *flows
	// classes holds only classes with offers or parked requests.
	classes map[identifier.Class]*class
	// grants are the outstanding grants by number.
	grants map[uint64]*grant
	// lastNumber is the last grant lastNumber issued. It only rises.
	lastNumber uint64
	// runs are the handed-over requests that have not ended.
	runs map[identifier.Request]*run
	// queued are handed-over requests that wait for a slot, the oldest first.
	queued []identifier.Request
	// running is how many runs are at the target, at most the slots.
	running int
	// scratch is reused by ranked.
	scratch []candidate
	// contenders are the workspaces that have work here or had it lately.
	contenders map[identifier.Workspace]*contender
	limiter    slotLimiter
	prefixes   *prefixCache
	draining   bool
	// paused tells that nothing is started and no grant issued for now.
	paused bool
	// servedKinds are the kinds that the target takes work of, nil for all.
	servedKinds map[identifier.Kind]bool
	// preemptChecked is when a preemption was last looked for.
	preemptChecked identifier.Instant
	// backlogChecked is when levels were last looked at, and floor what the lowest
	// level of the backlogged workspaces was then.
	backlogChecked identifier.Instant
	floor          identifier.Cost
	// unsynced tells that levels are not known yet, so that no period is started.
	unsynced bool
}

// New returns a scheduler that counts service in table.
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

// Configure replaces the configuration. Running work is left alone.
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

// SetDraining stops all further grants, or allows them again. Grants that are
// outstanding stay valid until they expire.
func (s *Scheduler) SetDraining(on bool) { s.draining = on }

// SetPaused stops all starts and grants, or allows them again. What was granted before is
// void, so that its routers look for other targets.
func (s *Scheduler) SetPaused(on bool) {
	if on && !s.paused {
		s.releaseAllGrants()
	}
	s.paused = on
}

// RevokeGrants takes back all grants, and returns the requests that were handed over and have
// not been started. These are the caller's to end.
func (s *Scheduler) RevokeGrants() []identifier.Request {
	s.releaseAllGrants()
	return append([]identifier.Request(nil), s.queued...)
}

// releaseAllGrants takes back all grants.
func (s *Scheduler) releaseAllGrants() {
	for n, g := range s.grants {
		s.releaseGrant(n, g)
	}
}

// Draining tells whether grants are stopped.
func (s *Scheduler) Draining() bool { return s.draining }

// SetSynced tells whether the fleet's counters are known here. Until they are,
// no workspace's period is started anew.
func (s *Scheduler) SetSynced(ok bool) { s.unsynced = !ok }

// ReportBatch notes how many requests the target says that it runs. The report
// lags, so it is compared with the most that ran here lately; what is beyond
// that is somebody else's work, and takes slots away.
func (s *Scheduler) ReportBatch(now identifier.Instant, batch int) Actions {
	s.limiter.recordReport(batch)
	return s.fillSlots(now)
}

// Idle tells whether no grant is outstanding and no request is in hand.
func (s *Scheduler) Idle() bool { return len(s.grants) == 0 && len(s.runs) == 0 }

// Load returns how many requests run, wait here and may still be handed over.
func (s *Scheduler) Load() Load {
	return Load{Running: s.running, Queued: len(s.queued), Granted: len(s.grants), Slots: s.limiter.slots}
}

// Load is a summary of one target's occupancy, in requests.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	Granted int      `json:"granted"`
	Slots   int      `json:"slots"`
}

// Free returns how many more requests could be taken at once.
func (l Load) Free() int { return l.Slots - l.Running - l.Queued - l.Granted }

// WantsWork tells that the target has room and nothing is offered to fill it.
func (s *Scheduler) WantsWork(now identifier.Instant) bool {
	return !s.draining && !s.paused && s.grantableCount(now) > 0 && len(s.waitingKinds()) == 0
}

// Tick expires grants and fills the room that they leave.
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

// fillSlots starts queued work and issues grants while there is room.
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

func (s *Scheduler) grantableCount(now identifier.Instant) int {
	if s.limiter.stalled(now, s.cfg, s.running) {
		return 0
	}
	return s.limiter.usableSlots() + s.limiter.overcommit(s.cfg.MaxOvercommit) - s.running - len(s.queued) - len(s.grants)
}
