package assigner

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"buckthorndrum/identifier"
)

const (
	start  = identifier.Instant(time.Hour)
	settle = 2 * time.Second
)

type weights = map[identifier.Software]int

func streamID(n int) identifier.Request { return identifier.Request(fmt.Sprintf("%016x", n)) }

func TestPlanDividesStreamsByWeight(t *testing.T) {
	g := NewWithT(t)
	p := Plan{Number: 1, Weights: weights{"1": 3, "2": 1}}
	n := 0
	for i := range 20000 {
		if p.Pick(streamID(i)) == "2" {
			n++
		}
	}
	g.Expect(n).To(BeNumerically("~", 5000, 250))
}

func TestNewVersionTakesOnlyItsPart(t *testing.T) {
	g := NewWithT(t)
	before, after := Plan{Number: 1, Weights: weights{"1": 8, "2": 1}}, Plan{Number: 2, Weights: weights{"1": 8, "2": 1, "3": 1}}
	for i := range 2000 {
		was, is := before.Pick(streamID(i)), after.Pick(streamID(i))
		g.Expect(is == was || is == "3").To(BeTrue(), "no stream passes between versions that stay")
	}
}

// routers simulates routers that learn each plan at most settle after it was made.
func TestNoRouterTakesStreamUpAtAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		var made []Plan
		cfg := Config{Settle: settle}
		list := make([]*History, 3)
		knows := make([]int, len(list))
		behind := make([]identifier.Instant, len(list))
		for i := range list {
			list[i] = NewHistory(cfg)
		}
		began := map[identifier.Request]identifier.Software{}
		beganAt := map[identifier.Request]identifier.Instant{}
		learn := func(i int) {
			list[i].Learn(now, made)
			knows[i] = len(made)
		}
		for n := range rapid.IntRange(10, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "plan") == 0 {
				made = append(made, Plan{Number: uint64(len(made) + 1), Weights: drawWeights(t)})
			}
			for i, h := range list {
				if knows[i] < len(made) && behind[i] == 0 {
					behind[i] = now
				}
				if knows[i] < len(made) && (now.Sub(behind[i]) >= settle-1500*time.Millisecond || rapid.Bool().Draw(t, "learns")) {
					learn(i)
					behind[i] = 0
				}
				if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
					hub := list[(i+1)%len(list)]
					list[i] = NewHistory(cfg)
					list[i].Learn(now, hub.DatedPlans(now))
					learn(i)
					behind[i] = 0
					continue
				}
				id := streamID(n*10 + i)
				if v, ok := h.Pick(now, id); ok {
					began[id], beganAt[id] = v, now
				}
			}
			for id, v := range began {
				checkTakeUps(t, list, id, v, beganAt[id])
				if now.Sub(beganAt[id]) > 20*time.Second {
					delete(began, id)
				}
			}
		}
	})
}

// drawWeights draws the weights of a plan of one or two versions.
func drawWeights(t *rapid.T) weights {
	w := weights{}
	for range 2 {
		v := identifier.Software(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "version"))
		w[v] = 1 + rapid.IntRange(0, 9).Draw(t, "weight")
	}
	return w
}

// checkTakeUps fails the test if a router takes a stream up at another version than v, which
// began it.
func checkTakeUps(t *rapid.T, routers []*History, id identifier.Request, v identifier.Software, beganAt identifier.Instant) {
	for i, h := range routers {
		since := beganAt.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "before")) * time.Millisecond)
		if found, ok := h.Began(since, id); ok && found != v {
			t.Fatalf("stream %s began at version %s, and router %d takes it up at %s", id, v, i, found)
		}
	}
}

func TestStreamsOfOneVersionAreTakenUpAfterRestart(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(Config{Settle: settle})
	_, ok := h.Began(start, "a")
	g.Expect(ok).To(BeFalse(), "nothing is known")
	h.Learn(start, []Plan{{Number: 7, Weights: weights{"1": 1}}})
	v, ok := h.Pick(start, "a")
	g.Expect(ok).To(BeTrue())
	g.Expect(v).To(BeEquivalentTo("1"))
	v, ok = h.Began(start.Add(-time.Minute), "a")
	g.Expect(ok).To(BeTrue())
	g.Expect(v).To(BeEquivalentTo("1"))
}

