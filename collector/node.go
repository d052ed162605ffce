package collector

import (
	"sort"

	"buckthorndrum/identifier"
)

// Increment is service that was counted but is not yet in the root's totals.
type Increment struct {
	_         struct{} `cbor:",toarray"`
	Workspace identifier.Workspace
	// Cost is negative if it corrects an estimate that was too high.
	Cost identifier.Cost
}

// Batch is a set of increments sent to the parent. Its number lets the receiver
// recognize a repeat.
type Batch struct {
	Shard Shard             `cbor:"1,keyasint"`
	From  identifier.Origin `cbor:"2,keyasint"`
	// Number increases by one with each new batch of one sender and shard.
	Number     uint64      `cbor:"3,keyasint"`
	Increments []Increment `cbor:"4,keyasint"`
}

// Total is the service that one root has counted for a workspace. Value
// decreases only by negative increments. Of two totals the one with the higher
// Version is later.
type Total struct {
	_         struct{} `cbor:",toarray"`
	Workspace identifier.Workspace
	Version   uint64
	Value     identifier.Cost
}

// Totals are totals of one root, sent from parents to children.
type Totals struct {
	Shard Shard             `cbor:"1,keyasint"`
	Root  identifier.Origin `cbor:"2,keyasint"`
	Rows  []Total           `cbor:"3,keyasint"`
}

// Node is the state of one agent in the trees of all shards. It is not safe for
// concurrent use.
type Node struct {
	self   identifier.Origin
	shards [Shards]shardState
}

// shardState is the state of one agent in one tree.
type shardState struct {
	// pending is the service that was counted here or taken over from children and is
	// in no batch yet.
	pending map[identifier.Workspace]identifier.Cost
	// inFlight is the batch that is not yet acknowledged, nil if there is none. It is
	// sent again unchanged until it is acknowledged.
	inFlight *Batch
	// inFlightTo is the agent to which inFlight is sent, even if the tree has changed
	// since: sent to another agent, the batch could be counted twice.
	inFlightTo identifier.Target
	lastNumber uint64
	// lastApplied is the number of the last batch taken over from each sender.
	lastApplied map[identifier.Origin]uint64
	// rows are the totals by root and workspace.
	rows map[identifier.Origin]map[identifier.Workspace]Total
}

// New returns a node that has counted nothing.
func New(self identifier.Origin) *Node {
	n := &Node{self: self}
	for i := range n.shards {
		n.shards[i] = shardState{
			pending:     map[identifier.Workspace]identifier.Cost{},
			lastApplied: map[identifier.Origin]uint64{},
			rows:        map[identifier.Origin]map[identifier.Workspace]Total{},
		}
	}
	return n
}

// Charge adds c to the service counted for workspace w.
func (n *Node) Charge(w identifier.Workspace, c identifier.Cost) {
	n.shards[ShardOf(w)].pending[w] += c
}

// Service returns the service of workspace w as far as this agent knows it.
func (n *Node) Service(w identifier.Workspace) identifier.Cost {
	s := &n.shards[ShardOf(w)]
	sum := s.pending[w]
	if s.inFlight != nil {
		for _, inc := range s.inFlight.Increments {
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

// NextBatch returns the batch to send and the agent to send it to. That is the
// batch that is still unacknowledged, with the agent to which it was sent
// before, or else a new batch for parent. NextBatch returns nil if there is
// nothing to send. For the root, parent is empty and no new batch is made.
func (n *Node) NextBatch(sh Shard, parent identifier.Target) (*Batch, identifier.Target) {
	s := &n.shards[sh]
	if s.inFlight != nil || len(s.pending) == 0 || parent == "" {
		return s.inFlight, s.inFlightTo
	}
	s.lastNumber++
	s.inFlightTo = parent
	s.inFlight = &Batch{Shard: sh, From: n.self, Number: s.lastNumber, Increments: increments(s.pending)}
	clear(s.pending)
	return s.inFlight, s.inFlightTo
}

// ParentLost records that agent t is gone for good. If the batch in flight was
// sent to t, its increments go into the next batch. If t passed them on or
// counted them before it died, they count twice.
func (n *Node) ParentLost(sh Shard, t identifier.Target) {
	s := &n.shards[sh]
	if s.inFlight == nil || s.inFlightTo != t {
		return
	}
	for _, inc := range s.inFlight.Increments {
		s.pending[inc.Workspace] += inc.Cost
	}
	s.inFlight = nil
}

func increments(pending map[identifier.Workspace]identifier.Cost) []Increment {
	incs := make([]Increment, 0, len(pending))
	for w, c := range pending {
		incs = append(incs, Increment{Workspace: w, Cost: c})
	}
	sort.Slice(incs, func(i, j int) bool { return incs[i].Workspace < incs[j].Workspace })
	return incs
}

// ApplyBatch takes over a batch of a child and returns the number to
// acknowledge. A repeated batch is acknowledged but not counted.
func (n *Node) ApplyBatch(b Batch) uint64 {
	s := &n.shards[b.Shard]
	if b.Number <= s.lastApplied[b.From] {
		return b.Number
	}
	s.lastApplied[b.From] = b.Number
	for _, inc := range b.Increments {
		s.pending[inc.Workspace] += inc.Cost
	}
	return b.Number
}

// HandleAck records that the parent has taken over the batch with the given
// number.
func (n *Node) HandleAck(sh Shard, number uint64) {
	s := &n.shards[sh]
	if s.inFlight != nil && s.inFlight.Number == number {
		s.inFlight = nil
	}
}

// CommitPending adds the pending service to the totals under this agent's own
// origin and returns the totals that changed, or nil. Only a root calls it.
func (n *Node) CommitPending(sh Shard) *Totals {
	s := &n.shards[sh]
	if len(s.pending) == 0 {
		return nil
	}
	rows := s.rowsOf(n.self)
	totals := &Totals{Shard: sh, Root: n.self}
	for _, inc := range increments(s.pending) {
		t := rows[inc.Workspace]
		t.Workspace = inc.Workspace
		t.Version++
		t.Value += inc.Cost
		rows[inc.Workspace] = t
		totals.Rows = append(totals.Rows, t)
	}
	clear(s.pending)
	return totals
}

// ApplyTotals merges received totals and returns those that were newer than the
// known ones, to be passed on to the children. It returns nil if there are none.
func (n *Node) ApplyTotals(received Totals) *Totals {
	rows := n.shards[received.Shard].rowsOf(received.Root)
	changed := &Totals{Shard: received.Shard, Root: received.Root}
	for _, t := range received.Rows {
		if t.Version > rows[t.Workspace].Version {
			rows[t.Workspace] = t
			changed.Rows = append(changed.Rows, t)
		}
	}
	if len(changed.Rows) == 0 {
		return nil
	}
	return changed
}

// AllTotals returns all totals of a shard, for a child that is new or was
// disconnected.
func (n *Node) AllTotals(sh Shard) []Totals {
	var all []Totals
	for root, rows := range n.shards[sh].rows {
		totals := Totals{Shard: sh, Root: root}
		for _, t := range rows {
			totals.Rows = append(totals.Rows, t)
		}
		sort.Slice(totals.Rows, func(i, j int) bool { return totals.Rows[i].Workspace < totals.Rows[j].Workspace })
		all = append(all, totals)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Root.String() < all[j].Root.String() })
	return all
}

func (s *shardState) rowsOf(o identifier.Origin) map[identifier.Workspace]Total {
	rows := s.rows[o]
	if rows == nil {
		rows = map[identifier.Workspace]Total{}
		s.rows[o] = rows
	}
	return rows
}
