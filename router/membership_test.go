package router

import (
	"fmt"
	"testing"

	"buckthorndrum/identifier"
	"buckthorndrum/lister"
)

// TestReadMembership checks that maxWatchers of many listed routers watch the
// configuration, that a router that is not listed does so too, that leaving instances are
// not counted as routers, and that a leaving agent's target is leaving.
func TestReadMembership(t *testing.T) {
	var many []lister.Instance
	for i := range 100 {
		many = append(many, lister.Instance{Role: lister.Router, Name: fmt.Sprint("r", i), State: lister.Live})
	}
	watchers := 0
	for i := range 100 {
		if readMembership(identifier.Router(many[i].Name), many).watchesConfig {
			watchers++
		}
	}
	if watchers != maxWatchers {
		t.Errorf("%d of 100 routers watch, want %d", watchers, maxWatchers)
	}
	for name, tc := range map[string]struct {
		list    []lister.Instance
		routers int
	}{
		"empty list":         {nil, 1},
		"self is not listed": {many, 100},
		"leaving is not counted": {
			[]lister.Instance{{Role: lister.Router, Name: "r1", State: lister.Leaving}, {Role: lister.Agent, Name: "t", State: lister.Leaving}}, 1,
		},
	} {
		m := readMembership("nobody", tc.list)
		if !m.watchesConfig || m.routers != tc.routers {
			t.Errorf("%s: watches %v, %d routers, want %d", name, m.watchesConfig, m.routers, tc.routers)
		}
	}
	m := readMembership("r", []lister.Instance{{Role: lister.Agent, Name: "t", State: lister.Leaving}})
	if !m.leaving["t"] {
		t.Error("target t is not leaving, though its agent is listed as leaving")
	}
}
