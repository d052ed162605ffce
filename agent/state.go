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

// board is the agent's blackboard. All fields are guarded by mu.
type board struct {
	mu      sync.Mutex
	adopter *configurator.Adopter
	table   *counter.Table
	sched   *scheduler.Scheduler
	keys    *keeper.Keeper
	records map[identifier.Request]*record
	routers map[identifier.Router]*linker.Link
	peers   map[identifier.Target]*peer
	// wanted are the peers to exchange counters with, chosen once for each
	// configuration.
	wanted []configurator.Target
	pool   identifier.Pool
	// placer is nil if the engine is left with what it has loaded.
	placer *placer.Placer
	// stopping tells that the agent shuts down. It is never unset.
	stopping bool
	// retired tells that the configuration wants the target to leave.
	retired bool
	// permit is what the target has said of the work that it wants.
	permit permitter.AdmissionState
	// turn counts the peers that were told everything again.
	turn int
	// toldFull tells that the routers were last told that there is no room.
	toldFull bool
	// configured tells that the target stands in the configuration in force.
	configured bool
}

// peer is another agent that exchanges counters with this one.
type peer struct {
	// link is nil while the peer is being dialled.
	link *linker.Link
	// cursor is how far the peer has been told of the counters.
	cursor counter.Cursor
	// caught tells that the peer has told everything that it knows.
	caught bool
	// relay tells that the peer wants rows of other origins.
	relay bool
	// told is what the peer was last told of this agent's own wish for them.
	told bool
}

// leaving tells that the target takes no new work.
func (b *board) leaving() bool {
	return b.stopping || b.retired || b.permit.LeavingSince() != 0
}

func newBoard(self identifier.Origin) *board {
	table := counter.New(counter.Config{Self: self})
	return &board{
		adopter: configurator.NewAdopter(),
		table:   table,
		sched:   scheduler.New(scheduler.Config{Self: self, Slots: 1}, table),
		keys:    keeper.New(),
		records: map[identifier.Request]*record{},
		routers: map[identifier.Router]*linker.Link{},
		peers:   map[identifier.Target]*peer{},
	}
}
