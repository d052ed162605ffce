package reconciler

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"buckthorndrum/identifier"
	"buckthorndrum/relayer"
)

const start = identifier.Instant(time.Hour)

func TestKeptEntryIsRemovedUnlessItIsWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Keep("a", start.Add(2*time.Second))
	r.Keep("b", start.Add(time.Second))
	g.Expect(r.Keeps("a")).To(BeTrue())
	g.Expect(r.NextDue()).To(Equal(start.Add(time.Second)))
	g.Expect(r.Due(start)).To(BeEmpty())
	r.RecordWrite("a")
	g.Expect(r.Due(start.Add(time.Minute))).To(Equal([]relayer.Change{{Key: "b", Removed: true}}))
	g.Expect(r.NextDue()).To(BeZero())
}

func TestHiddenEntryCountsOnceItIsWrittenAgainOrDue(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Hide(relayer.Change{Key: "a", Position: 7}, start.Add(time.Second))
	r.Hide(relayer.Change{Key: "b", Position: 7}, 0)
	g.Expect(r.Hides("a", 7)).To(BeTrue())
	g.Expect(r.Hides("a", 8)).To(BeFalse(), "it was written since")
	g.Expect(r.Due(start.Add(time.Hour))).To(Equal([]relayer.Change{{Key: "a", Position: 7}}))
	g.Expect(r.Hides("a", 7)).To(BeFalse())
	g.Expect(r.Hides("b", 7)).To(BeTrue(), "it has no end but a write")
	r.RecordWrite("b")
	g.Expect(r.Hides("b", 7)).To(BeFalse())
}

func TestHiddenEntryThatListLacksIsRemoved(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Hide(relayer.Change{Key: "a", Position: 7}, start.Add(time.Second))
	r.Hide(relayer.Change{Key: "b", Position: 7}, start.Add(time.Second))
	r.Retain(start, map[string]bool{"b": true})
	g.Expect(r.WasRemoved(start, "a")).To(BeTrue())
	g.Expect(r.Due(start.Add(time.Hour))).To(Equal([]relayer.Change{{Key: "b", Position: 7}}))
}

func TestEntriesOfOlderEraAreNotHidden(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Hide(relayer.Change{Key: "a", Position: 7}, start.Add(time.Second))
	r.BeginEra()
	g.Expect(r.Hides("a", 3)).To(BeFalse())
	g.Expect(r.NextDue()).To(BeZero())
}

func TestRemovalsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.RecordRemoval(start, "a")
	g.Expect(r.WasRemoved(start.Add(removalMemory), "a")).To(BeTrue())
	g.Expect(r.WasRemoved(start.Add(removalMemory+1), "a")).To(BeFalse())
	r.RecordRemoval(start, "b")
	r.RecordWrite("b")
	g.Expect(r.WasRemoved(start, "b")).To(BeFalse())
}

// Whatever happens, an entry is never both kept and hidden, nothing is held beyond its end, and
// the memory is bounded.
func TestNothingIsHeldForEver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := New(), start
		key := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			k := key.Draw(t, "key")
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			until := now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "for")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				r.Keep(k, until)
			case 1:
				r.Hide(relayer.Change{Key: k, Position: 1}, until)
			case 2:
				r.RecordWrite(k)
			case 3:
				r.RecordRemoval(now, k)
			case 4:
				for _, c := range r.Due(now) {
					if r.Keeps(c.Key) || r.Hides(c.Key, c.Position) {
						t.Fatalf("%s is held after it was due", c.Key)
					}
				}
				if next := r.NextDue(); next != 0 && next <= now {
					t.Fatalf("something was due at %d", next)
				}
			}
			if r.Keeps(k) && r.Hides(k, 1) {
				t.Fatalf("%s is kept and hidden", k)
			}
		}
		r.Due(now.Add(time.Hour))
		if r.NextDue() != 0 {
			t.Fatal("an entry is held for ever")
		}
	})
}

func TestRemovalsAreBounded(t *testing.T) {
	g := NewWithT(t)
	r := New()
	for n := range maxRemovals + 10 {
		r.RecordRemoval(start, string(rune(n)))
	}
	g.Expect(len(r.removed)).To(BeNumerically("<=", maxRemovals))
}
