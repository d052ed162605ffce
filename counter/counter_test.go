package counter_test

import (
	"testing"

	"pgregory.net/rapid"

	"buckthorndrum/counter"
	"buckthorndrum/identifier"
	"buckthorndrum/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m, 2000) }

var workspaces = []identifier.Workspace{"a", "b", "c"}

func origin(i int) identifier.Origin {
	return identifier.Origin{Target: identifier.Target(rune('a' + i)), Incarnation: 1}
}

// TestConvergence charges, refunds and rebases at several processes whose messages are
// lost, repeated and reordered. It checks that all levels agree, and that none is
// negative, once all rows have been exchanged.
func TestConvergence(t *testing.T) {
	const processes = 4
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]*counter.Table, processes)
		cursors := make([][processes]counter.Cursor, processes)
		for i := range tables {
			tables[i] = counter.New(counter.Config{Self: origin(i)})
		}
		var rows []counter.Row
		pick := func(what string) int { return rapid.IntRange(0, processes-1).Draw(t, what) }
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			i, w := pick("process"), workspaces[rapid.IntRange(0, 2).Draw(t, "workspace")]
			c := identifier.Cost(rapid.IntRange(0, 100).Draw(t, "cost"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				tables[i].Charge(w, c)
			case 1:
				tables[i].Refund(w, c)
			case 2:
				tables[i].Rebase(w, c)
			case 3:
				sent := tables[i].Next(&cursors[i][pick("peer")], 3, rapid.Bool().Draw(t, "relay"))
				rows = append(rows, sent...) // Sent, and perhaps lost or late.
			case 4:
				if len(rows) > 0 {
					tables[i].Merge(1, rows[rapid.IntRange(0, len(rows)-1).Draw(t, "row")])
				}
			}
		}
		exchangeAll(tables)
		for _, w := range workspaces {
			want := tables[0].Level(w)
			if want < 0 {
				t.Fatalf("level of %s is %d", w, want)
			}
			for i := range tables {
				if got := tables[i].Level(w); got != want {
					t.Fatalf("process %d has level %d of %s, process 0 has %d", i, got, w, want)
				}
			}
		}
	})
}

// exchangeAll sends all rows of each process to all others, twice, as periods may change in
// the first round.
func exchangeAll(tables []*counter.Table) {
	for range 2 {
		for _, from := range tables {
			for _, to := range tables {
				var c counter.Cursor
				for !c.CaughtUp() {
					for _, r := range from.Next(&c, 2, true) {
						to.Merge(1, r)
					}
				}
			}
		}
	}
}

// TestSum compares the levels in one period without message faults with a plain sum.
func TestSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := counter.New(counter.Config{Self: origin(0)}), counter.New(counter.Config{Self: origin(1)})
		var sum identifier.Cost
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			table := a
			if rapid.Bool().Draw(t, "second") {
				table = b
			}
			c := identifier.Cost(rapid.IntRange(1, 100).Draw(t, "charge"))
			refund := identifier.Cost(rapid.IntRange(0, int(c)).Draw(t, "refund"))
			table.Charge("w", c)
			table.Refund("w", refund)
			sum += c - refund
		}
		exchangeAll([]*counter.Table{a, b})
		if a.Level("w") != sum || b.Level("w") != sum {
			t.Fatalf("levels are %d and %d, the sum is %d", a.Level("w"), b.Level("w"), sum)
		}
	})
}
