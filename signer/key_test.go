package signer_test

import (
	"strings"
	"testing"

	"buckthorndrum/identifier"
	"buckthorndrum/signer"
)

func TestParse(t *testing.T) {
	s := signer.New("a secret of the fleet")
	k := signer.Key{
		Origin:   identifier.Origin{Target: "registry-1", Incarnation: 0xabc},
		Sequence: 7,
		Class:    identifier.Class{Kind: "ticket", Workspace: "tanta"},
	}
	good := s.Format(k)
	for name, tc := range map[string]struct {
		key       string
		workspace identifier.Workspace
		ok        bool
	}{
		"good":              {good, "tanta", true},
		"other workspace":   {good, "karachi", false},
		"other sequence":    {strings.Replace(good, "~7~", "~8~", 1), "tanta", false},
		"other target":      {strings.Replace(good, "registry-1", "registry-2", 1), "tanta", false},
		"other incarnation": {strings.Replace(good, "~abc~", "~abd~", 1), "tanta", false},
		"other kind":        {strings.Replace(good, "ticket", "payout", 1), "tanta", false},
		"other secret":      {signer.New("another secret").Format(k), "tanta", false},
		"cut":               {good[:len(good)-1], "tanta", false},
		"empty":             {"", "tanta", false},
		"not a number":      {strings.Replace(good, "~7~", "~x~", 1), "tanta", false},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := s.Parse(tc.key, tc.workspace)
			if (err == nil) != tc.ok {
				t.Fatalf("parse says %v", err)
			}
			if tc.ok && got != k {
				t.Errorf("key is %+v, want %+v", got, k)
			}
		})
	}
}

// FuzzParse checks that no text but a signed one passes.
func FuzzParse(f *testing.F) {
	s := signer.New("a secret of the fleet")
	f.Add("bk1~registry-1~abc~7~ticket~00")
	f.Fuzz(func(t *testing.T, v string) {
		if k, err := s.Parse(v, "tanta"); err == nil && s.Format(k) != v {
			t.Fatalf("%q passed as %+v", v, k)
		}
	})
}
