package keeper

import (
	"fmt"

	"buckthorndrum/identifier"
)

// State is what a key's agent knows of it.
type State string

// The states of a key.
const (
	// Fresh means that the key is reserved and may still be run.
	Fresh State = "fresh"
	// Running means that its request runs now.
	Running State = "running"
	// Ended means that its request has run; its result tells the outcome.
	Ended State = "ended"
	// Closed means that its request did not run and never will.
	Closed State = "closed"
	// Revived means that an earlier incarnation minted the key, and that it may
	// be run here, since the target refuses repeats itself.
	Revived State = "revived"
)

// Result is how a key's request ended.
type Result struct {
	Outcome identifier.Outcome
	// Request is the request that ran, under which its answer is kept.
	Request identifier.Request
	// AnswerKept tells that the answer is still there for repeats.
	AnswerKept bool
}

// UnmintedError tells that a sequence number was never handed out.
type UnmintedError struct{ Sequence uint64 }

// Error implements error.
func (e UnmintedError) Error() string {
	return fmt.Sprintf("key sequence %d was never minted by this incarnation", e.Sequence)
}

// KeyTable holds the keys of one incarnation. It is not safe for concurrent use.
type KeyTable struct {
	// minted is how many keys were handed out: sequences 0 to minted-1.
	minted uint64
	// used has a bit for each key whose request was started. A bit is cleared
	// only by Release.
	used bits
	// closed has a bit for each key that will never run. No bit is cleared, and
	// a closed key is never used.
	closed bits
	// active holds the requests that run now, by sequence.
	active map[uint64]identifier.Request
	// results are the outcomes still held, at most maxResults.
	results map[uint64]Result
	order   []uint64
}

// maxResults bounds how many ended keys keep the name of their answer.
const maxResults = 1 << 16

// New returns a keeper that has minted nothing.
func New() *KeyTable {
	return &KeyTable{active: map[uint64]identifier.Request{}, results: map[uint64]Result{}}
}

// Mint reserves a key and returns its sequence.
func (k *KeyTable) Mint() uint64 {
	n := k.minted
	k.minted++
	return n
}

// Start marks key n as used by request r. Only when it returns Fresh may the
// caller run the request; any other state is the answer to a repeat.
func (k *KeyTable) Start(n uint64, r identifier.Request) (State, error) {
	st, err := k.State(n)
	if err != nil || st != Fresh {
		return st, err
	}
	k.used.set(n)
	k.active[n] = r
	return Fresh, nil
}

// State returns the state of key n.
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

// Close makes sure that key n never runs and returns its state afterwards:
// Closed, or Running or Ended if it was used before.
func (k *KeyTable) Close(n uint64) (State, error) {
	st, err := k.State(n)
	if err != nil || st != Fresh {
		return st, err
	}
	k.closed.set(n)
	return Closed, nil
}

// ActiveRequest returns the request that runs under key n.
func (k *KeyTable) ActiveRequest(n uint64) identifier.Request { return k.active[n] }

// Finish notes how the request under key n ended. NotRun closes the key: the
// target was never asked.
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
	k.order = append(k.order, n)
	if len(k.order) > maxResults {
		delete(k.results, k.order[0])
		k.order = k.order[1:]
	}
}

// Release makes key n fresh again after a start that did nothing. It is for
// targets that refuse repeats themselves, where a key need not be closed.
func (k *KeyTable) Release(n uint64) {
	delete(k.active, n)
	k.used.clear(n)
}

// Result returns how an ended key's request ended. Once the record is gone the
// outcome is unknown, for the key was used.
func (k *KeyTable) Result(n uint64) Result {
	if r, ok := k.results[n]; ok {
		return r
	}
	return Result{Outcome: identifier.Unknown}
}

// bits is a growing set of small numbers.
type bits []uint64

// wordBits is the number of bits in one word of the set.
const wordBits = 64

func (b *bits) set(n uint64) {
	for uint64(len(*b)) <= n/wordBits {
		*b = append(*b, 0)
	}
	(*b)[n/wordBits] |= 1 << (n % wordBits)
}

func (b bits) clear(n uint64) {
	if n/wordBits < uint64(len(b)) {
		b[n/wordBits] &^= 1 << (n % wordBits)
	}
}

func (b bits) get(n uint64) bool {
	return n/wordBits < uint64(len(b)) && b[n/wordBits]&(1<<(n%wordBits)) != 0
}
