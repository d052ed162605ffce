package measurer

import (
	"fmt"
	"io"
	"time"
)

// Targets that the users have set, checked by Verdicts.
const (
	// gapRatio is how many times smaller than the better baseline's the gap
	// under uneven spread must be.
	gapRatio = 10
	// leastUtilisation is the least part of the central queue's tokens while
	// work waits.
	leastUtilisation = 0.97
	// leastKept is the least part of its throughput that a kind keeps while
	// another floods.
	leastKept = 0.95
	// firstFactor and firstExtra bound the time to the first token of the other
	// kinds in a flood, whichever is larger.
	firstFactor = 2
	firstExtra  = 100 * time.Millisecond
	// mostControl is the control traffic of one node, in bytes a second.
	mostControl = 19_000
)

// Verdict is one target checked on one run.
type Verdict struct {
	Size     string
	Scenario string
	Target   string
	Value    string
	Limit    string
	Met      bool
}

// book finds results by size, scenario and way.
type book map[[3]string]Result

func newBook(rs []Result) book {
	b := book{}
	for _, r := range rs {
		b[[3]string{r.Size, r.Scenario.Name, string(r.Way)}] = r
	}
	return b
}

func (b book) get(r Result, way Way) Result {
	return b[[3]string{r.Size, r.Scenario.Name, string(way)}]
}

func (b book) steady(r Result) Result { return b[[3]string{r.Size, steadyName, string(Ours)}] }

// steadyName is the run that floods are compared with.
const steadyName = "steady"

// Verdicts checks the users' targets on the runs of ours.
func Verdicts(rs []Result) []Verdict {
	b := newBook(rs)
	var vs []Verdict
	for _, r := range rs {
		if r.Way != Ours {
			continue
		}
		vs = append(vs, b.gapVerdicts(r)...)
		if r.Scenario.Load > 1 || r.Scenario.FloodBy > 0 {
			vs = append(vs, b.utilisation(r))
		}
		if r.Scenario.Flood != "" {
			vs = append(vs, b.floodVerdicts(r)...)
		}
		vs = append(vs, verdict(r, "control traffic of one node, B/s", fmt.Sprintf("%.0f", r.ControlMax), fmt.Sprint(mostControl), r.ControlMax < mostControl))
		vs = append(vs, verdict(r, "requests that ended twice", fmt.Sprint(r.Twice), "0", r.Twice == 0))
	}
	return vs
}

func verdict(r Result, target, value, limit string, met bool) Verdict {
	return Verdict{Size: r.Size, Scenario: r.Scenario.Name, Target: target, Value: value, Limit: limit, Met: met}
}

func (b book) gapVerdicts(r Result) []Verdict {
	bound := Bound(sizeNamed(r.Size), r.Scenario)
	vs := []Verdict{verdict(r, "gap within the stated bound, tokens", fmt.Sprintf("%.0f", r.Gap), fmt.Sprintf("%.0f", bound), r.Gap <= bound)}
	first, known := b[[3]string{r.Size, r.Scenario.Name, string(FirstCome)}]
	if !r.Scenario.Uneven || r.Scenario.Fault != NoFault || !known {
		return vs
	}
	better := min(first.Gap, b.get(r, LeastLoaded).Gap)
	return append(vs, verdict(r, "times smaller than the better baseline", fmt.Sprintf("%.1f", better/r.Gap), fmt.Sprint(gapRatio), better >= gapRatio*r.Gap))
}

func sizeNamed(name string) Size {
	for _, s := range Sizes() {
		if s.Name == name {
			return s
		}
	}
	return Size{}
}

func (b book) utilisation(r Result) Verdict {
	ratio := r.Tokens / b.get(r, Central).Tokens
	return verdict(r, "tokens against the central queue", fmt.Sprintf("%.3f", ratio), fmt.Sprint(leastUtilisation), ratio >= leastUtilisation)
}

func (b book) floodVerdicts(r Result) []Verdict {
	var vs []Verdict
	for _, k := range kinds() {
		if k.id == r.Scenario.Flood {
			continue
		}
		calm, now := b.steady(r).Kinds[k.id], r.Kinds[k.id]
		kept := now.Rate / calm.Rate
		vs = append(vs, verdict(r, string(k.id)+" keeps of its throughput", fmt.Sprintf("%.3f", kept), fmt.Sprint(leastKept), kept >= leastKept))
		limit := max(firstFactor*calm.First95, calm.First95+firstExtra)
		vs = append(vs, verdict(r, string(k.id)+" first token, 95 in 100", ms(now.First95), ms(limit), now.First95 <= limit))
	}
	return vs
}

func ms(d time.Duration) string { return fmt.Sprintf("%.0f ms", float64(d)/float64(time.Millisecond)) }

// Write renders the results and the verdicts as Markdown tables.
func Write(w io.Writer, rs []Result, seed uint64) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("Seed %d, %s of virtual time a run, the first %s not measured.\n", seed, rs[0].Scenario.Length, settle)
	p("| size | run | way | gap, tokens | model tokens/s | kept by the other kinds, least | first token of the others, 95 in 100, most | control, busiest node, B/s | control, mean, B/s | lost in the fault |")
	p("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	b := newBook(rs)
	for _, r := range rs {
		kept, first := b.others(r)
		p("| %s | %s | %s | %.0f | %.0f | %s | %s | %.0f | %.0f | %d |", r.Size, r.Scenario.Name, r.Way, r.Gap, r.Tokens/(r.Scenario.Length-settle).Seconds(), kept, first, r.ControlMax, r.ControlMean, r.Lost)
	}
	p("\n## Targets missed\n")
	missed := 0
	vs := Verdicts(rs)
	for _, v := range vs {
		if v.Met {
			continue
		}
		missed++
		p("- %s, %s: %s is %s, the limit is %s", v.Size, v.Scenario, v.Target, v.Value, v.Limit)
	}
	p("\n%d of %d checks are met.", len(vs)-missed, len(vs))
}

// others returns the least that another kind keeps in a flood and its largest
// time to the first token, compared with the same way's steady run.
func (b book) others(r Result) (kept, first string) {
	if r.Scenario.Flood == "" {
		return "-", "-"
	}
	calm := b[[3]string{r.Size, steadyName, string(r.Way)}]
	least := 1e9
	var most time.Duration
	for id, k := range r.Kinds {
		if id == r.Scenario.Flood {
			continue
		}
		least = min(least, k.Rate/calm.Kinds[id].Rate)
		most = max(most, k.First95)
	}
	return fmt.Sprintf("%.3f", least), ms(most)
}
