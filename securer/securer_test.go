package securer_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"buckthorndrum/securer"
)

func TestCheck(t *testing.T) {
	mine := securerOf(t, "a secret of the fleet")
	now := time.Unix(1_800_000_000, 0)
	signed := func(s *securer.Securer, at time.Time) http.Header {
		h := http.Header{}
		s.Sign(h, "router-1", at)
		return h
	}
	forged := signed(mine, now)
	for k, v := range forged {
		forged.Set(k, strings.Replace(v[0], "router-1", "router-2", 1))
	}
	for name, tc := range map[string]struct {
		header http.Header
		ok     bool
	}{
		"good":             {signed(mine, now), true},
		"clock a bit off":  {signed(mine, now.Add(-30*time.Second)), true},
		"too old":          {signed(mine, now.Add(-2*time.Minute)), false},
		"from the future":  {signed(mine, now.Add(2*time.Minute)), false},
		"other fleet":      {signed(securerOf(t, "a secret of another"), now), false},
		"another's name":   {forged, false},
		"without a proof":  {http.Header{}, false},
		"malformed header": {http.Header{"X-Buckthorndrum-Peer": {"a|b"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			peer, err := mine.Check(tc.header, now)
			if (err == nil) != tc.ok {
				t.Fatalf("check says %v", err)
			}
			if tc.ok && peer != "router-1" {
				t.Errorf("peer is %q", peer)
			}
		})
	}
	if _, err := securer.New(securer.Config{Secret: "short"}); err == nil {
		t.Error("a short secret was accepted")
	}
}

func securerOf(t testing.TB, secret string) *securer.Securer {
	t.Helper()
	s, err := securer.New(securer.Config{Secret: secret})
	if err != nil {
		t.Fatal(err)
	}
	return s
}
