package measurer

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"buckthorndrum/identifier"
)

// sampleEvery is how often the gap is looked at.
const sampleEvery = 50 * time.Millisecond

// gauges take the measures of one run.
type gauges struct {
	w *world
	// waiting and service are by workspace, in the models pool.
	waiting []int
	// since is when each began to wait without a break.
	since   []identifier.Instant
	service []float64
	index   map[identifier.Workspace]int
	pairs   map[[2]int]*pairRange
	gap     float64
	kinds   map[identifier.Kind]*kindGauge
	// control is the control bytes by node.
	control map[string]int64
	frames  int64
	// requestBytes and requestFrames are those of offers, grants and declines,
	// and handed is how many requests were handed over.
	requestBytes  int64
	requestFrames int64
	handed        int
	// served is the cost delivered in the measured time, by pool.
	served map[identifier.Pool]float64
	lost   int
	// twice counts jobs that ended twice, which never happens.
	twice int
	done  map[identifier.Request]bool
	// levelGap is the largest difference of true levels of backlogged
	// workspaces that was seen.
	levelGap identifier.Cost
	// grants and declines count those of ours.
	grants   int
	declines int
	// heldBytes is the most that one router's queues held.
	heldBytes int
}

// pairRange is the range of the difference in service between two workspaces
// over the time in which both were backlogged without a break.
type pairRange struct{ low, high float64 }

// kindGauge is what the callers of one kind saw.
type kindGauge struct {
	submitted int
	refused   int
	done      int
	cost      float64
	first     *hdrhistogram.Histogram
}

// maxFirst bounds a recorded time to the first token, in microseconds.
const maxFirst = int64(5 * time.Minute / time.Microsecond)

func newGauges(w *world) *gauges {
	g := &gauges{
		w:       w,
		waiting: make([]int, w.size.Workspaces),
		since:   make([]identifier.Instant, w.size.Workspaces),
		service: make([]float64, w.size.Workspaces),
		index:   map[identifier.Workspace]int{},
		pairs:   map[[2]int]*pairRange{},
		kinds:   map[identifier.Kind]*kindGauge{},
		control: map[string]int64{},
		served:  map[identifier.Pool]float64{},
		done:    map[identifier.Request]bool{},
	}
	for i := range w.size.Workspaces {
		g.index[workspaceName(i)] = i
	}
	for _, k := range w.kinds {
		g.kinds[k.id] = &kindGauge{first: hdrhistogram.New(1, maxFirst, 3)}
	}
	return g
}

func (g *gauges) measuring() bool { return g.w.clock.now >= identifier.Instant(settle) }

func (g *gauges) submit(j *job) {
	if g.measuring() {
		g.kinds[j.class.Kind].submitted++
	}
	if j.pool != models {
		return
	}
	i := g.index[j.class.Workspace]
	if g.waiting[i] == 0 {
		g.since[i] = g.w.clock.now
	}
	g.waiting[i]++
}

// longWaiting is how long a workspace waits without a break before its level is
// compared: long enough for every agent to have noticed.
const longWaiting = time.Second

func (g *gauges) backlogged(i int) bool {
	return g.waiting[i] > 0 && g.w.clock.now.Sub(g.since[i]) >= longWaiting
}

// leave notes that a job no longer waits: it was started, refused or given up.
func (g *gauges) leave(j *job) {
	if j.pool == models {
		g.waiting[g.index[j.class.Workspace]]--
	}
}

func (g *gauges) refuse(j *job) {
	g.leave(j)
	if g.measuring() {
		g.kinds[j.class.Kind].refused++
	}
}

func (g *gauges) token(j *job) {
	if j.pool == models {
		g.service[g.index[j.class.Workspace]]++
	}
	if !g.measuring() {
		return
	}
	g.served[j.pool]++
	g.kinds[j.class.Kind].cost++
	if j.served == 1 && j.arrived >= identifier.Instant(settle) {
		_ = g.kinds[j.class.Kind].first.RecordValue(j.first.Sub(j.arrived).Microseconds())
	}
}

func (g *gauges) end(j *job) {
	if g.done[j.id] {
		g.twice++
	}
	g.done[j.id] = true
	if g.measuring() {
		g.kinds[j.class.Kind].done++
	}
}

func (g *gauges) lose(*job) { g.lost++ }

// traffic counts a control message of n bytes from one node to another.
func (g *gauges) traffic(from, to string, n int) {
	if !g.measuring() {
		return
	}
	g.frames++
	g.control[from] += int64(n)
	g.control[to] += int64(n)
}

// request counts a control message that belongs to a request.
func (g *gauges) request(n int) {
	if g.measuring() {
		g.requestFrames++
		g.requestBytes += int64(n)
	}
}

// hand counts a request that was handed over.
func (g *gauges) hand() {
	if g.measuring() {
		g.handed++
	}
}

// sample takes the gap.
func (g *gauges) sample() {
	if !g.measuring() {
		return
	}
	for i := range g.waiting {
		for k := range i {
			g.pair(i, k)
		}
	}
}

func (g *gauges) pair(i, k int) {
	id := [2]int{i, k}
	if g.waiting[i] <= 0 || g.waiting[k] <= 0 {
		delete(g.pairs, id)
		return
	}
	d := g.service[i] - g.service[k]
	p := g.pairs[id]
	if p == nil {
		p = &pairRange{d, d}
		g.pairs[id] = p
	}
	p.low = math.Min(p.low, d)
	p.high = math.Max(p.high, d)
	g.gap = math.Max(g.gap, p.high-p.low)
}
