package collector

import (
	"sort"

	"buckthorndrum/identifier"
)

// Increment is service that was counted and not yet told to the root.
type Increment struct {
	_         struct{} `cbor:",toarray"`
	Workspace identifier.Workspace
	// Cost may be negative for an estimate that was too high.
	Cost identifier.Cost
}

// Batch is increments that go up, with the number by which the receiver knows a
// repeat.
type Batch struct {
	Shard Shard             `cbor:"1,keyasint"`
	From  identifier.Origin `cbor:"2,keyasint"`
	// Number rises by one with each new batch of one sender and shard.
	Number     uint64      `cbor:"3,keyasint"`
	Increments []Increment `cbor:"4,keyasint"`
}

// Total is what one root has counted for a workspace. It never falls but for
// negative increments, and Version tells which of two is later.
type Total struct {
	_         struct{} `cbor:",toarray"`
	Workspace identifier.Workspace
	Version   uint64
	Value     identifier.Cost
}

// Totals go down from a root.
type Totals struct {
	Shard Shard             `cbor:"1,keyasint"`
	Root  identifier.Origin `cbor:"2,keyasint"`
	Rows  []Total           `cbor:"3,keyasint"`
}

// Node is one agent's part in all trees. It is not safe for concurrent use.
type Node struct {
	self   identifier.Origin
	shards [Shards]shardState
}

// shardState is one agent's part in one tree.
type shardState struct {
	// pending is what was counted here or taken over and is in no batch yet.
	pending map[identifier.Workspace]identifier.Cost
	// flying is the batch that has not been acknowledged, if any. It is sent
	// unchanged until it is.
	flying *Batch
	// to is where the flying batch goes, whatever tree is seen meanwhile: sent
	// elsewhere it could be counted twice.
	to     identifier.Target
	number uint64
	// taken is the number of the last batch taken over, by sender.
	taken map[identifier.Origin]uint64
	// rows are the totals by root.
	rows map[identifier.Origin]map[identifier.Workspace]Total
}

// New returns a node that has counted nothing.
func New(self identifier.Origin) *Node {
	n := &Node{self: self}
	for i := range n.shards {
		n.shards[i] = shardState{
			pending: map[identifier.Workspace]identifier.Cost{},
			taken:   map[identifier.Origin]uint64{},
			rows:    map[identifier.Origin]map[identifier.Workspace]Total{},
		}
	}
	return n
}

// Charge counts c of service for workspace w.
func (n *Node) Charge(w identifier.Workspace, c identifier.Cost) {
	n.shards[ShardOf(w)].pending[w] += c
}

// Service returns what is known here of the service of workspace w.
func (n *Node) Service(w identifier.Workspace) identifier.Cost {
	s := &n.shards[ShardOf(w)]
	sum := s.pending[w]
	if s.flying != nil {
		for _, inc := range s.flying.Increments {
			if inc.Workspace == w {
				sum += inc.Cost
			}
		}
	}
	for _, rows := range s.rows {
		sum += rows[w].Value
	}
	return sum
}

// NextBatch returns the batch to send and the agent to send it to, which is the parent
// or, for a batch that was not acknowledged yet, the parent of before. It
// returns nil if there is nothing. A root has an empty parent and starts no
// batch.
func (n *Node) NextBatch(sh Shard, parent identifier.Target) (*Batch, identifier.Target) {
	s := &n.shards[sh]
	if s.flying != nil || len(s.pending) == 0 || parent == "" {
		return s.flying, s.to
	}
	s.number++
	s.to = parent
	s.flying = &Batch{Shard: sh, From: n.self, Number: s.number, Increments: increments(s.pending)}
	clear(s.pending)
	return s.flying, s.to
}

// ParentLost notes that agent t has gone for good. A batch that it was sent goes to
// the next parent; if t had counted it before it died, it counts twice.
func (n *Node) ParentLost(sh Shard, t identifier.Target) {
	s := &n.shards[sh]
	if s.flying == nil || s.to != t {
		return
	}
	for _, inc := range s.flying.Increments {
		s.pending[inc.Workspace] += inc.Cost
	}
	s.flying = nil
}

func increments(pending map[identifier.Workspace]identifier.Cost) []Increment {
	incs := make([]Increment, 0, len(pending))
	for w, c := range pending {
		incs = append(incs, Increment{Workspace: w, Cost: c})
	}
	sort.Slice(incs, func(i, j int) bool { return incs[i].Workspace < incs[j].Workspace })
	return incs
}

// ApplyBatch takes over a batch of a child and returns the number to acknowledge. A
// repeat is acknowledged and not counted.
func (n *Node) ApplyBatch(b Batch) uint64 {
	s := &n.shards[b.Shard]
	if b.Number <= s.taken[b.From] {
		return b.Number
	}
	s.taken[b.From] = b.Number
	for _, inc := range b.Increments {
		s.pending[inc.Workspace] += inc.Cost
	}
	return b.Number
}

// HandleAck notes that the parent has taken over batch number.
func (n *Node) HandleAck(sh Shard, number uint64) {
	s := &n.shards[sh]
	if s.flying != nil && s.flying.Number == number {
		s.flying = nil
	}
}

// CommitPending has a root count what is pending under its own origin, and returns the
// totals that changed, or nil.
func (n *Node) CommitPending(sh Shard) *Totals {
	s := &n.shards[sh]
	if len(s.pending) == 0 {
		return nil
	}
	own := s.root(n.self)
	down := &Totals{Shard: sh, Root: n.self}
	for _, inc := range increments(s.pending) {
		t := own[inc.Workspace]
		t.Workspace = inc.Workspace
		t.Version++
		t.Value += inc.Cost
		own[inc.Workspace] = t
		down.Rows = append(down.Rows, t)
	}
	clear(s.pending)
	return down
}

// ApplyTotals merges totals and returns those that were news, to be passed on to
// the children, or nil.
func (n *Node) ApplyTotals(d Totals) *Totals {
	rows := n.shards[d.Shard].root(d.Root)
	news := &Totals{Shard: d.Shard, Root: d.Root}
	for _, t := range d.Rows {
		if t.Version > rows[t.Workspace].Version {
			rows[t.Workspace] = t
			news.Rows = append(news.Rows, t)
		}
	}
	if len(news.Rows) == 0 {
		return nil
	}
	return news
}

// AllTotals returns all totals of a shard, for a child that is new or was cut
// off.
func (n *Node) AllTotals(sh Shard) []Totals {
	var all []Totals
	for root, rows := range n.shards[sh].rows {
		d := Totals{Shard: sh, Root: root}
		for _, t := range rows {
			d.Rows = append(d.Rows, t)
		}
		sort.Slice(d.Rows, func(i, j int) bool { return d.Rows[i].Workspace < d.Rows[j].Workspace })
		all = append(all, d)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Root.String() < all[j].Root.String() })
	return all
}

func (s *shardState) root(o identifier.Origin) map[identifier.Workspace]Total {
	rows := s.rows[o]
	if rows == nil {
		rows = map[identifier.Workspace]Total{}
		s.rows[o] = rows
	}
	return rows
}
