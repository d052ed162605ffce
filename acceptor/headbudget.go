package acceptor

import (
	"container/list"
	"sync"
	"sync/atomic"
)

// HeadBudget bounds the memory of all connections of a process before and while their
// requests are served: of heads that are not complete, and of the parsed form of complete
// heads. It is safe for concurrent use.
type HeadBudget struct {
	// partialLimit bounds the buffers of incomplete heads, and acceptedLimit the cost of the
	// requests that were accepted, in bytes. Zero is no bound.
	partialLimit, acceptedLimit int64
	accepted                    atomic.Int64
	rejected                    [len(rejections)]atomic.Int64

	// mu guards the fields below and the partial fields of connections.
	mu sync.Mutex
	// partial is the size of the buffers of incomplete heads.
	partial int64
	// heads holds the connections with an incomplete head, of type *Conn, in the order in
	// which their heads began.
	heads list.List
}

// partialShare is the share of a budget that incomplete heads may take up, as a divisor.
// Ordinary heads arrive at once and take up none of it.
const partialShare = 3

// NewHeadBudget returns a budget of limit bytes, or without a bound if limit is zero.
func NewHeadBudget(limit int64) *HeadBudget {
	return &HeadBudget{partialLimit: limit / partialShare, acceptedLimit: limit - limit/partialShare}
}

const (
	// requestCost is the cost of a request without its header, in bytes: its structures
	// in net/http and in the request path.
	requestCost = 2 << 10
	// headerLineCost is the cost of a header line besides its bytes: its entries in the maps
	// of the request and of the copy that is sent on. Heads of 3,700 lines took up 80 to 100
	// bytes for each line in each of these.
	headerLineCost = 256
	// headByteCost is the cost of a byte of a head: the copy that net/http reads, the
	// values in the map, and their copy for the target.
	headByteCost = 4
)

// headCost returns the cost of a request with a complete head, in bytes.
func headCost(bytes, lines int) int64 {
	return requestCost + int64(bytes)*headByteCost + int64(lines)*headerLineCost
}

// accept reserves the cost of an accepted request and reports whether it was available. One
// request is always accepted.
func (b *HeadBudget) accept(cost int64) bool {
	if used := b.accepted.Add(cost); b.acceptedLimit > 0 && used > b.acceptedLimit && used != cost {
		b.accepted.Add(-cost)
		return false
	}
	return true
}

// setPartial records the size of the buffer of a connection's incomplete head, in bytes.
// Beyond the bound it closes the connections whose incomplete heads began first, which may
// be c, but not the only one.
func (b *HeadBudget) setPartial(c *Conn, size int64) {
	var closing []*Conn
	b.mu.Lock()
	if c.partialEntry == nil && !c.partialEvicted {
		c.partialEntry = b.heads.PushBack(c)
	}
	if c.partialEntry != nil {
		b.partial += size - c.partialBytes
		c.partialBytes = size
	}
	for b.partialLimit > 0 && b.partial > b.partialLimit && b.heads.Len() > 1 {
		oldest := b.heads.Front().Value.(*Conn)
		b.remove(oldest)
		oldest.partialEvicted = true
		closing = append(closing, oldest)
	}
	b.mu.Unlock()
	for _, oldest := range closing {
		b.count(PartialHeadsTooLarge)
		oldest.closeNow()
	}
}

// endPartial releases what a connection's incomplete head takes up. It reports false if the
// connection was closed because of it.
func (b *HeadBudget) endPartial(c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(c)
	return !c.partialEvicted
}

// remove releases what a connection's incomplete head takes up. The caller must hold mu.
func (b *HeadBudget) remove(c *Conn) {
	if c.partialEntry == nil {
		return
	}
	b.heads.Remove(c.partialEntry)
	b.partial -= c.partialBytes
	c.partialEntry, c.partialBytes = nil, 0
}

// AcceptedBytes returns the cost of the requests being served, in bytes.
func (b *HeadBudget) AcceptedBytes() int64 { return b.accepted.Load() }

// PartialBytes returns the size of the buffers of incomplete heads, in bytes.
func (b *HeadBudget) PartialBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.partial
}
