package measurer

import (
	"time"

	"buckthorndrum/identifier"
)

// Size is the shape of one user's fleet.
type Size struct {
	Name     string
	Routers  int
	Engines  int
	Services int
	// DataCentres is over how many the targets and routers are spread.
	DataCentres int
	// Latency is one-way between data centres.
	Latency    time.Duration
	Workspaces int
}

// Sizes returns the sizes of today's users.
func Sizes() []Size {
	return []Size{
		{Name: "authority", Routers: 200, Engines: 12, Services: 3, DataCentres: 3, Latency: 500 * time.Microsecond, Workspaces: 16},
		{Name: "cooperative", Routers: 200, Engines: 9, Services: 3, DataCentres: 3, Latency: time.Millisecond, Workspaces: 16},
	}
}

const (
	engineSlots  = 16
	serviceSlots = 8
	// inside is the one-way latency inside a data centre.
	inside = 100 * time.Microsecond
)

// kind is a kind of work in a run.
type kind struct {
	id      identifier.Kind
	pool    identifier.Pool
	share   float64
	urgency int
	// load is its part of the pool's capacity in the steady state.
	load float64
	// mean is the mean cost; a cost is between a quarter and about twice it.
	mean identifier.Cost
	most identifier.Cost
}

const (
	models   identifier.Pool = "models"
	registry identifier.Pool = "registry"
)

// The least and the most urgent kinds, which flood.
const (
	leastUrgent identifier.Kind = "summary"
	mostUrgent  identifier.Kind = "answer"
)

func kinds() []kind {
	return []kind{
		{id: "draft", pool: models, share: 0.4, urgency: 1, load: 0.30, mean: 300, most: 1024},
		{id: mostUrgent, pool: models, share: 0.3, urgency: 3, load: 0.22, mean: 40, most: 128},
		{id: leastUrgent, pool: models, share: 0.1, urgency: 0, load: 0.08, mean: 20, most: 64},
		{id: "ticket", pool: registry, share: 0.6, urgency: 2, load: 0.3, mean: 1, most: 1},
		{id: "status", pool: registry, share: 0.2, urgency: 1, load: 0.2, mean: 1, most: 1},
	}
}

// Fault is one sort of failure in the middle of a run.
type Fault string

// The faults.
const (
	NoFault        Fault = ""
	TargetDies     Fault = "target_dies"
	RoutersCut     Fault = "routers_cut"
	AgentsCut      Fault = "agents_cut"
	ColdAgents     Fault = "cold_agents"
	CountersLossy  Fault = "counters_lossy"
	TargetSlow     Fault = "target_slow"
	TargetStuck    Fault = "target_stuck"
	TargetLies     Fault = "target_lies"
	RoutersRestart Fault = "routers_restart"
)

// Scenario is what happens in a run.
type Scenario struct {
	Name string
	// Load multiplies the steady load of every kind.
	Load float64
	// Flood is the kind that floods, with FloodBy times the pool's capacity.
	Flood   identifier.Kind
	FloodBy float64
	// FloodFrom is how many workspaces flood, all if zero.
	FloodFrom int
	// Uneven spreads the workspaces unevenly: one on all routers, the others
	// each on a few.
	Uneven bool
	// Swing moves the demand from one model to the other in the middle.
	Swing  bool
	Fault  Fault
	Length time.Duration
}

// settle is the time at the start of a run that is not measured: as long as the
// longest answers take, so that the rates have become steady.
const settle = 15 * time.Second

// Scenarios returns the runs of docs/MEASURES.md.
func Scenarios() []Scenario {
	const length = 75 * time.Second
	list := []Scenario{
		{Name: "steady", Load: 1, Length: length},
		{Name: "overload", Load: 5, Length: length},
		{Name: "uneven spread", Load: 5, Uneven: true, Length: length},
	}
	for _, by := range []float64{2, 10, 50} {
		list = append(list, Scenario{Name: floodName("least urgent", by), Load: 1, Flood: leastUrgent, FloodBy: by, Length: length})
	}
	for _, by := range []float64{2, 10, 50} {
		list = append(list, Scenario{Name: floodName("most urgent", by), Load: 1, Flood: mostUrgent, FloodBy: by, Length: length})
	}
	list = append(list, Scenario{Name: "one workspace floods 10x", Load: 1, Flood: mostUrgent, FloodBy: 10, FloodFrom: 1, Length: length})
	for _, f := range []Fault{TargetDies, RoutersCut, AgentsCut, ColdAgents, CountersLossy, TargetSlow, TargetStuck, TargetLies, RoutersRestart} {
		list = append(list, Scenario{Name: "overload, " + string(f), Load: 5, Uneven: true, Fault: f, Length: length})
	}
	return list
}

// Floods returns the steady run and those of the floods, in which the orders of
// work are compared.
func Floods() []Scenario {
	var list []Scenario
	for _, sc := range Scenarios() {
		if sc.Flood != "" || sc.Name == steadyName {
			list = append(list, sc)
		}
	}
	return list
}

func floodName(what string, by float64) string {
	return what + " floods " + map[float64]string{2: "2x", 10: "10x", 50: "50x"}[by]
}
