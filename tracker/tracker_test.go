package tracker

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/admitter"
	"buckthorndrum/identifier"
)

const second = identifier.Instant(time.Second)

func testTarget(id identifier.Target) admitter.Target {
	return admitter.Target{ID: id, Address: "a"}
}

// targetIDs returns the IDs of the listed targets, even if the list has not changed.
func targetIDs(t *Tracker, now identifier.Instant) []identifier.Target {
	t.changed = true
	list, _ := t.Targets(now)
	ids := make([]identifier.Target, len(list))
	for i, v := range list {
		ids[i] = v.ID
	}
	return ids
}

func TestRemovedTargetIsDroppedAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{GracePeriod: 2 * time.Second})
	s.Set("a", testTarget("a"))
	s.Set("b", testTarget("b"))
	s.Remove(second, "a")
	s.Remove(second, "never")
	g.Expect(targetIDs(s, second)).To(Equal([]identifier.Target{"b"}))
}

func TestMissingEntriesAreKeptForGracePeriodAfterOutage(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{GracePeriod: 2 * time.Second})
	s.Set("a", testTarget("a"))
	s.Set("b", testTarget("b"))
	g.Expect(s.StoreFailed(second)).To(BeTrue())
	g.Expect(s.StoreFailed(2 * second)).To(BeFalse())
	now := 10 * second
	g.Expect(s.StoreAnswered(now)).To(Equal(9 * time.Second))
	s.Retain(now, map[string]bool{})
	g.Expect(targetIDs(s, now)).To(HaveLen(2))
	now += second
	s.Set("a", testTarget("a"))
	g.Expect(targetIDs(s, now)).To(HaveLen(2))
	now += second
	g.Expect(targetIDs(s, now)).To(Equal([]identifier.Target{"a"}), "entries that are still missing are dropped")
	s.Remove(now, "a")
	g.Expect(targetIDs(s, now)).To(BeEmpty(), "the grace period is over")
}

func TestTargetsReportsOnlyChanges(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{})
	s.Set("a", testTarget("a"))
	_, changed := s.Targets(second)
	g.Expect(changed).To(BeTrue())
	s.Set("a", testTarget("a"))
	_, changed = s.Targets(second)
	g.Expect(changed).To(BeFalse())
	s.Invalidate("a")
	list, changed := s.Targets(second)
	g.Expect(changed).To(BeTrue())
	g.Expect(list).To(BeEmpty())
}
