package estimator

import (
	"fmt"
	"io"
	"time"

	"buckthorndrum/linker"
	"buckthorndrum/measurer"
)

// The letter's size.
const (
	nodes          = 1200
	servers        = 3100
	models         = 4
	requestsPerSec = 38_000
	allWorkspaces  = 20_000
	backlogged     = 2000
	changesPerDay  = 1600
	failuresPerDay = 36
	replacedPerDay = 880
	secondsPerDay  = 86_400
)

// The budgets of control for one node.
const (
	budgetCPU    = 0.05
	budgetMemory = 32e6
	budgetBytes  = 19e3
)

const (
	micro = 1e-6
	// beatsPerSecond is how many frames a silent link carries in one direction.
	beatsPerSecond = 0.5
	// beatBytes is a heartbeat with a load, header included, in bytes.
	beatBytes = 14
	// ticksPerSecond are those of a router and of an agent.
	routerTicks = 500
	agentTicks  = 200
	// keysPerAgent is how many keys an agent uses in a month of one a second.
	keysPerAgent = 30 * secondsPerDay
	// batchesPerSecond is how often an agent flushes each of its trees upwards.
	batchesPerSecond = 1
	// totalsPerSecond is how often totals come down each tree.
	totalsPerSecond = 1 / (downEvery * stepSeconds)
	// trees are the trees of one pool.
	trees = 64
)

// Row is one line of the capacity table.
type Row struct {
	Role      string
	Resource  string
	Budget    string
	Figure    string
	Slope     string
	Mechanism string
	Margin    string
}

// perRequest is what one request costs in control frames, as measured in
// virtual time in the overloaded run of the authority's size.
type perRequest struct {
	// RouterFrames and RouterBytes are at one router, sent and received.
	RouterFrames float64
	RouterBytes  float64
}

func measureRequest() perRequest {
	size := measurer.Sizes()[0]
	var sc measurer.Scenario
	for _, s := range measurer.Scenarios() {
		if s.Name == "overload" {
			sc = s
		}
	}
	sc.Length = 35 * time.Second
	res := measurer.Run(size, sc, measurer.Ours, 1)
	return perRequest{RouterFrames: res.RequestFrames, RouterBytes: res.RequestBytes}
}

// estimate holds what the rows are worked out from.
type estimate struct {
	s       Slopes
	req     perRequest
	spreads []Spread
}

func (e estimate) at(name string, size float64) float64 { return e.s[name].At(size) }

// frame is the processor time of one frame at one end, in seconds.
func (e estimate) frame() float64 { return e.s["link frames, both ends"].Slope / 2 * micro }

// linkMemory is the memory of one link at one end, in bytes.
func (e estimate) linkMemory() float64 { return e.s["link memory, both ends"].Slope / 2 }

func (e estimate) routerLinks() float64 { return linker.Bound * models }

// agentLinks is the links of an agent: to routers, and to neighbours in trees.
func (e estimate) agentLinks() float64 {
	return e.routerLinks()*nodes/servers + 2*trees
}

func (e estimate) configCPU() float64 {
	return e.at("configuration change", allWorkspaces) * micro * changesPerDay / secondsPerDay
}

func (e estimate) configBytes() float64 {
	return e.at("configuration change bytes", allWorkspaces) * changesPerDay / secondsPerDay
}

// placementCPU is what an agent spends on the placement of models, with all
// classes waiting.
func (e estimate) placementCPU() float64 {
	decision := e.at("placement decision", linker.Bound) + e.at("waiting work", backlogged)
	return placerTicks*decision*micro + 2*linker.Bound*newsPerSecond*e.frame()
}

func (e estimate) placementBytes() float64 {
	return 2 * linker.Bound * newsPerSecond * e.at("placement frame", models)
}

func (e estimate) rows() []Row {
	return append(e.routerRows(), e.agentRows()...)
}

func (e estimate) routerRows() []Row {
	perSec := float64(requestsPerSec) / nodes
	beats := 2 * e.routerLinks() * beatsPerSecond
	cpu := perSec*e.at("router request by links", linker.Bound)*micro + routerTicks*e.at("router tick", backlogged)*micro +
		(perSec*e.req.RouterFrames+beats)*e.frame() + e.configCPU()
	memory := e.at("router queue memory", backlogged) + e.routerLinks()*e.linkMemory() + e.at("configuration memory", allWorkspaces)
	bytes := perSec*e.req.RouterBytes + beats*beatBytes + e.configBytes()
	return []Row{
		row("router", "processor", cpu/budgetCPU, pct(budgetCPU), pct(cpu), fmt.Sprintf("%.0f µs a frame, %.0f µs a request", e.frame()/micro, e.at("router request by links", linker.Bound)), "bounded subset links; offers that widen"),
		row("router", "memory", memory/budgetMemory, mb(budgetMemory), mb(memory), fmt.Sprintf("%.0f B a waiting class, %.0f B a link, %.0f B a workspace", e.s["router queue memory"].Slope, e.linkMemory(), e.s["configuration memory"].Slope), "bounded queues; state for waiting classes only"),
		row("router", "messages", bytes/budgetBytes, kb(budgetBytes), kb(bytes), fmt.Sprintf("%.1f frames and %.0f B a request, %d B a heartbeat", e.req.RouterFrames, e.req.RouterBytes, beatBytes), "one agent first; batches; names by number"),
		row("router", "state", 0, "-", fmt.Sprintf("%.0f links, up to %d classes, %d workspaces", e.routerLinks(), backlogged, allWorkspaces), "-", "nothing that must last"),
	}
}

