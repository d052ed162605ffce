package collector

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"buckthorndrum/identifier"
)

// Shard is the number of one part of the workspaces, from 0 to Shards-1.
type Shard uint16

const (
	// Shards is the number of shards of a pool.
	Shards = 64
	// Fanout is the maximum number of children of an agent in one tree.
	Fanout = 8
)

// ShardOf returns the shard of a workspace.
func ShardOf(w identifier.Workspace) Shard {
	return Shard(xxhash.Sum64String(string(w)) % Shards)
}

// Tree is the tree of a pool's agents for one shard: a heap in which each node
// has up to Fanout children. Agents that know different members build different
// trees for a while. That costs messages but loses no counts.
type Tree struct {
	order []identifier.Target
	index map[identifier.Target]int
}

// NewTree returns the tree of shard s over the members. The order of the members
// does not matter.
func NewTree(s Shard, members []identifier.Target) *Tree {
	t := &Tree{order: append([]identifier.Target(nil), members...), index: map[identifier.Target]int{}}
	rank := make(map[identifier.Target]uint64, len(members))
	for _, m := range members {
		rank[m] = rankOf(s, m)
	}
	sort.Slice(t.order, func(i, j int) bool {
		if a, b := rank[t.order[i]], rank[t.order[j]]; a != b {
			return a < b
		}
		return t.order[i] < t.order[j]
	})
	for i, m := range t.order {
		t.index[m] = i
	}
	return t
}

func rankOf(s Shard, m identifier.Target) uint64 {
	var b [2]byte
	binary.LittleEndian.PutUint16(b[:], uint16(s))
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(string(m))
	return h.Sum64()
}

// Order returns the members level by level, starting with the root.
func (t *Tree) Order() []identifier.Target { return t.order }

// Parent returns the parent of m. It returns false if m is the root or no
// member.
func (t *Tree) Parent(m identifier.Target) (identifier.Target, bool) {
	i, known := t.index[m]
	if !known || i == 0 {
		return "", false
	}
	return t.order[(i-1)/Fanout], true
}

// Children returns the children of m.
func (t *Tree) Children(m identifier.Target) []identifier.Target {
	i, known := t.index[m]
	if !known {
		return nil
	}
	first := i*Fanout + 1
	if first >= len(t.order) {
		return nil
	}
	return t.order[first:min(first+Fanout, len(t.order))]
}
