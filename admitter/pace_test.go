package admitter

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A pace that was reported once must not slow down its pool for ever, and one target must
// not make the pool unusable.
func TestPaceExpiresAndIsBounded(t *testing.T) {
	g := NewWithT(t)
	var w paceWindow
	w.record(second, 1000)
	g.Expect(w.slowest()).To(BeNumerically("==", maxPace))
	w.record(second.Add(paceMemory), 1)
	g.Expect(w.slowest()).To(BeNumerically("==", maxPace), "still in the window")
	w.record(second.Add(paceMemory+time.Second), 1.5)
	g.Expect(w.slowest()).To(BeNumerically("==", maxPace), "in the window before")
	w.record(second.Add(2*paceMemory+2*time.Second), 1.2)
	g.Expect(w.slowest()).To(Equal(1.5))
	w.advance(second.Add(time.Hour))
	g.Expect(w.slowest()).To(BeZero())
}

// The pace of a target survives a change of the list of targets, which happens many times
// a minute.
func TestPaceSurvivesChangeOfTargets(t *testing.T) {
	g := NewWithT(t)
	a := pacedEngines(3, 2)
	list := make([]Target, 0, 3)
	for _, s := range a.pools["p"].targets {
		list = append(list, s.Target)
	}
	a.SetTargets(second, list[:2])
	g.Expect(a.pools["p"].pace.slowest()).To(BeNumerically("==", 2))
}
