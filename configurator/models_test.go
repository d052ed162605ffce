package configurator_test

import (
	"maps"
	"testing"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/placer"
)

// TestServed checks which kinds a router offers to an agent by its last report,
// also after the document has stopped naming models.
func TestServed(t *testing.T) {
	named, err := configurator.Decode(example(t))
	if err != nil {
		t.Fatal(err)
	}
	unnamed := named
	unnamed.Kinds = append([]configurator.Kind(nil), named.Kinds...)
	unnamed.Pools = append([]configurator.Pool(nil), named.Pools...)
	unnamed.Kinds[0].Model, unnamed.Kinds[0].Adapter, unnamed.Pools[0].Model = "", "", ""
	large := placer.Report{Model: "large", Adapters: []identifier.Adapter{"contracts"}, Ready: true}
	for name, tc := range map[string]struct {
		doc    configurator.Document
		report placer.Report
		want   map[identifier.Kind]bool
	}{
		"the model with its adapter": {named, large, map[identifier.Kind]bool{"draft": true}},
		"without the adapter":        {named, placer.Report{Model: "large", Ready: true}, map[identifier.Kind]bool{}},
		"not ready":                  {named, placer.Report{Model: "small"}, map[identifier.Kind]bool{}},
		"no models any more":         {unnamed, large, nil},
	} {
		got := configurator.NewSnapshot(1, tc.doc).ServedKinds("models", tc.report)
		if !maps.Equal(got, tc.want) || (got == nil) != (tc.want == nil) {
			t.Errorf("%s: serves %v, not %v", name, got, tc.want)
		}
	}
}
