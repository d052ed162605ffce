package keeper

import (
	"fmt"

	"buckthorndrum/identifier"
)

// State is the state of a key as its agent knows it.
type State string

// The states of a key.
const (
	// Fresh means that the key is reserved and may still be run.
	Fresh State = "fresh"
	// Running means that the key's request is running.
	Running State = "running"
	// Ended means that the key's request has run. KeyTable.Result returns its outcome.
	Ended State = "ended"
	// Closed means that the key's request has not run and never will.
	Closed State = "closed"
	// Revived means that an earlier incarnation minted the key but that it may be run
	// in this one, because the target itself refuses repeats.
	Revived State = "revived"
)

// Result is the result of a key's request.
type Result struct {
	Outcome identifier.Outcome
	// Request is the request that ran. Its answer is stored under this name.
	Request identifier.Request
	// AnswerKept is set while the result is held, so that the answer can be looked up
	// under Request.
	AnswerKept bool
}

// UnmintedError is returned for a sequence number that this incarnation has not
// minted.
type UnmintedError struct{ Sequence uint64 }

// Error implements error.
func (e UnmintedError) Error() string {
	return fmt.Sprintf("key sequence %d was never minted by this incarnation", e.Sequence)
}

// KeyTable holds the states of the keys of one incarnation. It is not safe for
// concurrent use.
type KeyTable struct {
	// minted is the number of keys minted so far. Their sequences are 0 to minted-1.
	minted uint64
	// used has a bit for each key whose request was started. Only Release clears a
	// bit.
	used bitSet
	// closed has a bit for each key that will never run. No bit is ever cleared, and a
	// closed key is never started.
	closed bitSet
	// active holds the running requests by sequence.
	active map[uint64]identifier.Request
	// results holds the most recent results by sequence, at most maxResults.
	// resultOrder holds their sequences, the oldest first.
	results     map[uint64]Result
	resultOrder []uint64
}

// maxResults is the maximum number of ended keys whose results are held.
const maxResults = 1 << 16

// New returns a table without keys.
func New() *KeyTable {
	return &KeyTable{active: map[uint64]identifier.Request{}, results: map[uint64]Result{}}
}

// Mint reserves a key and returns its sequence number.
func (k *KeyTable) Mint() uint64 {
	n := k.minted
	k.minted++
	return n
}

// Start marks key n as used by request r. The caller may run the request only if
// Start returns Fresh. Any other state means that r is a repeat or that the key
// is closed. The error is an UnmintedError if n was not minted.
func (k *KeyTable) Start(n uint64, r identifier.Request) (State, error) {
	st, err := k.State(n)
	if err != nil || st != Fresh {
		return st, err
	}
	k.used.set(n)
	k.active[n] = r
	return Fresh, nil
}

// State returns the state of key n, or an UnmintedError if n was not minted.
func (k *KeyTable) State(n uint64) (State, error) {
	switch {
	case n >= k.minted:
		return "", UnmintedError{Sequence: n}
	case k.closed.get(n):
		return Closed, nil
	case !k.used.get(n):
		return Fresh, nil
	}
	if _, ok := k.active[n]; ok {
		return Running, nil
	}
	return Ended, nil
}

// Close closes key n if it is fresh, so that it never runs, and returns the
// state afterwards: Closed, or Running or Ended if the key was used before. The
// error is an UnmintedError if n was not minted.
func (k *KeyTable) Close(n uint64) (State, error) {
	st, err := k.State(n)
	if err != nil || st != Fresh {
		return st, err
	}
	k.closed.set(n)
	return Closed, nil
}

// ActiveRequest returns the request that is running under key n, or an empty
// string.
func (k *KeyTable) ActiveRequest(n uint64) identifier.Request { return k.active[n] }

// Finish records the outcome of the request under key n. NotRun closes the key:
// the target never received the request. Finish has no effect if no request is
// running under n.
func (k *KeyTable) Finish(n uint64, outcome identifier.Outcome) {
	r, ok := k.active[n]
	if !ok {
		return
	}
	delete(k.active, n)
	if outcome == identifier.NotRun {
		k.closed.set(n)
		return
	}
	k.results[n] = Result{Outcome: outcome, Request: r, AnswerKept: true}
	k.resultOrder = append(k.resultOrder, n)
	if len(k.resultOrder) > maxResults {
		delete(k.results, k.resultOrder[0])
		k.resultOrder = k.resultOrder[1:]
	}
}

// Release makes key n fresh again after its request did not run. It is for
// targets that themselves refuse repeats: their keys need not be closed.
func (k *KeyTable) Release(n uint64) {
	delete(k.active, n)
	k.used.clear(n)
}

// Result returns the result of an ended key. If the result is no longer held the
// outcome is Unknown, because the key was used.
func (k *KeyTable) Result(n uint64) Result {
	if r, ok := k.results[n]; ok {
		return r
	}
	return Result{Outcome: identifier.Unknown}
}

// bitSet is a set of non-negative integers that grows with the largest one.
type bitSet []uint64

// wordBits is the number of bits in one word of a bitSet.
const wordBits = 64

func (b *bitSet) set(n uint64) {
	for uint64(len(*b)) <= n/wordBits {
		*b = append(*b, 0)
	}
	(*b)[n/wordBits] |= 1 << (n % wordBits)
}

func (b bitSet) clear(n uint64) {
	if n/wordBits < uint64(len(b)) {
		b[n/wordBits] &^= 1 << (n % wordBits)
	}
}

func (b bitSet) get(n uint64) bool {
	return n/wordBits < uint64(len(b)) && b[n/wordBits]&(1<<(n%wordBits)) != 0
}