func TestPlanIsInForceOnceAllRoutersKnowIt(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(Config{Settle: settle})
	h.Learn(start, []Plan{{Number: 1, Weights: weights{"1": 1}}})
	h.Learn(start.Add(time.Second), []Plan{{Number: 1, Weights: weights{"1": 1}}, {Number: 2, Weights: weights{"2": 1}}})
	pick := func(at time.Duration) identifier.Software {
		v, ok := h.Pick(start.Add(at), "a")
		g.Expect(ok).To(BeTrue())
		return v
	}
	g.Expect(pick(2900 * time.Millisecond)).To(BeEquivalentTo("1"))
	g.Expect(pick(3 * time.Second)).To(BeEquivalentTo("2"))
	_, ok := h.Began(start.Add(5*time.Second), "a")
	g.Expect(ok).To(BeFalse())
	v, ok := h.Began(start.Add(5*time.Second+1), "a")
	g.Expect(ok).To(BeTrue(), "no router begins a stream by the first plan any more")
	g.Expect(v).To(BeEquivalentTo("2"))
	h.Expire(start.Add(15*time.Second), 10*time.Second)
	g.Expect(h.Plans()).To(HaveLen(2))
	h.Expire(start.Add(15*time.Second+1), 10*time.Second)
	g.Expect(h.Plans()).To(HaveLen(1))
}

func TestRouterThatStartsBeginsOnlyWhatPlansAgreeOn(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(Config{Settle: settle})
	one, two := Plan{Number: 1, Weights: weights{"1": 1}}, Plan{Number: 2, Weights: weights{"1": 1, "2": 1}}
	h.Learn(start, []Plan{one, two})
	for i := range 100 {
		id := streamID(i)
		v, ok := h.Pick(start, id)
		g.Expect(ok).To(Equal(two.Pick(id) == "1"))
		g.Expect(!ok || v == "1").To(BeTrue())
		v, ok = h.Pick(start.Add(settle), id)
		g.Expect(ok).To(BeTrue())
		g.Expect(v).To(Equal(two.Pick(id)))
	}
}

// Routers that all start anew took every plan of the last minute for one by which streams may
// have begun a moment ago, and took up none.
func TestAgesOfPlansOutliveRestart(t *testing.T) {
	g := NewWithT(t)
	one, two := Plan{Number: 1, Weights: weights{"1": 1}}, Plan{Number: 2, Weights: weights{"2": 1}}
	h := NewHistory(Config{Settle: settle})
	h.Learn(start, []Plan{one})
	h.Learn(start.Add(time.Second), []Plan{one, two})
	g.Expect(h.HasAged(start.Add(2*time.Second), []Plan{one, two}, 2*time.Second)).To(BeFalse())
	told := h.DatedPlans(start.Add(10 * time.Second))
	g.Expect(told[1].AgeMS).To(BeEquivalentTo(9000))
	g.Expect(told[1].Check()).To(Succeed())
	g.Expect(h.HasAged(start.Add(11*time.Second), told, 2*time.Second)).To(BeFalse())
	g.Expect(h.HasAged(start.Add(12*time.Second), told, 2*time.Second)).To(BeTrue())
	restarted := NewHistory(Config{Settle: settle})
	now := start.Add(13 * time.Second)
	restarted.Learn(now, told)
	v, ok := restarted.Pick(now, "a")
	g.Expect(ok).To(BeTrue(), "it is known that the newest is in force")
	g.Expect(v).To(BeEquivalentTo("2"))
	_, ok = restarted.Began(now.Add(-9*time.Second), "a")
	g.Expect(ok).To(BeFalse())
	v, ok = restarted.Began(now.Add(-4*time.Second), "a")
	g.Expect(ok).To(BeTrue())
	g.Expect(v).To(BeEquivalentTo("2"))
	late := NewHistory(Config{Settle: settle})
	late.Learn(now, []Plan{one, two})
	late.Learn(now, told)
	_, ok = late.Began(now.Add(-4*time.Second), "a")
	g.Expect(ok).To(BeTrue())
	g.Expect(Plan{Number: 1, Weights: weights{"1": 1}, AgeMS: -1}.Check()).NotTo(Succeed())
}

// A router that started refused streams for which plans differ that had ended long before.
func TestEndedPlansDoNotKeepStreamsFromBeginning(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(Config{Settle: settle})
	h.Learn(start, []Plan{{Number: 1, Weights: weights{"1": 1}, AgeMS: 60000}, {Number: 2, Weights: weights{"2": 1}, AgeMS: 30000}, {Number: 3, Weights: weights{"2": 2}, AgeMS: 500}})
	v, ok := h.Pick(start, "a")
	g.Expect(ok).To(BeTrue())
	g.Expect(v).To(BeEquivalentTo("2"))
}

func TestPlansAreBounded(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(Config{Settle: settle})
	for n := range uint64(maxPlans + 5) {
		h.Learn(start, []Plan{{Number: n + 1, Weights: weights{"1": 1}}})
	}
	g.Expect(h.Plans()).To(HaveLen(maxPlans))
	_, ok := h.Began(start, "a")
	g.Expect(ok).To(BeFalse(), "a plan by which it may have begun was dropped")
	_, ok = h.Began(start.Add(time.Minute), "a")
	g.Expect(ok).To(BeTrue())
}

