package agent

import (
	"sync"

	"buckthorndrum/configurator"
	"buckthorndrum/counter"
	"buckthorndrum/identifier"
	"buckthorndrum/isolator"
	"buckthorndrum/keeper"
	"buckthorndrum/linker"
	"buckthorndrum/permitter"
	"buckthorndrum/placer"
	"buckthorndrum/scheduler"
)

// state is the shared state of an agent. All fields are guarded by mu.
type state struct {
	mu      sync.Mutex
	adopter *configurator.Adopter
	table   *counter.Table
	sched   *scheduler.Scheduler
	keys    *keeper.KeyTable
	records map[identifier.Request]*record
	routers map[identifier.Router]*linker.Link
	peers   map[identifier.Target]*peer
	// chosenPeers are the peers to exchange counters with, chosen once for each
	// configuration.
	chosenPeers []configurator.Target
	pool        identifier.Pool
	// placer is nil if the agent does not decide which weights the engine has loaded.
	placer *placer.Placer
	// stopping is whether the agent is shutting down. It is never reset.
	stopping bool
	// configLeaving is whether the configuration marks the target as leaving or does not
	// list it.
	configLeaving bool
	// admission is what the target's notices say about whether it takes new work.
	admission permitter.AdmissionState
	// pacing keeps to the rate of requests that the target names. malformedLimit is
	// whether its last response named one that could not be parsed.
	pacing         permitter.Pacing
	malformedLimit bool
	// isolator holds what is known of crashes and prompt prefixes, and crashes is how often
	// the target has crashed.
	isolator *isolator.Isolator
	crashes  uint64
	// resyncCount is how many times a peer was made to receive all counter rows again.
	resyncCount int
	// reportedFull is whether the last load sent to the routers had no free slot.
	reportedFull bool
	// configured is whether the configuration in force lists the target.
	configured bool
}

// peer is another agent that exchanges counters with this one.
type peer struct {
	// link is nil while the peer is being dialled.
	link *linker.Link
	// cursor is the position in the counter table up to which rows were sent to the peer.
	cursor counter.Cursor
	// complete is whether the peer has sent all the rows that it has.
	complete bool
	// wantsRelay is whether the peer asks for rows of other origins.
	wantsRelay bool
	// requestedRelay is whether this agent last asked the peer for rows of other origins.
	requestedRelay bool
}

// leaving reports whether the target takes no new work: the agent is shutting down, the
// configuration marks the target as leaving or does not list it, or the target has given
// notice that it is leaving.
func (s *state) leaving() bool {
	return s.stopping || s.configLeaving || s.admission.LeavingSince() != 0
}

// newState returns the state of a new agent, with one slot until there is a
// configuration.
func newState(self identifier.Origin) *state {
	table := counter.New(counter.Config{Self: self})
	return &state{
		adopter: configurator.NewAdopter(),
		table:   table,
		sched:   scheduler.New(scheduler.Config{Self: self, Slots: 1}, table),
		keys:    keeper.New(),

		isolator: isolator.New(),
		records:  map[identifier.Request]*record{},
		routers:  map[identifier.Router]*linker.Link{},
		peers:    map[identifier.Target]*peer{},
	}
}
