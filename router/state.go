package router

import (
	"sync"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/isolator"
	"buckthorndrum/linker"
	"buckthorndrum/placer"
	"buckthorndrum/queuer"
	"buckthorndrum/retrier"
	"buckthorndrum/scheduler"
)

// state is the changing state of a router. mu guards all fields.
type state struct {
	mu      sync.Mutex
	adopter *configurator.Adopter
	queues  *queuer.Queuer
	// calls are the requests whose callers wait for an answer at this router.
	calls  map[identifier.Request]*call
	agents map[identifier.Target]*agentState
	// wanted are the agents to link to, chosen once for each configuration.
	wanted []configurator.Target
	budget *retrier.Budget
	// isolator holds what agents tell of crashes and prompt prefixes.
	isolator *isolator.Isolator
	// serial is the number of the latest request. It only increases.
	serial uint64
	// stopping reports whether the router refuses new requests. Once set, it stays set.
	stopping bool
	members  membership
	// storeOK reports whether the last call to the key-value service succeeded.
	storeOK bool
}

// agentState is what the router knows about one agent.
type agentState struct {
	// link is nil while the agent is being dialled.
	link    *linker.Link
	address string
	origin  identifier.Origin
	pool    identifier.Pool
	load    scheduler.Load
	leaving bool
	// placement is what the engine serves, nil if the choice is left to the engine.
	placement *placer.Report
	// served are the kinds of which the agent takes work with this placement, nil for all.
	served map[identifier.Kind]bool
}

func newState(cfg queuer.Config) *state {
	return &state{
		adopter: configurator.NewAdopter(),
		queues:  queuer.New(cfg),
		calls:   map[identifier.Request]*call{},
		agents:  map[identifier.Target]*agentState{},
		budget:  retrier.New(0),
		members: newMembership(),

		isolator: isolator.New(),
	}
}
