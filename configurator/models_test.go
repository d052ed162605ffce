package configurator_test

import (
	"maps"
	"testing"

	"buckthorndrum/configurator"
	"buckthorndrum/identifier"
	"buckthorndrum/placer"
)

// TestServedKinds checks which kinds a target serves according to its last report, also
// after a change of the document that removes all models.
func TestServedKinds(t *testing.T) {
	withModels, err := configurator.Decode(exampleDocument(t))
	if err != nil {
		t.Fatal(err)
	}
	withoutModels := withModels
	withoutModels.Kinds = append([]configurator.Kind(nil), withModels.Kinds...)
	withoutModels.Pools = append([]configurator.Pool(nil), withModels.Pools...)
	withoutModels.Kinds[0].Model, withoutModels.Kinds[0].Adapter, withoutModels.Pools[0].Model = "", "", ""
	large := placer.Report{Model: "large", Adapters: []identifier.Adapter{"contracts"}, Ready: true}
	for name, tc := range map[string]struct {
		doc    configurator.Document
		report placer.Report
		want   map[identifier.Kind]bool
	}{
		"the model with its adapter": {withModels, large, map[identifier.Kind]bool{"draft": true}},
		"without the adapter":        {withModels, placer.Report{Model: "large", Ready: true}, map[identifier.Kind]bool{}},
		"not ready":                  {withModels, placer.Report{Model: "small"}, map[identifier.Kind]bool{}},
		"document without models":    {withoutModels, large, nil},
	} {
		got := configurator.NewSnapshot(1, tc.doc).ServedKinds("models", tc.report)
		if !maps.Equal(got, tc.want) || (got == nil) != (tc.want == nil) {
			t.Errorf("%s: served kinds are %v, want %v", name, got, tc.want)
		}
	}
}
