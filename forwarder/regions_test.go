package forwarder

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// restrict puts a configuration in force in which all routes and the workspace have
// restrictions.
func (f *fleet) restrict(r identifier.Revision, routes, workspace permitter.RegionSet) {
	list := testRoutes()
	for i := range list {
		list[i].AllowedRegions = routes
	}
	f.SetSnapshot(NewSnapshot(r, Limits{}, list, []Pool{{ID: testPool}}, []Workspace{{ID: "w", Keys: []string{"k"}, AllowedRegions: workspace}}))
}

// setRegions puts target i into the region regions[i].
func (f *fleet) setRegions(regions ...identifier.Region) {
	for i, r := range regions {
		f.targets[i].Region = r
	}
	f.SetTargets(f.targets)
}

// Guards against a body that reaches a target in another region than both the route and the
// workspace allow.
func TestBothRestrictionsApply(t *testing.T) {
	for name, c := range map[string]struct {
		routes, workspace permitter.RegionSet
		path              string
		want              map[string]bool
	}{
		"none":              {nil, nil, "/lookup/1", map[string]bool{"t0": true, "t1": true, "t2": true}},
		"route":             {permitter.RegionSet{"east": true}, nil, "/lookup/1", map[string]bool{"t0": true}},
		"workspace":         {nil, permitter.RegionSet{"east": true, "west": true}, "/lookup/1", map[string]bool{"t0": true, "t1": true}},
		"both":              {permitter.RegionSet{"east": true}, permitter.RegionSet{"east": true, "west": true}, "/lookup/1", map[string]bool{"t0": true}},
		"nothing in common": {permitter.RegionSet{"east": true}, permitter.RegionSet{"west": true}, "/lookup/1", nil},
		"public route":      {permitter.RegionSet{"west": true}, permitter.RegionSet{"east": true}, "/open/1", map[string]bool{"t1": true}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, completeAnswer, completeAnswer, completeAnswer)
			f.setRegions("east", "west", "")
			f.restrict(2, c.routes, c.workspace)
			var refused callerAnswer
			for range 60 {
				if a := f.send(f.request(http.MethodPost, c.path, "body")); a.status != http.StatusOK {
					refused = a
				}
			}
			for id := range map[string]bool{"t0": true, "t1": true, "t2": true} {
				g.Expect(f.requestsAt(id) > 0).To(Equal(c.want[id]), id)
			}
			if c.want != nil {
				g.Expect(refused.status).To(BeZero())
				return
			}
			g.Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(refused.body).To(Equal("No target is in a region that is allowed for this request.\n"))
			g.Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		})
	}
}

// Guards against a retry, a resumed stream or a request under a newer configuration that goes
// to a target which is not allowed.
func TestRetriesStayInAllowedRegions(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		first script
	}{
		"not run":          {"/lookup/1", notRun},
		"connection reset": {"/lookup/1", resetConn},
		"failure":          {"/lookup/1", fixedAnswer(http.StatusInternalServerError, "Seal: s\r\n", "")},
		"stream broke off": {"/stream/1", events(2, false, "")},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t)
			f.addTarget("t0", c.first)
			f.addTarget("t1", completeAnswer)
			f.setRegions("east", "west")
			f.restrict(2, permitter.RegionSet{"east": true}, nil)
			f.send(f.request(http.MethodGet, c.path, ""))
			g.Expect(f.requestsAt("t0")).To(Equal(1))
			g.Expect(f.requestsAt("t1")).To(BeZero())
		})
	}
}

// Guards against a retry that follows the restriction of an older configuration.
func TestRetryFollowsNewRestriction(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t)
	f.addTarget("t0", func(w net.Conn, r *http.Request) bool {
		f.restrict(3, permitter.RegionSet{"north": true}, nil)
		return notRun(w, r)
	})
	f.addTarget("t1", completeAnswer)
	f.setRegions("east", "west")
	f.restrict(2, permitter.RegionSet{"east": true}, nil)
	f.addTarget("t2", completeAnswer)
	f.setRegions("east", "west", "east")
	for range 10 {
		f.send(f.request(http.MethodGet, "/lookup/1", ""))
		if f.requestsAt("t0") > 0 {
			break
		}
	}
	before := f.requestsAt("t2")
	g.Expect(f.requestsAt("t0")).To(Equal(1))
	g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(f.requestsAt("t2")).To(Equal(before))
	g.Expect(f.requestsAt("t1")).To(BeZero())
}

// Guards against a request that is written to a target which stopped being allowed after it
// had been selected: by another configuration, an evacuation or a cold period.
func TestChangeBeforeWriteKeepsRequestBack(t *testing.T) {
	for name, change := range map[string]func(*fleet){
		"restricted": func(f *fleet) { f.restrict(9, permitter.RegionSet{"west": true}, nil) },
		"evacuated":  func(f *fleet) { f.SetEvacuated(map[identifier.DataCentre]bool{"a": true}) },
		"cold": func(f *fleet) {
			f.targets[0].ColdLeft = time.Minute
			f.SetTargets(f.targets)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, _ := newColdFleet(t, completeAnswer)
			f.setZones("a")
			f.setRegions("east")
			ctx, c := f.prepareCall(t)
			selected, e := f.selectTarget(c)
			g.Expect(e).To(BeNil())
			change(f)
			done, _ := f.attempt(ctx, c, selected)
			g.Expect(done).To(BeFalse())
			g.Expect(f.requestsSeen()).To(BeEmpty())
			g.Expect(c.mayHaveRun).To(BeFalse())
		})
	}
}
