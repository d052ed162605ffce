package relayer

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"buckthorndrum/identifier"
)

func TestAfterReturnsLaterChanges(t *testing.T) {
	g := NewWithT(t)
	l := &Log{}
	l.Reset(identifier.StorePosition{Revision: 10})
	_, ok := l.After(identifier.StorePosition{Revision: 10})
	g.Expect(ok).To(BeFalse())
	l.Append([]Change{{Key: "a", Position: 11, Value: []byte("1")}, {Key: "b", Position: 13, Removed: true}}, 15)
	set, ok := l.After(identifier.StorePosition{Revision: 11})
	g.Expect(ok).To(BeTrue())
	g.Expect(set).To(Equal(ChangeSet{After: 11, UpTo: 15, Changes: []Change{{Key: "b", Position: 13, Removed: true}}}))
	_, ok = l.After(identifier.StorePosition{Revision: 15})
	g.Expect(ok).To(BeFalse())
	_, ok = l.After(identifier.StorePosition{Revision: 0})
	g.Expect(ok).To(BeFalse(), "a router that has read nothing yet reads the store")
}

func TestDroppedOrLargeChangesAreIncomplete(t *testing.T) {
	g := NewWithT(t)
	l := &Log{}
	l.Reset(identifier.StorePosition{Revision: 10})
	set, _ := l.After(identifier.StorePosition{Revision: 9})
	g.Expect(set.Incomplete).To(BeTrue())
	l.Append([]Change{{Key: "large", Position: 11, Value: make([]byte, maxSentBytes+1)}}, 11)
	l.Append([]Change{{Key: "a", Position: 12}}, 12)
	set, _ = l.After(identifier.StorePosition{Revision: 10})
	g.Expect(set.Incomplete).To(BeTrue())
	g.Expect(set.Changes).To(BeEmpty())
	set, _ = l.After(identifier.StorePosition{Revision: 11})
	g.Expect(set.Incomplete).To(BeFalse())
	g.Expect(set.Changes).To(HaveLen(1))
}

// TestChangeSetsLeaveNoGap checks that a router that applies the change set after its
// position has the same keys as the store, unless the set is marked incomplete.
func TestChangeSetsLeaveNoGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Log{}
		l.Reset(identifier.StorePosition{Revision: 1})
		storePosition := int64(1)
		copied := map[string]int64{}
		stored := map[string]int64{}
		position := int64(1)
		for step := 0; step < 60; step++ {
			if rapid.Bool().Draw(t, "change") {
				n := rapid.IntRange(0, 30).Draw(t, "entries")
				var changes []Change
				for i := 0; i < n; i++ {
					storePosition++
					key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
					changes = append(changes, Change{Key: key, Position: storePosition, Value: make([]byte, rapid.IntRange(0, 900).Draw(t, "size"))})
					stored[key] = storePosition
				}
				l.Append(changes, storePosition)
				continue
			}
			set, ok := l.After(identifier.StorePosition{Revision: position})
			if !ok {
				if position != storePosition {
					t.Fatalf("no changes after position %d, the store is at %d", position, storePosition)
				}
				continue
			}
			if err := set.Check(); err != nil {
				t.Fatal(err)
			}
			position = set.UpTo
			if set.Incomplete {
				for k, v := range stored {
					copied[k] = v
				}
				continue
			}
			for _, c := range set.Changes {
				copied[c.Key] = c.Position
			}
			for k, v := range stored {
				if copied[k] != v {
					t.Fatalf("key %q was copied at position %d, the store has it at %d", k, copied[k], v)
				}
			}
		}
		if l.bytes > maxBytes || len(l.changes) > maxChanges {
			t.Fatalf("log holds %d changes of %d bytes, more than its bounds", len(l.changes), l.bytes)
		}
	})
}

func TestCheckRejectsChangesOutOfOrder(t *testing.T) {
	g := NewWithT(t)
	g.Expect(ChangeSet{After: 3, UpTo: 2}.Check()).NotTo(Succeed())
	g.Expect(ChangeSet{After: 1, UpTo: 5, Changes: []Change{{Position: 6}}}.Check()).NotTo(Succeed())
	g.Expect(ChangeSet{After: 1, UpTo: 5, Changes: []Change{{Position: 4}, {Position: 3}}}.Check()).NotTo(Succeed())
	g.Expect(ChangeSet{After: 1, UpTo: 5, Changes: []Change{{Position: 4}, {Position: 5}}}.Check()).To(Succeed())
}
