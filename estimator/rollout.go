package estimator

import (
	"fmt"
	"time"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/linker"
	"buckthorndrum/messenger"
	"buckthorndrum/spreader"
)

// Rollout is how a change of the configuration spreads over the bounded links of
// the whole fleet without the key-value service.
type Rollout struct {
	Nodes int
	Links int
	// Hops is how many one-way messages in a row the last process has waited for.
	Hops int
	// Messages is how many frames one process has handled, the mean.
	Messages float64
	// Rejoin is the hops after a region that was cut off during the change is
	// joined again.
	Rejoin int
}

// regions is the number of regions of the letter.
const regions = 7

// fleet is the whole fleet: adopters joined by the links that routers choose.
type fleet struct {
	nodes []*configurator.Adopter
	// region is where each node is, links whom each node is linked to.
	region []int
	links  [][]int
	inbox  []parcel
	count  int
	// cut is the region that is cut off, or -1.
	cut int
}

// parcel is a frame on its way.
type parcel struct {
	from, to int
	frame    messenger.Frame
}

func newFleet() *fleet {
	n := &fleet{cut: -1}
	for i := range nodes + servers {
		n.nodes = append(n.nodes, configurator.NewAdopter())
		n.region = append(n.region, i%regions)
	}
	n.links = make([][]int, len(n.nodes))
	for r := range nodes {
		for m := range models {
			n.join(r, m)
		}
	}
	return n
}

// join links router r to its subset of the agents of model m.
func (n *fleet) join(r, m int) {
	var members []linker.Candidate
	index := map[string]int{}
	for a := m; a < servers; a += models {
		name := string(targetName(a))
		index[name] = nodes + a
		members = append(members, linker.Candidate{Name: name, Near: n.region[nodes+a] == n.region[r]})
	}
	for _, name := range linker.Subset(fmt.Sprint("router-", r), members, linker.Bound) {
		a := index[name]
		n.links[r] = append(n.links[r], a)
		n.links[a] = append(n.links[a], r)
	}
}

func (n *fleet) send(from, to int, f messenger.Frame) {
	if n.cut >= 0 && (n.region[from] == n.cut) != (n.region[to] == n.cut) {
		return
	}
	f.Revision = n.nodes[from].Revision()
	n.inbox = append(n.inbox, parcel{from, to, f})
}

// tell has a node send its revision on all its links.
func (n *fleet) tell(i int) {
	for _, to := range n.links[i] {
		n.send(i, to, messenger.Frame{})
	}
}

// hop delivers all frames that are on their way.
func (n *fleet) hop() {
	now := n.inbox
	n.inbox = nil
	for _, p := range now {
		n.count++
		res, err := spreader.Handle(n.nodes[p.to], p.frame)
		if err != nil {
			panic(err) // The documents are this package's own.
		}
		for _, r := range res.Replies {
			n.send(p.to, p.from, r)
		}
		if res.Adopted {
			n.tell(p.to)
		}
	}
}

// behind returns how many nodes outside the cut are below a revision.
func (n *fleet) behind(rev identifier.Revision) int {
	c := 0
	for i, a := range n.nodes {
		if a.Revision() < rev && n.region[i] != n.cut {
			c++
		}
	}
	return c
}

// spread puts a change in force at router 0 and returns the hops until all that
// can be reached have it.
func (n *fleet) spread(ch configurator.Change) int {
	adopt(n.nodes[0], ch)
	n.tell(0)
	return n.settle(ch.Head.Revision)
}

// maxHops bounds a rollout that does not come to an end.
const maxHops = 200

func (n *fleet) settle(rev identifier.Revision) int {
	hops := 0
	for ; n.behind(rev) > 0 && hops < maxHops; hops++ {
		n.hop()
	}
	n.inbox = nil
	return hops
}

// MeasureRollout spreads a change over 1,200 routers and 3,100 agents, and
// another one while a region is cut off.
func MeasureRollout() (Rollout, error) {
	n := newFleet()
	first, err := configurator.Plan(configurator.Head{}, nil, document(10), "o", time.Unix(0, 0))
	if err != nil {
		return Rollout{}, err
	}
	r := Rollout{Nodes: len(n.nodes), Links: linker.Bound * models}
	r.Hops = n.spread(first)
	r.Messages = float64(n.count) / float64(len(n.nodes))
	doc := document(10)
	doc.Workspaces[0].Weight = 2
	second, err := configurator.Plan(first.Head, nil, doc, "o", time.Unix(1, 0))
	if err != nil {
		return Rollout{}, err
	}
	n.cut = regions - 1
	n.spread(second)
	n.cut = -1
	for i := range n.nodes {
		n.tell(i) // The heartbeats after the cut.
	}
	r.Rejoin = n.settle(second.Head.Revision)
	return r, nil
}