// Once too many plans had been known, streams of which it was not known when they began were
// never taken up again.
func TestDroppedPlansAreForgotten(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(Config{Settle: settle})
	for n := range uint64(maxPlans + 5) {
		h.Learn(start, []Plan{{Number: n + 1, Weights: weights{"1": 1}}})
	}
	h.Expire(start.Add(time.Minute), time.Minute)
	_, ok := h.Began(0, "a")
	g.Expect(ok).To(BeFalse())
	h.Expire(start.Add(time.Minute+2*settle+1), time.Minute)
	_, ok = h.Began(0, "a")
	g.Expect(ok).To(BeTrue())
}

// A plan that the store had lost and has again, behind a newer one, was not learned, and streams
// that had begun by it were taken up by others.
func TestPlanThatComesBackIsLearned(t *testing.T) {
	g := NewWithT(t)
	one, lost, next := Plan{Number: 1, Weights: weights{"1": 1}}, Plan{Number: 2, Weights: weights{"2": 1}}, Plan{Number: 9, Weights: weights{"1": 1}}
	h := NewHistory(Config{Settle: settle})
	h.Learn(start, []Plan{one, next})
	g.Expect(h.Misses([]Plan{one})).To(BeTrue())
	g.Expect(h.Misses([]Plan{one, next})).To(BeFalse())
	g.Expect(h.Misses([]Plan{next})).To(BeFalse(), "the first is past")
	g.Expect(h.Misses(nil)).To(BeTrue())
	_, ok := h.Began(0, "a")
	g.Expect(ok).To(BeTrue())
	g.Expect(h.Learn(start, []Plan{one, lost, next})).To(BeTrue())
	g.Expect(h.Learn(start, []Plan{one, lost, next})).To(BeFalse())
	g.Expect(h.Plans()).To(Equal([]Plan{one, lost, next}))
	_, ok = h.Began(0, "a")
	g.Expect(ok).To(BeFalse())
	h = NewHistory(Config{Settle: settle})
	h.Learn(start, []Plan{one})
	h.Learn(start.Add(time.Second), []Plan{one, next})
	h.Learn(start.Add(time.Second), []Plan{one, lost, next})
	_, ok = h.Pick(start.Add(2*time.Second), "a")
	g.Expect(ok).To(BeFalse(), "others begin by the plan that came back, or not yet")
	v, ok := h.Pick(start.Add(3*time.Second), "a")
	g.Expect(ok).To(BeTrue())
	g.Expect(v).To(BeEquivalentTo("1"))
}

func TestSettleIsOnlyLengthened(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(Config{Settle: settle})
	h.Learn(start, []Plan{{Number: 1, Weights: weights{"1": 1}}})
	h.Learn(start.Add(time.Second), []Plan{{Number: 2, Weights: weights{"2": 1}}})
	h.LengthenSettle(settle / 2)
	v, _ := h.Pick(start.Add(settle), "a")
	g.Expect(v).To(BeEquivalentTo("1"))
	h.LengthenSettle(2 * settle)
	v, _ = h.Pick(start.Add(2*settle), "a")
	g.Expect(v).To(BeEquivalentTo("1"))
	v, _ = h.Pick(start.Add(time.Second+2*settle), "a")
	g.Expect(v).To(BeEquivalentTo("2"))
}

func TestNextPlanFollowsSlots(t *testing.T) {
	g := NewWithT(t)
	h := NewHistory(Config{Settle: settle})
	p, changed := h.Next(weights{"1": 640}, 0)
	g.Expect(changed).To(BeTrue())
	g.Expect(p).To(Equal(Plan{Number: 1, Weights: weights{"1": weightSteps}}))
	h.Learn(start, []Plan{p})
	_, changed = h.Next(weights{"1": 704}, 0)
	g.Expect(changed).To(BeFalse(), "a pool of one version has one plan, whatever its size")
	_, changed = h.Next(weights{}, 0)
	g.Expect(changed).To(BeFalse(), "without targets the plan stays")
	p, changed = h.Next(weights{"1": 640, "2": 64}, 0)
	g.Expect(changed).To(BeTrue())
	g.Expect(p).To(Equal(Plan{Number: 2, Weights: weights{"1": 18, "2": 2}}))
	p, _ = h.Next(weights{"2": 64}, 1000)
	g.Expect(p.Number).To(BeEquivalentTo(1000))
}

func TestPlanIsChecked(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Plan{Number: 1, Weights: weights{"": 1}}.Check()).To(Succeed())
	g.Expect(Plan{Weights: weights{"1": 1}}.Check()).NotTo(Succeed())
	g.Expect(Plan{Number: 1}.Check()).NotTo(Succeed())
	g.Expect(Plan{Number: 1, Weights: weights{"1": 0}}.Check()).NotTo(Succeed())
}
