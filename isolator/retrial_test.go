package isolator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
)

// blockedSince returns an isolator that has the block of a part from the store, of an instant.
func blockedSince(p Part, at identifier.Instant) *Isolator {
	i := New()
	i.AddStored(at, Block{Part: p, Since: at, Crashes: 3, Workspaces: []WorkspaceHash{HashWorkspace("w")}})
	return i
}

// Against a block that was wrong and lasted for a day, as nothing with the part was sent any
// more: one router sends one request, and an answer lifts the block.
func TestWrongBlockIsLiftedByRetrial(t *testing.T) {
	g := NewWithT(t)
	i := blockedSince(shared, second)
	g.Expect(i.RetrialsDue(second.Add(retrialAfter))).To(BeEmpty())
	now := second.Add(retrialAfter + 1)
	g.Expect(i.RetrialsDue(now)).To(HaveExactElements(HaveField("Part", shared)))
	i.SetRetried(shared, true)
	g.Expect(i.RetrialsDue(now)).To(BeEmpty())
	g.Expect(i.Judge(now, "w", []Part{shared, other})).To(Equal(Verdict{State: Undecided, Part: shared, Crashes: 3, Granted: true}))
	run := i.StartRun(now, 1, "w", []Part{shared, other})
	g.Expect(state(i, now, shared, other)).To(Equal(Blocked), "only one request is sent")
	i.RecordProgress(now+1, run)
	g.Expect(state(i, now, shared, other)).To(Equal(Clear))
	g.Expect(i.WronglyStored()).To(Equal([]Part{shared}))
	i.AddStored(now, Block{Part: shared, Since: second, Crashes: 3, Workspaces: []WorkspaceHash{HashWorkspace("w")}})
	g.Expect(state(i, now, shared)).To(Equal(Clear), "what another hub stores late changes nothing")
	i.RemoveBlock(now, shared)
	g.Expect(i.WronglyStored()).To(BeEmpty())
}

// A part that does crash targets costs one more for the rest of the day, and a router whose
// peer sends that request sends none.
func TestRetrialThatCrashesItsTargetLeavesBlock(t *testing.T) {
	g := NewWithT(t)
	now := second.Add(2 * retrialAfter)
	i := blockedSince(bad, second)
	i.SetRetried(bad, true)
	crashWith(i, now, 1, []Part{shared, bad})
	g.Expect(state(i, now, shared, bad)).To(Equal(Blocked))
	g.Expect(i.RetrialsDue(now.Add(time.Hour))).To(BeEmpty())
	peer := blockedSince(bad, second)
	peer.SetRetried(bad, false)
	g.Expect(state(peer, now, shared, bad)).To(Equal(Blocked))
	g.Expect(peer.RetrialsDue(now)).To(BeEmpty())
}

// An answer that any router has after the block lifts it in all routers.
func TestLaterAnswerOfOtherRouterLiftsBlock(t *testing.T) {
	g := NewWithT(t)
	a, b := New(), New()
	for n := range CrashID(3) {
		crashWith(a, second*identifier.Instant(n+1), n, []Part{bad})
	}
	now := 4 * second
	b.Receive(now, a.Report(now))
	g.Expect(state(b, now, bad)).To(Equal(Blocked))
	now = now.Add(settleAfter + 1)
	b.Tick(now)
	run := &Run{parts: []Part{bad}}
	a.RecordProgress(now, run)
	b.Receive(now+1, a.FullReport(now+1))
	g.Expect(state(a, now, bad)).To(Equal(Clear))
	g.Expect(state(b, now, bad)).To(Equal(Clear))
}
