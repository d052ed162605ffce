package estimator

import (
	"fmt"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	"buckthorndrum/collector"
	"buckthorndrum/identifier"
)

// Spread is what the collectors of one pool cost and how late they are.
type Spread struct {
	Members    int
	Workspaces int
	// Mean and Most are control bytes a second of one agent, sent and received.
	Mean float64
	Most float64
	// Age is the age of the counters, in seconds: the gap between what an agent
	// knows and the truth over the rate of service, the mean and the most.
	Age     float64
	AgeMost float64
	// Rejoin is how many seconds after a cut of a part of the members ends
	// everybody's age is below twice the usual one.
	Rejoin float64
}

// Figures of the spread.
const (
	// upEvery and downEvery are the times between flushes up and down, in steps.
	upEvery   = 2
	downEvery = 14
	// stepSeconds is the length of one step.
	stepSeconds = 0.5
	// servedPerStep is how many requests one agent serves in a step.
	servedPerStep = 6
	// requestCost is the mean cost of one request, in tokens.
	requestCost = 360
	warmSteps   = 4 * downEvery
	steps       = 4 * downEvery
	batchHeader = 24 // The frame around a batch or totals, its origin by number.
)

// pool is one pool of agents in steps of virtual time.
type pool struct {
	rng     *rand.Rand
	members []identifier.Target
	nodes   map[identifier.Target]*collector.Node
	trees   []*collector.Tree
	truth   map[identifier.Workspace]identifier.Cost
	names   []identifier.Workspace
	bytes   map[identifier.Target]float64
	// cut tells that a member is cut off from the others.
	cut map[identifier.Target]bool
}

func newPool(members, workspaces int) *pool {
	p := &pool{
		rng: rand.New(rand.NewPCG(1, uint64(members))), nodes: map[identifier.Target]*collector.Node{},
		truth: map[identifier.Workspace]identifier.Cost{}, bytes: map[identifier.Target]float64{}, cut: map[identifier.Target]bool{},
	}
	for i := range members {
		t := targetName(i)
		p.members = append(p.members, t)
		p.nodes[t] = collector.New(identifier.Origin{Target: t, Incarnation: 1})
	}
	for sh := range collector.Shard(collector.Shards) {
		p.trees = append(p.trees, collector.NewTree(sh, p.members))
	}
	for i := range workspaces {
		p.names = append(p.names, workspace(i))
	}
	return p
}

// step serves requests and passes increments up and totals down.
func (p *pool) step(n int) {
	for _, m := range p.members {
		for range servedPerStep {
			w := p.names[p.rng.IntN(len(p.names))]
			p.nodes[m].Charge(w, requestCost)
			p.truth[w] += requestCost
		}
	}
	for sh, tree := range p.trees {
		if n%upEvery == 0 {
			p.up(collector.Shard(sh), tree)
		}
		if n%downEvery == sh%downEvery {
			p.down(collector.Shard(sh), tree)
		}
	}
}

func (p *pool) up(sh collector.Shard, tree *collector.Tree) {
	for _, m := range p.members {
		parent, _ := tree.Parent(m)
		b, to := p.nodes[m].NextBatch(sh, parent)
		if b == nil || p.cut[m] != p.cut[to] {
			continue
		}
		p.count(m, to, incrementBytes(len(b.Increments)))
		p.nodes[m].HandleAck(sh, p.nodes[to].ApplyBatch(*b))
	}
}

func (p *pool) down(sh collector.Shard, tree *collector.Tree) {
	for _, m := range p.members {
		if _, ok := tree.Parent(m); ok {
			continue
		}
		if d := p.nodes[m].CommitPending(sh); d != nil {
			p.pass(tree, m, *d)
		}
	}
}

// pass brings totals to the children of m and on. A child that is cut off is
// told everything once it is back.
func (p *pool) pass(tree *collector.Tree, m identifier.Target, d collector.Totals) {
	for _, c := range tree.Children(m) {
		if p.cut[c] != p.cut[m] {
			continue
		}
		p.count(m, c, totalBytes(len(d.Rows)))
		if news := p.nodes[c].ApplyTotals(d); news != nil {
			p.pass(tree, c, *news)
		}
	}
}

func (p *pool) count(from, to identifier.Target, n float64) {
	p.bytes[from] += n
	p.bytes[to] += n
}

// incrementBytes and totalBytes are sizes on the wire, with names by number as
// the links send them.
func incrementBytes(n int) float64 { return batchHeader + float64(n)*incrementSize }

func totalBytes(n int) float64 { return batchHeader + float64(n)*totalSize }

var (
	incrementSize = rowSize([]any{uint32(2000), identifier.Cost(requestCost)})
	totalSize     = rowSize([]any{uint32(2000), uint64(1 << 12), identifier.Cost(1 << 24)})
)

func rowSize(v any) float64 {
	raw, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return float64(len(raw))
}

// ages returns the mean and the largest age over a sample of members, in
// seconds of one workspace's mean rate.
func (p *pool) ages() (mean, most float64) {
	rate := float64(len(p.members)*servedPerStep*requestCost) / float64(len(p.names)) / stepSeconds
	n := 0
	for i := 0; i < len(p.members); i += max(1, len(p.members)/50) {
		sum := 0.0
		for _, w := range p.names {
			sum += float64(p.truth[w] - p.nodes[p.members[i]].Service(w))
		}
		age := sum / float64(len(p.names)) / rate
		mean += age
		most = max(most, age)
		n++
	}
	return mean / float64(n), most
}

// Converge measures one pool of agents, and how it comes together again after a
// tenth of the members was cut off for a minute.
func Converge(members, workspaces int) Spread {
	p := newPool(members, workspaces)
	for n := range warmSteps {
		p.step(n)
	}
	clear(p.bytes)
	s := Spread{Members: members, Workspaces: workspaces}
	for n := range steps {
		p.step(n)
		mean, most := p.ages()
		s.Age += mean / steps
		s.AgeMost = max(s.AgeMost, most)
	}
	for _, m := range p.members {
		b := p.bytes[m] / (steps * stepSeconds)
		s.Mean += b / float64(members)
		s.Most = max(s.Most, b)
	}
	s.Rejoin = p.rejoin(s.AgeMost)
	return s
}

// cutSteps is the length of a cut.
const cutSteps = 120

func (p *pool) rejoin(usual float64) float64 {
	for i := range len(p.members) / 10 {
		p.cut[p.members[i]] = true
	}
	for n := range cutSteps {
		p.step(n)
	}
	clear(p.cut)
	for n := 1; n <= cutSteps; n++ {
		p.step(n)
		p.resync(n)
		if _, most := p.ages(); most < 2*usual {
			return float64(n) * stepSeconds
		}
	}
	return -1
}

// resync has every parent tell its children everything once after a cut, a
// shard in turn, as a link that is opened anew does.
func (p *pool) resync(n int) {
	for sh := range p.trees {
		if n%downEvery != sh%downEvery || n > downEvery*collectorDepth {
			continue
		}
		for _, m := range p.trees[sh].Order() {
			for _, d := range p.nodes[m].AllTotals(collector.Shard(sh)) {
				for _, c := range p.trees[sh].Children(m) {
					_ = p.nodes[c].ApplyTotals(d)
				}
			}
		}
	}
}

// collectorDepth is the depth of a tree of the letter's size.
const collectorDepth = 4

// String renders a spread as a row of a Markdown table.
func (s Spread) String() string {
	return fmt.Sprintf("| %d | %d | %.0f | %.0f | %.1f | %.1f | %.1f |", s.Members, s.Workspaces, s.Mean, s.Most, s.Age, s.AgeMost, s.Rejoin)
}
