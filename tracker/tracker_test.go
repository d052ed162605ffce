package tracker

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/admitter"
	"buckthorndrum/identifier"
)

const second = identifier.Instant(time.Second)

// testConfig is that of targets that write their entries every 1.2 s.
var testConfig = Config{GracePeriod: 2 * time.Second, MinOutage: 1800 * time.Millisecond}

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
	s := New(testConfig)
	s.Set("a", testTarget("a"))
	s.Set("b", testTarget("b"))
	g.Expect(s.StoreFailed(second, second, 0)).To(BeTrue())
	g.Expect(s.StoreFailed(2*second, 2*second, time.Second)).To(BeFalse())
	now := 10 * second
	g.Expect(s.StoreAnswered(now, 9*time.Second)).To(Equal(9 * time.Second))
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

// Against review/12: a watch that is cut and made again counted as an outage, after which
// targets that had left were kept for two seconds.
func TestRemovalAfterShortFailureIsAppliedAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := New(testConfig)
	s.Set("a", testTarget("a"))
	s.StoreFailed(second, second, time.Second)
	now := second.Add(200 * time.Millisecond)
	g.Expect(s.StoreAnswered(now, 1200*time.Millisecond)).To(Equal(200 * time.Millisecond))
	s.Remove(now, "a")
	g.Expect(targetIDs(s, now)).To(BeEmpty())
}

// Against the reverse of review/12: entries that expired in an outage were dropped by the
// first answer after it, as the grace period began only behind the changes in it.
func TestEntriesThatExpiredInOutageAreKept(t *testing.T) {
	answered := func(s *Tracker, now identifier.Instant) { s.StoreAnswered(now, 4*time.Second) }
	throughPeers := func(s *Tracker, now identifier.Instant) { s.PeerAnswered(now, 4*time.Second) }
	afterProof := func(s *Tracker, now identifier.Instant) { s.RegainedThroughPeers(now) }
	for name, hear := range map[string]func(*Tracker, identifier.Instant){"answer": answered, "changes of a peer": throughPeers, "proof of a peer": afterProof} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := New(testConfig)
			s.Set("a", testTarget("a"))
			s.StoreFailed(second, second, 0)
			s.StoreFailed(4*second, 4*second, 3*time.Second)
			now := 5 * second
			hear(s, now)
			s.Remove(now, "a")
			g.Expect(targetIDs(s, now)).To(HaveLen(1))
			g.Expect(s.NextDrop()).To(Equal(7 * second))
			g.Expect(targetIDs(s, 7*second)).To(BeEmpty())
		})
	}
}

// An outage that only this router has lets no entry expire: what its peers report as removed
// is gone.
func TestOutageOfOneRouterKeepsNoTarget(t *testing.T) {
	g := NewWithT(t)
	s := New(testConfig)
	s.Set("a", testTarget("a"))
	s.Set("b", testTarget("b"))
	s.StoreFailed(second, second, 100*time.Millisecond)
	s.StoreFailed(8*second, 8*second, 300*time.Millisecond)
	s.PeerAnswered(9*second, 200*time.Millisecond)
	s.Remove(9*second, "a")
	g.Expect(targetIDs(s, 9*second)).To(Equal([]identifier.Target{"b"}))
	g.Expect(s.RegainedThroughPeers(10 * second)).To(Equal(9 * time.Second))
	s.Remove(10*second, "b")
	g.Expect(targetIDs(s, 10*second)).To(BeEmpty())
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
