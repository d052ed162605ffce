package starter

import (
	"fmt"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/signer"
)

// Tokens of the local fleet. They are no secret: it listens on loopback only.
const (
	// Secret is shared by the processes and makes the first change.
	Secret = "local-fleet-secret"
	// OperatorToken administers the local fleet.
	OperatorToken = "local-operator"
)

// WorkspaceToken returns the bearer token of a workspace of the local fleet.
func WorkspaceToken(w identifier.Workspace) string { return "token-" + string(w) }

// Workspaces returns the workspaces of the local fleet.
func Workspaces() []identifier.Workspace {
	return []identifier.Workspace{"tanta", "mansoura", "zagazig", "karachi", "growers", "collectives"}
}

const (
	engineSlots  = 16
	serviceSlots = 8
	minuteMS     = 60_000
)

// Document returns the configuration of the local fleet for agents at the given
// addresses, the engines' first.
func Document(engines, services []string) configurator.Document {
	doc := configurator.Document{
		Pools: []configurator.Pool{
			{ID: "models", Type: configurator.Engine, Model: model, CreditWindow: 2048, TokenTargetMS: 32},
			{ID: "registry", Type: configurator.Service, CreditWindow: 64},
		},
		Kinds:     kinds(),
		Operators: []configurator.Operator{{ID: "local", TokenHash: signer.HashToken(OperatorToken)}},
		Limits:    configurator.DefaultLimits(),
	}
	for _, w := range Workspaces() {
		doc.Workspaces = append(doc.Workspaces, configurator.Workspace{ID: w, TokenHashes: []string{signer.HashToken(WorkspaceToken(w))}})
	}
	doc.Targets = append(targets("engine", "models", engineSlots, engines), targets("registry", "registry", serviceSlots, services)...)
	return doc
}

func kinds() []configurator.Kind {
	return []configurator.Kind{
		{ID: "draft", Pool: "models", Share: 0.4, Repeatable: true, Cost: 128, MaxTokens: 2048, MaxQueued: 500, MaxQueuedBytes: 16 << 20, DeadlineMS: 2 * minuteMS},
		{ID: "answer", Pool: "models", Share: 0.3, Urgency: 2, Repeatable: true, Cost: 48, MaxTokens: 512, MaxQueued: 500, MaxQueuedBytes: 4 << 20, DeadlineMS: minuteMS},
		{ID: "tag", Pool: "models", Share: 0.1, Urgency: 1, Repeatable: true, Cost: 16, MaxTokens: 128, MaxQueued: 500, MaxQueuedBytes: 4 << 20, DeadlineMS: minuteMS},
		{ID: "ticket", Pool: "registry", Share: 0.6, Urgency: 2, Path: "/tickets", Cost: 1, MaxQueued: 200, MaxQueuedBytes: 1 << 20, DeadlineMS: minuteMS / 2},
		{ID: "status", Pool: "registry", Share: 0.2, Urgency: 1, Repeatable: true, Path: "/status", Cost: 1, MaxQueued: 200, MaxQueuedBytes: 1 << 20, DeadlineMS: minuteMS / 2},
	}
}

func targets(name, pool string, slots int, agents []string) []configurator.Target {
	var ts []configurator.Target
	for i, a := range agents {
		ts = append(ts, configurator.Target{
			ID:         identifier.Target(fmt.Sprintf("%s-%d", name, i+1)),
			Pool:       identifier.Pool(pool),
			Agent:      a,
			DataCentre: dataCentre(i),
			Region:     "local",
			Slots:      slots,
		})
	}
	return ts
}

// dataCentres is how many data centres the local fleet pretends to have.
const dataCentres = 2

func dataCentre(i int) identifier.DataCentre {
	return identifier.DataCentre(fmt.Sprintf("dc%d", i%dataCentres+1))
}
