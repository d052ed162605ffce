package agent

import (
	"context"
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/messenger"
)

// record is a request that was handed over, with its answer so far. It is guarded by the
// lock of the agent's state.
type record struct {
	handover messenger.Handover
	// tokens are the tokens of the answer that were generated here so far. They are only
	// appended to.
	tokens []string
	// firstIndex is the index of tokens[0] in the answer. The tokens before it were
	// delivered by an earlier attempt elsewhere and are not generated again.
	firstIndex int
	// end is set once, when the request has ended.
	end *messenger.End
	// changed is closed and replaced whenever tokens or end change.
	changed chan struct{}
	// start receives a value each time the scheduler starts the request.
	start chan struct{}
	// interrupt cancels the current attempt at the target, to be resumed later. It is nil
	// between attempts.
	interrupt context.CancelFunc
	// preempted is set when the scheduler preempts the request, and reset when an attempt
	// has ended for that reason.
	preempted bool
	// cancelled is whether the caller has cancelled the request.
	cancelled bool
	// abort ends the request, whether it waits or runs.
	abort context.CancelFunc
	// readers is how many routers are reading the answer.
	readers int
	// idleSince is when readers last changed, or when the record was created.
	idleSince time.Time
	// ended is when end was set.
	ended time.Time
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

// tokenCount returns how many tokens the answer has so far, including those of earlier
// attempts.
func (r *record) tokenCount() int { return r.firstIndex + len(r.tokens) }

// signalStart lets the request start at the target. Calling it again before the start is
// received has no effect.
func (r *record) signalStart() {
	select {
	case r.start <- struct{}{}:
	default:
	}
}

// notifyChanged wakes all readers of the answer.
func (r *record) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// addToken appends a token to the answer.
func (r *record) addToken(token string) {
	r.tokens = append(r.tokens, token)
	r.notifyChanged()
}

// finish sets the end of the answer. It has no effect if the request has already ended.
func (r *record) finish(e messenger.End, now time.Time) {
	if r.end != nil {
		return
	}
	e.Tokens = r.tokenCount()
	r.end = &e
	r.ended = now
	r.notifyChanged()
}

// pieceFrom returns the tokens of the answer from index n on. n is at most tokenCount.
func (r *record) pieceFrom(n int) messenger.Piece {
	p := messenger.Piece{Index: n, End: r.end}
	if n < r.firstIndex {
		// An earlier attempt delivered the tokens before firstIndex.
		p.Index = n
		p.Tokens = append(p.Tokens, r.handover.Prior[n:]...)
		n = r.firstIndex
	}
	p.Tokens = append(p.Tokens, r.tokens[n-r.firstIndex:]...)
	return p
}

// cost returns what the request has cost so far: fixedCost if it is positive, as for a
// plain service, else the number of tokens generated here.
func (r *record) cost(fixedCost identifier.Cost) identifier.Cost {
	if fixedCost > 0 {
		return fixedCost
	}
	return identifier.Cost(len(r.tokens))
}
