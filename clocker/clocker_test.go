package clocker

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestCoarseFollowsNow(t *testing.T) {
	g := NewWithT(t)
	for i := 0; i < 10; i++ {
		before := Now()
		got := Coarse()
		after := Now()
		g.Expect(got).To(BeNumerically(">=", before.Add(-time.Millisecond)))
		g.Expect(got).To(BeNumerically("<=", after.Add(time.Millisecond)))
		time.Sleep(coarseFor / 4)
	}
}

// A suspension moves the clock ahead of the steady one.
func TestCoarseIsNotBehindForLongAfterASuspension(t *testing.T) {
	g := NewWithT(t)
	_ = Coarse()
	ahead.Add(-int64(time.Hour))
	g.Expect(Now().Sub(Coarse())).To(BeNumerically(">", time.Minute))
	time.Sleep(coarseFor)
	g.Expect(Now().Sub(Coarse())).To(BeNumerically("<", time.Minute))
}
