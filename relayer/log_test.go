package relayer

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestAfterReturnsLaterChanges(t *testing.T) {
	g := NewWithT(t)
	l := &Log{}
	l.Reset(10)
	_, ok := l.After(10)
	g.Expect(ok).To(BeFalse())
	l.Append([]Change{{Key: "a", Position: 11, Value: []byte("1")}, {Key: "b", Position: 13, Removed: true}}, 15)
	set, ok := l.After(11)
	g.Expect(ok).To(BeTrue())
	g.Expect(set).To(Equal(ChangeSet{After: 11, UpTo: 15, Changes: []Change{{Key: "b", Position: 13, Removed: true}}}))
	_, ok = l.After(15)
	g.Expect(ok).To(BeFalse())
	_, ok = l.After(0)
	g.Expect(ok).To(BeFalse(), "who has read nothing yet reads the store")
}

func TestDroppedOrLargeChangesAreIncomplete(t *testing.T) {
	g := NewWithT(t)
	l := &Log{}
	l.Reset(10)
	set, _ := l.After(9)
	g.Expect(set.Incomplete).To(BeTrue())
	l.Append([]Change{{Key: "large", Position: 11, Value: make([]byte, maxSentBytes+1)}}, 11)
	l.Append([]Change{{Key: "a", Position: 12}}, 12)
	set, _ = l.After(10)
	g.Expect(set.Incomplete).To(BeTrue())
	g.Expect(set.Changes).To(BeEmpty())
	set, _ = l.After(11)
	g.Expect(set.Incomplete).To(BeFalse())
	g.Expect(set.Changes).To(HaveLen(1))
}

// Who is told everything after its position has the same as who was told all
// along, or knows that something is missing.
func TestChangeSetsLeaveNoGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Log{}
		l.Reset(1)
		position := int64(1)
		copied := map[string]int64{}
		stored := map[string]int64{}
		at := int64(1)
		for step := 0; step < 60; step++ {
			if rapid.Bool().Draw(t, "change") {
				n := rapid.IntRange(0, 30).Draw(t, "entries")
				var list []Change
				for i := 0; i < n; i++ {
					position++
					key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
					list = append(list, Change{Key: key, Position: position, Value: make([]byte, rapid.IntRange(0, 900).Draw(t, "size"))})
					stored[key] = position
				}
				l.Append(list, position)
				continue
			}
			set, ok := l.After(at)
			if !ok {
				if at != position {
					t.Fatalf("no news at %d, the store is at %d", at, position)
				}
				continue
			}
			if err := set.Check(); err != nil {
				t.Fatal(err)
			}
			at = set.UpTo
			if set.Incomplete {
				for k, v := range stored {
					copied[k] = v
				}
				continue
			}
			for _, e := range set.Changes {
				copied[e.Key] = e.Position
			}
			for k, v := range stored {
				if copied[k] != v {
					t.Fatalf("key %q is known at %d, the store has %d", k, copied[k], v)
				}
			}
		}
		if l.bytes > maxBytes || len(l.changes) > maxChanges {
			t.Fatalf("%d entries of %d bytes are kept", len(l.changes), l.bytes)
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
