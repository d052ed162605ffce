package scheduler

import (
	"time"

	"buckthorndrum/counter"
	"buckthorndrum/identifier"
)

// establishEvery is how often it is looked at which workspaces are backlogged.
const establishEvery = 50 * time.Millisecond

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
	lanes *lanes
	// classes holds only classes with offers or parked requests.
	classes map[identifier.Class]*class
	// grants are the outstanding grants by number.
	grants map[uint64]*grant
	// number is the last grant number issued. It only rises.
	number uint64
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
	pace       pace
	prefixes   *prefixes
	draining   bool
	// onHold tells that nothing is started and no grant issued for now.
	onHold bool
	// served are the kinds that the target takes work of, nil for all.
	served map[identifier.Kind]bool
	// preempted is when a preemption was last looked for.
	preempted identifier.Instant
	// established is when levels were last looked at, and floor what the lowest
	// level of the backlogged workspaces was then.
	established identifier.Instant
	floor       identifier.Cost
	// unsynced tells that levels are not known yet, so that no period is started.
	unsynced bool
}

// New returns a scheduler that counts service in table.
func New(cfg Config, table *counter.Table) *Scheduler {
	return &Scheduler{
		cfg:        cfg,
		table:      table,
		lanes:      newLanes(cfg),
		classes:    map[identifier.Class]*class{},
		grants:     map[uint64]*grant{},
		runs:       map[identifier.Request]*run{},
		contenders: map[identifier.Workspace]*contender{},
		pace:       newPace(cfg.Slots),
		prefixes:   newPrefixes(),
	}
}

// Configure replaces the configuration. Running work is left alone.
func (s *Scheduler) Configure(now identifier.Instant, cfg Config) Actions {
	cfg.Self = s.cfg.Self
	s.cfg = cfg
	s.lanes.configure(cfg)
	s.pace.configure(cfg.Slots)
	for id, c := range s.classes {
		if _, served := cfg.Kinds[id.Kind]; !served && len(c.parked) == 0 {
			delete(s.classes, id)
		}
	}
	return s.fill(now)
}

// SetDraining stops all further grants, or allows them again. Grants that are
// outstanding stay valid until they expire.
func (s *Scheduler) SetDraining(on bool) { s.draining = on }

// SetPaused stops all starts and grants, or allows them again. What was granted before is
// void, so that its routers look for other targets.
func (s *Scheduler) SetPaused(on bool) {
	if on && !s.onHold {
		s.void()
	}
	s.onHold = on
}

// RevokeGrants takes back all grants, and returns the requests that were handed over and have
// not been started. These are the caller's to end.
func (s *Scheduler) RevokeGrants() []identifier.Request {
	s.void()
	return append([]identifier.Request(nil), s.queued...)
}

// void takes back all grants.
func (s *Scheduler) void() {
	for n, g := range s.grants {
		s.release(n, g)
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
	s.pace.reported(batch)
	return s.fill(now)
}

// Idle tells whether no grant is outstanding and no request is in hand.
func (s *Scheduler) Idle() bool { return len(s.grants) == 0 && len(s.runs) == 0 }

// Load returns how many requests run, wait here and may still be handed over.
func (s *Scheduler) Load() Load {
	return Load{Running: s.running, Queued: len(s.queued), Granted: len(s.grants), Slots: s.pace.slots}
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
	return !s.draining && !s.onHold && s.room(now) > 0 && len(s.waitingKinds()) == 0
}

// Tick expires grants and fills the room that they leave.
func (s *Scheduler) Tick(now identifier.Instant) Actions {
	for n, g := range s.grants {
		if now >= g.expires {
			s.release(n, g)
		}
	}
	if now.Sub(s.established) >= establishEvery {
		s.established = now
		s.establish(now)
	}
	s.pace.tick(now, s.cfg, s.running)
	acts := s.fill(now)
	s.preempt(now, &acts)
	return acts
}

// fill starts queued work and issues grants while there is room.
func (s *Scheduler) fill(now identifier.Instant) Actions {
	var acts Actions
	if s.onHold {
		return acts
	}
	s.startQueued(now, &acts)
	for s.room(now) > 0 {
		if !s.grantNext(now, &acts) {
			break
		}
	}
	return acts
}

func (s *Scheduler) room(now identifier.Instant) int {
	if s.pace.stuck(now, s.cfg, s.running) {
		return 0
	}
	return s.pace.free() + s.pace.ahead(s.cfg.MaxOvercommit) - s.running - len(s.queued) - len(s.grants)
}