func (e estimate) agentRows() []Row {
	perSec := float64(requestsPerSec) / servers
	spread := e.spreads[len(e.spreads)-1]
	beats := 2 * e.routerLinks() * nodes / servers * beatsPerSecond
	treeFrames := 2.0 * trees * (batchesPerSecond + totalsPerSecond)
	offers := float64(requestsPerSec) * e.req.RouterFrames / servers
	cpu := perSec*e.at("agent grant cycle", backlogged)*micro + agentTicks*e.at("agent tick", backlogged)*micro +
		(offers+beats+treeFrames)*e.frame() + backlogged*totalsPerSecond*e.at("counter row merge", backlogged)*micro + e.configCPU() + e.placementCPU()
	memory := e.at("agent backlog memory", backlogged) + e.at("collector memory", backlogged) + e.agentLinks()*e.linkMemory() +
		e.at("configuration memory", allWorkspaces) + e.at("key memory", keysPerAgent) + e.at("placement memory", linker.Bound)
	bytes := float64(requestsPerSec)*e.req.RouterBytes/servers + beats*beatBytes + spread.Mean + e.configBytes() + e.placementBytes()
	most := bytes - spread.Mean + spread.Most
	return []Row{
		row("agent", "processor", cpu/budgetCPU, pct(budgetCPU), pct(cpu), fmt.Sprintf("%.2f µs a grant and class, %.0f µs a frame", e.s["agent grant cycle"].Slope, e.frame()/micro), "levels of what is active only; sharded trees"),
		row("agent", "memory", memory/budgetMemory, mb(budgetMemory), mb(memory), fmt.Sprintf("%.0f B a class, %.0f B a counted workspace, %.2f B a used key", e.s["agent backlog memory"].Slope, e.s["collector memory"].Slope, e.s["key memory"].Slope), "totals by root and not by agent; one bit a key"),
		row("agent", "messages, mean", bytes/budgetBytes, kb(budgetBytes), kb(bytes), fmt.Sprintf("%.1f kB/s of counters for %d workspaces", spread.Mean/1e3, spread.Workspaces), "increments up, totals down 64 trees every 7 s"),
		row("agent", "messages, busiest", most/budgetBytes, kb(budgetBytes), kb(most), fmt.Sprintf("%.1f kB/s of counters", spread.Most/1e3), "inner places spread by hash; see below"),
		row("agent", "age of counters", 0, "-", fmt.Sprintf("%.1f s", spread.Age), "one flush a level each second, totals every 7 s", "trees of 8 children"),
		row("agent", "state", 0, "-", fmt.Sprintf("%.0f links, up to %d classes, %d totals", e.agentLinks(), backlogged, backlogged), "-", "nothing that must last"),
	}
}

func row(role, resource string, part float64, budget, figure, slope, mechanism string) Row {
	margin := "-"
	if part > 0 {
		margin = fmt.Sprintf("%.1f×", 1/part)
	}
	if part > 1 {
		margin = "**over**, " + margin
	}
	return Row{role, resource, budget, figure, slope, mechanism, margin}
}

func pct(v float64) string { return fmt.Sprintf("%.1f%% of a core", v*100) }
func mb(v float64) string  { return fmt.Sprintf("%.1f MB", v/1e6) }
func kb(v float64) string  { return fmt.Sprintf("%.1f kB/s", v/1e3) }

// Write measures everything and renders the tables of docs/CAPACITY.md.
func Write(w io.Writer) error {
	slopes, order, err := Measure()
	if err != nil {
		return err
	}
	e := estimate{s: slopes, req: measureRequest()}
	for _, m := range []int{97, 194, 388, servers / models} {
		e.spreads = append(e.spreads, Converge(m, backlogged))
	}
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("## Figures at the letter's size\n")
	p("| role | resource | budget | figure | slope | command | mechanism | margin |")
	p("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range e.rows() {
		p("| %s | %s | %s | %s | %s | `load -capacity` | %s | %s |", r.Role, r.Resource, r.Budget, r.Figure, r.Slope, r.Mechanism, r.Margin)
	}
	p("\n## Slopes\n")
	p("| what | driver | sizes | base | slope | error |")
	p("| --- | --- | --- | ---: | ---: | ---: |")
	for _, f := range order {
		p("| %s | %s | %s | %.4g %s | %.4g %s | %.0f%% |", f.Name, f.Driver, sizesOf(f), f.Base, f.Unit, f.Slope, f.Unit, f.Error*100)
	}
	p("\n## Counters over the trees of one pool\n")
	p("| agents | workspaces | mean, B/s | busiest, B/s | age, s | oldest, s | together again after a cut, s |")
	p("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, s := range e.spreads {
		p("%s", s)
	}
	roll, err := MeasureRollout()
	if err != nil {
		return err
	}
	p("\n## A change of configuration over the links\n")
	p("| processes | links of a router | hops to the last | frames handled by one, mean | hops after a region is joined again |")
	p("| ---: | ---: | ---: | ---: | ---: |")
	p("| %d | %d | %d | %.0f | %d |", roll.Nodes, roll.Links, roll.Hops, roll.Messages, roll.Rejoin)
	return nil
}

func sizesOf(f Fit) string {
	text := ""
	for i, p := range f.Points {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%.0f", p.Size)
	}
	return text
}
