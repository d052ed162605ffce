package permitter

import (
	"testing"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
)

// Guards against restrictions that have nothing in common and are taken for none, and against
// a region that is not known and is taken for an allowed one.
func TestRegionSets(t *testing.T) {
	g := NewWithT(t)
	set := func(list ...identifier.Region) RegionSet {
		s := RegionSet{}
		for _, r := range list {
			s[r] = true
		}
		return s
	}
	var none RegionSet
	g.Expect(none.Allows("") && none.Allows("east")).To(BeTrue())
	g.Expect(set("east").Allows("east")).To(BeTrue())
	g.Expect(set("east").Allows("west")).To(BeFalse())
	g.Expect(set("east", "").Allows("")).To(BeFalse())
	g.Expect(set().Allows("east")).To(BeFalse())
	g.Expect(none.Intersect(none)).To(BeNil())
	g.Expect(none.Intersect(set("east"))).To(Equal(set("east")))
	g.Expect(set("east").Intersect(none)).To(Equal(set("east")))
	g.Expect(set("east", "west").Intersect(set("west", "north"))).To(Equal(set("west")))
	g.Expect(set("east").Intersect(set("west")).Allows("east")).To(BeFalse())
}
