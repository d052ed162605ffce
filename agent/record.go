package agent

import (
	"context"
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/messenger"
)

// record is one request that was handed over, with its answer so far. It is
// guarded by the board's lock.
type record struct {
	handover messenger.Handover
	// tokens is the answer so far. It only grows.
	tokens []string
	// firstIndex is the index of tokens[0]: what an earlier attempt delivered
	// elsewhere is not repeated here.
	firstIndex int
	// end is set once, when the request has ended.
	end *messenger.End
	// changed is closed and replaced whenever tokens or end change.
	changed chan struct{}
	// start receives a value each time the scheduler starts the request.
	start chan struct{}
	// interrupt cancels the present attempt at the target so that it is resumed
	// later.
	interrupt context.CancelFunc
	preempted bool
	// cancelled tells that the caller wants no more of it.
	cancelled bool
	abort     context.CancelFunc
	// readers is how many routers follow the answer.
	readers int
	// idleSince is when the last reader left.
	idleSince time.Time
	ended     time.Time
}

func newRecord(h messenger.Handover, now time.Time) *record {
	return &record{
		handover:   h,
		firstIndex: len(h.Prior),
		changed:    make(chan struct{}),
		start:      make(chan struct{}, 1),
		idleSince:  now,
	}
}

// tokenCount is how many tokens the answer has so far.
func (r *record) tokenCount() int { return r.firstIndex + len(r.tokens) }

// signalStart lets the request go to the target. A second call before it has gone
// changes nothing.
func (r *record) signalStart() {
	select {
	case r.start <- struct{}{}:
	default:
	}
}

func (r *record) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *record) addToken(token string) {
	r.tokens = append(r.tokens, token)
	r.notifyChanged()
}

func (r *record) finish(e messenger.End, now time.Time) {
	if r.end != nil {
		return
	}
	e.Tokens = r.tokenCount()
	r.end = &e
	r.ended = now
	r.notifyChanged()
}

// pieceFrom returns what follows the first n tokens of the answer.
func (r *record) pieceFrom(n int) messenger.Piece {
	p := messenger.Piece{Index: n, End: r.end}
	if n < r.firstIndex {
		// What came before was delivered by an earlier attempt.
		p.Index = n
		p.Tokens = append(p.Tokens, r.handover.Prior[n:]...)
		n = r.firstIndex
	}
	p.Tokens = append(p.Tokens, r.tokens[n-r.firstIndex:]...)
	return p
}

// cost is what the request has cost so far: its tokens for a model, and the
// kind's fixed cost for a plain service.
func (r *record) cost(fixedCost identifier.Cost) identifier.Cost {
	if fixedCost > 0 {
		return fixedCost
	}
	return identifier.Cost(len(r.tokens))
}
