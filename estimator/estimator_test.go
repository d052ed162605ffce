package estimator_test

import (
	"math"
	"testing"

	"buckthorndrum/estimator"
)

func TestNewFit(t *testing.T) {
	line := []estimator.Point{{1, 12}, {2, 14}, {4, 18}, {8, 26}}
	f, err := estimator.NewFit("line", "n", "B", line)
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(f.Base-10) > 1e-9 || math.Abs(f.Slope-2) > 1e-9 || f.Error > 1e-9 {
		t.Errorf("fit of 10 + 2n is %+v", f)
	}
	if f.At(100) != 210 {
		t.Errorf("value at 100 is %v", f.At(100))
	}
	if _, err := estimator.NewFit("short", "n", "B", line[:3]); err == nil {
		t.Error("a slope through three points was accepted")
	}
}

// TestConverge checks that the counters of a pool come together, and again after
// a cut.
func TestConverge(t *testing.T) {
	s := estimator.Converge(100, 200)
	if s.AgeMost > 7 {
		t.Errorf("counters are %.1f s old", s.AgeMost)
	}
	if s.Rejoin < 0 {
		t.Error("the pool does not come together after a cut")
	}
}
