package agent

import (
	"sync"

	"buckthorndrum/configurator"
	"buckthorndrum/counter"
	"buckthorndrum/identifier"
	"buckthorndrum/keeper"
	"buckthorndrum/linker"
	"buckthorndrum/permitter"
	"buckthorndrum/placer"
	"buckthorndrum/scheduler"
)

// state is the agent's blackboard. All fields are guarded by mu.
type state struct {
	mu      sync.Mutex
	adopter *configurator.Adopter
	table   *counter.Table
	sched   *scheduler.Scheduler
	keys    *keeper.Keeper
	records map[identifier.Request]*record
	routers map[identifier.Router]*linker.Link
	peers   map[identifier.Target]*peer
	// chosenPeers are the peers to exchange counters with, chosen once for each
	// configuration.
	chosenPeers []configurator.Target
	pool        identifier.Pool
	// placer is nil if the engine is left with what it has loaded.
	placer *placer.Placer
	// stopping tells that the agent shuts down. It is never unset.
	stopping bool
	// configLeaving tells that the configuration wants the target to leave.
	configLeaving bool
	// admission is what the target has said of the work that it wants.
	admission permitter.AdmissionState
	// resyncCount counts the peers that were told everything again.
	resyncCount int
	// reportedFull tells that the routers were last told that there is no room.
	reportedFull bool
	// configured tells that the target stands in the configuration in force.
	configured bool
}

// peer is another agent that exchanges counters with this one.
type peer struct {
	// link is nil while the peer is being dialled.
	link *linker.Link
	// cursor is how far the peer has been told of the counters.
	cursor counter.Cursor
	// complete tells that the peer has told everything that it knows.
	complete bool
	// wantsRelay tells that the peer wants rows of other origins.
	wantsRelay bool
	// requestedRelay is what the peer was last requestedRelay of this agent's own wish for them.
	requestedRelay bool
}

// leaving tells that the target takes no new work.
func (s *state) leaving() bool {
	return s.stopping || s.configLeaving || s.admission.LeavingSince() != 0
}

func newState(self identifier.Origin) *state {
	table := counter.New(counter.Config{Self: self})
	return &state{
		adopter: configurator.NewAdopter(),
		table:   table,
		sched:   scheduler.New(scheduler.Config{Self: self, Slots: 1}, table),
		keys:    keeper.New(),
		records: map[identifier.Request]*record{},
		routers: map[identifier.Router]*linker.Link{},
		peers:   map[identifier.Target]*peer{},
	}
}
