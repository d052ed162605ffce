package measurer

import (
	"fmt"
	"os"
	"sort"
	"testing"
)

func TestTrial(t *testing.T) {
	var scs []Scenario
	for _, s := range Scenarios() {
		if os.Getenv("SC") == "" || s.Name == os.Getenv("SC") {
			scs = append(scs, s)
		}
	}
	ways := []Way{Ours, FirstCome, LeastLoaded, Central}
	if os.Getenv("ONLY") != "" {
		ways = []Way{Ours}
	}
	for _, r := range RunAll(Sizes()[:1], scs, ways, 1, 6) {
		fmt.Println(r)
		if r.Way == Ours || r.Way == Central {
			var ks []string
			for k, v := range r.Kinds {
				ks = append(ks, fmt.Sprintf("   %s: sub %d ref %d done %d rate %.0f first95 %s", k, v.Submitted, v.Refused, v.Done, v.Rate, v.First95))
			}
			sort.Strings(ks)
			for _, s := range ks {
				fmt.Println(s)
			}
		}
	}
}
