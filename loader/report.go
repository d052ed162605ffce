package loader

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"buckthorndrum/identifier"
)

// Report is what the callers of a run saw. It is safe for concurrent use.
type Report struct {
	mu sync.Mutex
	// Whole counts answers that were complete to the byte, Broken those that
	// were passed off as whole but were not. Interrupted ended without a mark.
	Whole       int
	Broken      int
	Interrupted int
	Outcomes    map[identifier.Outcome]int
	Reasons     map[string]int
	Tokens      int
	// Issued are the keys whose outcome was done.
	Issued   []string
	Unknown  []string
	NotRun   []string
	kinds    map[identifier.Kind]*kindReport
	Elapsed  time.Duration
	Overhead *Overhead
	Control  *Control
}

// kindReport is what the callers saw of one kind, in microseconds.
type kindReport struct {
	done   int
	first  *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
	totals *hdrhistogram.Histogram
}

// maxMicros bounds a recorded time.
const maxMicros = int64(10 * time.Minute / time.Microsecond)

// digits is the precision of the histograms, in decimal digits.
const digits = 3

func newReport() *Report {
	return &Report{Outcomes: map[identifier.Outcome]int{}, Reasons: map[string]int{}, kinds: map[identifier.Kind]*kindReport{}}
}

func newKindReport() *kindReport {
	return &kindReport{
		first:  hdrhistogram.New(1, maxMicros, digits),
		gaps:   hdrhistogram.New(1, maxMicros, digits),
		totals: hdrhistogram.New(1, maxMicros, digits),
	}
}

func (r *Report) add(s Sort, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if res.err != nil {
		if res.outcome == identifier.Done {
			r.Broken++
		} else {
			r.Interrupted++
		}
		return
	}
	r.Outcomes[res.outcome]++
	if res.reason != "" {
		r.Reasons[res.reason]++
	}
	r.noteKey(res)
	if res.outcome != identifier.Done {
		return
	}
	if !res.whole {
		r.Broken++
		return
	}
	r.Whole++
	if s.MaxTokens > 0 {
		r.Tokens += res.tokens
	}
	r.time(s, res)
}

func (r *Report) noteKey(res result) {
	if res.key == "" {
		return
	}
	switch res.outcome {
	case identifier.Done:
		r.Issued = append(r.Issued, res.key)
	case identifier.NotRun:
		r.NotRun = append(r.NotRun, res.key)
	default:
		r.Unknown = append(r.Unknown, res.key)
	}
}

func (r *Report) time(s Sort, res result) {
	k := r.kinds[s.Kind]
	if k == nil {
		k = newKindReport()
		r.kinds[s.Kind] = k
	}
	k.done++
	_ = k.first.RecordValue(res.first.Microseconds())
	_ = k.totals.RecordValue(res.total.Microseconds())
	for _, g := range res.gaps {
		_ = k.gaps.RecordValue(g.Microseconds())
	}
}

// Print writes the report for people.
func (r *Report) Print(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	p("elapsed %s", r.Elapsed.Round(time.Millisecond))
	p("answers whole %d, broken %d, interrupted %d", r.Whole, r.Broken, r.Interrupted)
	p("outcomes done %d, not run %d, unknown %d", r.Outcomes[identifier.Done], r.Outcomes[identifier.NotRun], r.Outcomes[identifier.Unknown])
	for _, reason := range sorted(r.Reasons) {
		p("  reason %s: %d", reason, r.Reasons[reason])
	}
	p("model tokens %d, %.0f a second", r.Tokens, float64(r.Tokens)/r.Elapsed.Seconds())
	r.printKinds(p)
	if r.Overhead != nil {
		r.Overhead.print(p)
	}
	if r.Control != nil {
		r.Control.print(p)
	}
}

func (r *Report) printKinds(p func(string, ...any)) {
	p("%-10s %8s %24s %24s %24s", "kind", "done", "first ms p50/p95/p99", "between ms p50/p95/p99", "total ms p50/p95/p99")
	names := map[string]int{}
	for k := range r.kinds {
		names[string(k)]++
	}
	for _, name := range sorted(names) {
		k := r.kinds[identifier.Kind(name)]
		p("%-10s %8d %24s %24s %24s", name, k.done, quantiles(k.first), quantiles(k.gaps), quantiles(k.totals))
	}
}

func quantiles(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("%.1f/%.1f/%.1f", ms(50), ms(95), ms(99))
}

func sorted(m map[string]int) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
