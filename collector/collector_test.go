package collector_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"buckthorndrum/collector"
	"buckthorndrum/identifier"
	"buckthorndrum/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m, 1000) }

const numMembers = 12

var workspaces = []identifier.Workspace{"a", "b", "c", "d"}

func memberName(i int) identifier.Target { return identifier.Target(fmt.Sprintf("t%02d", i)) }

// TestSums charges random agents while messages are lost, repeated and late and
// while trees differ between agents. It checks that in the end every agent knows
// the exact sum.
func TestSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := map[identifier.Target]*collector.Node{}
		var all []identifier.Target
		for i := range numMembers {
			all = append(all, memberName(i))
			nodes[memberName(i)] = collector.New(identifier.Origin{Target: memberName(i), Incarnation: 1})
		}
		memberLists := [][]identifier.Target{all, all[1:], all[:numMembers-2]}
		sums := map[identifier.Workspace]identifier.Cost{}
		var deliveries []delivery
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			sender := memberName(rapid.IntRange(0, numMembers-1).Draw(t, "agent"))
			w := workspaces[rapid.IntRange(0, len(workspaces)-1).Draw(t, "workspace")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				c := identifier.Cost(rapid.IntRange(-5, 50).Draw(t, "cost"))
				nodes[sender].Charge(w, c)
				sums[w] += c
			case 2:
				list := memberLists[rapid.IntRange(0, 2).Draw(t, "view")]
				deliveries = append(deliveries, sendBatch(t, nodes, collector.NewTree(collector.ShardOf(w), list), sender, collector.ShardOf(w))...)
			case 3:
				if len(deliveries) > 0 {
					m := deliveries[rapid.IntRange(0, len(deliveries)-1).Draw(t, "repeat")]
					_ = nodes[m.to].ApplyBatch(m.batch) // The acknowledgement is lost.
				}
			}
		}
		propagateAll(nodes, all)
		for _, w := range workspaces {
			for _, m := range all {
				if got := nodes[m].Service(w); got != sums[w] {
					t.Fatalf("%s has %d for %s, the sum is %d", m, got, w, sums[w])
				}
			}
		}
	})
}

// delivery is a batch on its way. It may arrive late and twice.
type delivery struct {
	to    identifier.Target
	batch collector.Batch
}

// sendBatch sends one batch to the sender's parent in the tree. The batch or its
// acknowledgement may be lost.
func sendBatch(t *rapid.T, nodes map[identifier.Target]*collector.Node, tree *collector.Tree, sender identifier.Target, sh collector.Shard) []delivery {
	p, ok := tree.Parent(sender)
	if !ok {
		return nil
	}
	b, to := nodes[sender].NextBatch(sh, p)
	if b == nil {
		return nil
	}
	switch rapid.IntRange(0, 3).Draw(t, "fate") {
	case 0: // The batch is lost, or late.
	case 1:
		_ = nodes[to].ApplyBatch(*b)
	default:
		nodes[sender].HandleAck(sh, nodes[to].ApplyBatch(*b))
	}
	return []delivery{{to, *b}}
}

// propagateAll passes all increments up and all totals down the same tree,
// without losses.
func propagateAll(nodes map[identifier.Target]*collector.Node, all []identifier.Target) {
	for _, w := range workspaces {
		sh := collector.ShardOf(w)
		tree := collector.NewTree(sh, all)
		for range 2 * numMembers {
			for _, m := range all {
				p, ok := tree.Parent(m)
				if b, to := nodes[m].NextBatch(sh, p); b != nil {
					nodes[m].HandleAck(sh, nodes[to].ApplyBatch(*b))
				}
				if !ok {
					_ = nodes[m].CommitPending(sh)
				}
			}
		}
		for range numMembers {
			for _, m := range all {
				for _, c := range tree.Children(m) {
					for _, d := range nodes[m].AllTotals(sh) {
						_ = nodes[c].ApplyTotals(d)
					}
				}
			}
		}
	}
}

// TestTree checks that every member but one has a parent, that parents and
// children agree, and that inner nodes are spread over the members.
func TestTree(t *testing.T) {
	var all []identifier.Target
	for i := range 775 {
		all = append(all, identifier.Target(fmt.Sprintf("t%04d", i)))
	}
	childCounts := map[identifier.Target]int{}
	for sh := range collector.Shard(collector.Shards) {
		tree := collector.NewTree(sh, all)
		roots := 0
		for _, m := range all {
			if _, ok := tree.Parent(m); !ok {
				roots++
			}
			childCounts[m] += len(tree.Children(m))
			for _, c := range tree.Children(m) {
				if p, _ := tree.Parent(c); p != m {
					t.Fatalf("%s is a child of %s and has parent %s", c, m, p)
				}
			}
		}
		if roots != 1 {
			t.Fatalf("shard %d has %d roots", sh, roots)
		}
	}
	for m, n := range childCounts {
		if n > 3*collector.Shards {
			t.Fatalf("%s has %d children over all trees", m, n)
		}
	}
}
