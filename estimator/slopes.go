package estimator

import "github.com/pkg/errors"

// Slopes are the measured lines by name.
type Slopes map[string]Fit

// spec is one slope to measure.
type spec struct {
	name   string
	driver string
	unit   string
	sizes  []int
	run    func(n int) float64
}

func specs() []spec {
	backlogged := []int{125, 250, 500, 1000, 2000}
	workspaces := []int{2500, 5000, 10_000, 20_000}
	links := []int{8, 16, 32, 64}
	return []spec{
		{"agent grant cycle", "backlogged classes", "µs", backlogged, grantCycle},
		{"agent tick", "backlogged classes", "µs", backlogged, schedulerTick},
		{"agent offer", "backlogged classes", "µs", backlogged, offerTime},
		{"agent backlog memory", "backlogged classes", "B", backlogged, schedulerMemory},
		{"counter row merge", "backlogged workspaces", "µs", backlogged, counterMerge},
		{"counter memory", "backlogged workspaces", "B", backlogged, counterMemory},
		{"collector memory", "backlogged workspaces", "B", backlogged, collectorMemory},
		{"placement decision", "peers", "µs", links, placerTick},
		{"placement memory", "peers", "B", links, placerMemory},
		{"waiting work", "backlogged classes", "µs", backlogged, waitingTime},
		{"placement frame", "kinds that wait", "B", []int{1, 2, 4, 8, 16}, placementBytes},
		{"key memory", "used keys", "B", []int{250_000, 500_000, 1_000_000, 2_000_000}, keyMemory},
		{"router request", "waiting classes", "µs", backlogged, func(n int) float64 { return routerCycle(n, 64) }},
		{"router request by links", "links of the pool", "µs", links, func(n int) float64 { return routerCycle(100, n) }},
		{"router tick", "waiting classes", "µs", backlogged, routerTick},
		{"router queue memory", "waiting classes", "B", backlogged, queueMemory},
		{"configuration memory", "workspaces", "B", workspaces, configMemory},
		{"configuration change", "workspaces", "µs", workspaces, configTime},
		{"configuration change bytes", "workspaces", "B", workspaces, configBytes},
		{"configuration head", "workspaces", "B", workspaces, configHead},
		{"configuration parts", "workspaces", "parts", workspaces, configParts},
		{"offers frame", "offers", "B", []int{1, 2, 4, 8, 16}, offerBytes},
		{"grants frame", "grants", "B", []int{1, 2, 4, 8, 16}, grantBytes},
		{"link frames, both ends", "frames a second", "µs", []int{250, 500, 1000, 2000}, frameTime},
		{"link memory, both ends", "links", "B", []int{32, 64, 128, 256}, linkMemory},
	}
}

// Measure measures every slope.
func Measure() (Slopes, []Fit, error) {
	slopes := Slopes{}
	var order []Fit
	for _, s := range specs() {
		f, err := NewFit(s.name, s.driver, s.unit, over(s.sizes, s.run))
		if err != nil {
			return nil, nil, errors.Wrap(err, "measure slopes")
		}
		slopes[s.name] = f
		order = append(order, f)
	}
	return slopes, order, nil
}
