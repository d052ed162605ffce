package router

import (
	"sync"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/linker"
	"buckthorndrum/placer"
	"buckthorndrum/queuer"
	"buckthorndrum/retrier"
	"buckthorndrum/scheduler"
)

// state is the router's blackboard. All fields are guarded by mu.
type state struct {
	mu      sync.Mutex
	adopter *configurator.Adopter
	queues  *queuer.Queuer
	// calls are the requests whose callers wait here.
	calls  map[identifier.Request]*call
	agents map[identifier.Target]*agentState
	// wanted are the agents to be linked to, chosen once for each configuration.
	wanted []configurator.Target
	budget *retrier.Budget
	// serial numbers the requests. It only rises.
	serial uint64
	// stopping tells that the router takes no new requests. It is never unset.
	stopping bool
	members  membership
	// storeOK tells that the last call to the key-value service succeeded.
	storeOK bool
}

// agentState is what the router knows of one agent.
type agentState struct {
	// link is nil while the agent is being dialled.
	link    *linker.Link
	address string
	origin  identifier.Origin
	pool    identifier.Pool
	load    scheduler.Load
	leaving bool
	// placement is what the engine serves, nil if that is left to the engine.
	placement *placer.Report
	// served are the kinds that this makes it take work of, nil for all.
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
	}
}
