package isolator

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Against a sound block that was removed from the store for all: a part is blocked again after its
// block was lifted, and the entry's time of day, from a machine whose clock is behind, is before
// that.
func TestBlockOfThisRouterIsNotWronglyStored(t *testing.T) {
	g := NewWithT(t)
	i := blockedSince(bad, 2*second)
	i.RemoveBlock(3*second, bad)
	i.block(4*second, bad, count{crashes: 3, Suspect: Suspect{Part: bad, Workspaces: []WorkspaceHash{HashWorkspace("w")}}}, nil)
	i.AddStored(5*second, Block{Part: bad, Since: 2 * second, Crashes: 3, Workspaces: []WorkspaceHash{HashWorkspace("w")}})
	g.Expect(i.WronglyStored()).To(BeEmpty())
}
