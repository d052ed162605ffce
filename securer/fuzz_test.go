package securer_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// FuzzCheck checks that no proof passes but one made with the fleet's secret.
func FuzzCheck(f *testing.F) {
	s := securerOf(f, "a secret of the fleet")
	now := time.Unix(1_000_000, 0)
	h := http.Header{}
	s.Sign(h, "router-1", now)
	var name string
	for k := range h {
		name = k
	}
	f.Add(h.Get(name))
	f.Add("router-1|1000000|")
	f.Fuzz(func(t *testing.T, v string) {
		got := http.Header{name: {v}}
		peer, err := s.Check(got, now)
		if err != nil {
			return
		}
		if !strings.HasPrefix(v, peer+"|") {
			t.Fatalf("proof %q passed for %q", v, peer)
		}
		made := http.Header{}
		s.Sign(made, peer, now)
		if len(v) != len(made.Get(name)) {
			t.Fatalf("proof %q passed", v)
		}
	})
}
