package isolator

import (
	"sort"
	"time"

	"buckthorndrum/identifier"
)

const (
	// BlockTTL is how long a part stays blocked.
	BlockTTL = 24 * time.Hour
	// retrialAfter is how long after its first decision a block is tried once more, by one
	// router for all. Blocked parts are not sent, so that nothing else would show that the
	// decision was wrong.
	retrialAfter = time.Minute
	// settleAfter is how long after its first decision a block is withdrawn if reports of
	// other routers show that another part explains the crashes.
	settleAfter = 2 * time.Second
	// maxBlocks bounds the blocked parts. The oldest are dropped first.
	maxBlocks = 256
)

// Block is a part that is blocked.
type Block struct {
	Part Part
	// Since is when it was blocked.
	Since identifier.Instant
	// Crashes is the number of crashes that counted against it then.
	Crashes int
	// Workspaces are those for which it is blocked, sorted. With maxWorkspaces of them
	// it is blocked for all.
	Workspaces []WorkspaceHash
	// stored is the number of workspaces with which the block is in the store.
	stored int
	// settled is whether the block stays, whatever else is learned about the crashes.
	settled bool
	// mayRetry is whether this router may send one request with the part, and retried
	// whether a router may or might.
	mayRetry, retried bool
}

// applies reports whether the part is blocked for a workspace.
func (b *Block) applies(w WorkspaceHash) bool {
	if b.ForAll() {
		return true
	}
	for _, v := range b.Workspaces {
		if v == w {
			return true
		}
	}
	return false
}

// ForAll reports whether the part is blocked for all workspaces.
func (b *Block) ForAll() bool { return len(b.Workspaces) >= maxWorkspaces }

// add adds the workspaces of a suspect.
func (b *Block) add(s Suspect) {
	b.Workspaces = Suspect{Part: b.Part, Workspaces: b.Workspaces}.merge(s).Workspaces
}

// block blocks a part. It is no news if the part was in withdrawn.
func (i *Isolator) block(now identifier.Instant, p Part, n count, withdrawn map[Part]*Block) {
	b := Block{Part: p, Since: now, Crashes: n.crashes, Workspaces: n.Workspaces}
	if old := withdrawn[p]; old != nil {
		b.Since = old.Since
	} else if len(i.pending) < maxBlocks {
		i.pending = append(i.pending, b)
	}
	i.add(b)
}

// withdrawUnsettled removes the blocks that are not settled and returns them.
func (i *Isolator) withdrawUnsettled() map[Part]*Block {
	withdrawn := map[Part]*Block{}
	for p, b := range i.blocks {
		if !b.settled {
			withdrawn[p] = b
			delete(i.blocks, p)
		}
	}
	return withdrawn
}

// settleBlocks settles the blocks that have stood for settleAfter.
func (i *Isolator) settleBlocks(now identifier.Instant) {
	i.rejudge(now)
	for _, b := range i.blocks {
		b.settled = b.settled || now.Sub(b.Since) > settleAfter
	}
}

// AddStored adds a block that is in the store. One that was lifted since is not added, and is
// to be removed from the store, which may have come back from a copy that has it.
func (i *Isolator) AddStored(now identifier.Instant, b Block) {
	if now.Sub(b.Since) > BlockTTL {
		return
	}
	if lifted, was := i.lifted[b.Part]; was && b.Since <= lifted {
		if i.blocks[b.Part] == nil {
			i.unstore[b.Part] = struct{}{}
		}
		return
	}
	b.stored, b.settled = len(b.Workspaces), true
	i.add(b)
}

// ForgetStored records that the store has the blocks of no other parts than those listed any
// more, although nobody has lifted the others.
func (i *Isolator) ForgetStored(listed func(Part) bool) {
	for p, b := range i.blocks {
		if !listed(p) {
			b.stored = 0
		}
	}
}

// add adds a block. For a part that is blocked already, its workspaces are added.
func (i *Isolator) add(b Block) {
	i.dirty = true
	if old := i.blocks[b.Part]; old != nil {
		old.add(Suspect{Workspaces: b.Workspaces})
		if b.stored > 0 {
			old.stored, old.settled = b.stored, true
		}
		return
	}
	b.Workspaces = append([]WorkspaceHash(nil), b.Workspaces...)
	i.blocks[b.Part] = &b
	for len(i.blocks) > maxBlocks {
		delete(i.blocks, i.Blocks()[0].Part)
	}
}

// RemoveBlock lifts the block of a part, which is not in the store. Crashes up to now no
// longer count against it.
func (i *Isolator) RemoveBlock(now identifier.Instant, p Part) {
	delete(i.unstore, p)
	if _, blocked := i.blocks[p]; !blocked {
		return
	}
	delete(i.blocks, p)
	i.lifted[p] = now
	i.dirty = true
}

// liftAnswered lifts the block of a part that was answered since it was blocked: targets do
// not crash under it.
func (i *Isolator) liftAnswered(now identifier.Instant, p Part) {
	b, answered := i.blocks[p], i.lastAnswer(p)
	if b == nil || answered == 0 || answered <= b.Since {
		return
	}
	i.RemoveBlock(now, p)
	if b.stored > 0 {
		i.unstore[p] = struct{}{}
	}
}

// WronglyStored returns the parts whose blocks were lifted and are in the store.
func (i *Isolator) WronglyStored() []Part {
	var list []Part
	for p := range i.unstore {
		list = append(list, p)
	}
	return list
}

// RetrialsDue returns the stored blocks that are to be tried once more, unless a router has
// done so.
func (i *Isolator) RetrialsDue(now identifier.Instant) []Block {
	var list []Block
	for _, b := range i.Blocks() {
		if b.stored > 0 && !b.retried && now.Sub(b.Since) > retrialAfter {
			list = append(list, b)
		}
	}
	return list
}

// SetRetried records that the block of a part is tried once more, by this router or another
// one. Only this router may send one request with the part, and only once.
func (i *Isolator) SetRetried(p Part, here bool) {
	if b := i.blocks[p]; b != nil && !b.retried {
		b.retried, b.mayRetry = true, here
	}
}

// expireBlocks lifts the blocks that are older than BlockTTL.
func (i *Isolator) expireBlocks(now identifier.Instant) {
	for p, b := range i.blocks {
		if now.Sub(b.Since) > BlockTTL {
			i.RemoveBlock(now, p)
		}
	}
	for p, at := range i.lifted {
		if now.Sub(at) > crashTTL {
			delete(i.lifted, p)
		}
	}
}

// Blocks returns the blocked parts, the oldest first.
func (i *Isolator) Blocks() []Block {
	list := make([]Block, 0, len(i.blocks))
	for _, b := range i.blocks {
		list = append(list, *b)
	}
	sort.Slice(list, func(a, b int) bool {
		return list[a].Since < list[b].Since || list[a].Since == list[b].Since && list[a].Part < list[b].Part
	})
	return list
}

// Unstored returns the settled blocks that are not in the store as they are now, the
// oldest first.
func (i *Isolator) Unstored() []Block {
	var list []Block
	for _, b := range i.Blocks() {
		if b.settled && b.stored < len(b.Workspaces) {
			list = append(list, b)
		}
	}
	return list
}

// NewBlocks returns the parts that crashes have led this router to block since the last
// call.
func (i *Isolator) NewBlocks(now identifier.Instant) []Block {
	i.rejudge(now)
	list := i.pending
	i.pending = nil
	return list
}
