package tracker

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/admitter"
	"buckthorndrum/identifier"
)

const second = identifier.Instant(time.Second)

func named(id identifier.Target) admitter.Target {
	return admitter.Target{ID: id, Address: "a"}
}

func ids(t *Tracker, now identifier.Instant) []identifier.Target {
	t.changed = true
	list, _ := t.Targets(now)
	found := make([]identifier.Target, len(list))
	for i, v := range list {
		found[i] = v.ID
	}
	return found
}

func TestRemovedTargetIsGoneAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{GracePeriod: 2 * time.Second})
	s.Set("a", named("a"))
	s.Set("b", named("b"))
	s.Remove(second, "a")
	s.Remove(second, "never")
	g.Expect(ids(s, second)).To(Equal([]identifier.Target{"b"}))
}

func TestEntriesMayComeBackAfterAnOutage(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{GracePeriod: 2 * time.Second})
	s.Set("a", named("a"))
	s.Set("b", named("b"))
	g.Expect(s.StoreFailed(second)).To(BeTrue())
	g.Expect(s.StoreFailed(2 * second)).To(BeFalse())
	now := 10 * second
	g.Expect(s.StoreAnswered(now)).To(Equal(9 * time.Second))
	s.Retain(now, map[string]bool{})
	g.Expect(ids(s, now)).To(HaveLen(2))
	now += second
	s.Set("a", named("a"))
	g.Expect(ids(s, now)).To(HaveLen(2))
	now += second
	g.Expect(ids(s, now)).To(Equal([]identifier.Target{"a"}), "what is still missing is gone")
	s.Remove(now, "a")
	g.Expect(ids(s, now)).To(BeEmpty(), "and the outage is over")
}

func TestOnlyChangesAreTold(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{})
	s.Set("a", named("a"))
	_, changed := s.Targets(second)
	g.Expect(changed).To(BeTrue())
	s.Set("a", named("a"))
	_, changed = s.Targets(second)
	g.Expect(changed).To(BeFalse())
	s.Invalidate("a")
	list, changed := s.Targets(second)
	g.Expect(changed).To(BeTrue())
	g.Expect(list).To(BeEmpty())
}
