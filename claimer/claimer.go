package claimer

import "buckthorndrum/identifier"

// Action is what the attempt needs done next.
type Action string

// The actions. Each but End is answered by an event.
const (
	// Mint asks an agent for a minted key.
	Mint Action = "mint"
	// Create writes the claim if there is none.
	Create Action = "create"
	// Read reads the claim.
	Read Action = "read"
	// CloseOwn closes the attempt's own minted key, which lost the claim.
	CloseOwn Action = "close_own"
	// AskState asks the agent of the winning key about its state.
	AskState Action = "ask"
	// Queue queues the request under the winning key and hands it over.
	Queue Action = "queue"
	// Close closes the winning key, under which nothing was run from here.
	Close Action = "close"
	// Follow follows the run that the winning key has had.
	Follow Action = "follow"
	// End ends the attempt with Outcome.
	End Action = "end"
)

// Event is what became of the last action.
type Event string

// The events.
const (
	// Minted answers Mint.
	Minted Event = "minted"
	// Created answers Create: the claim is this attempt's.
	Created Event = "created"
	// Exists answers Create and Read: the claim is somebody's.
	Exists Event = "exists"
	// Absent answers Read: there is no claim, as far as the service shows.
	Absent Event = "absent"
	// Mismatch answers Create and Read: the claim is for another request.
	Mismatch Event = "mismatch"
	// Stale answers Create and Read: an answer came when the key had become too
	// old, so that an earlier claim of it may have expired.
	Stale Event = "stale"
	// Failed means that the action had no effect.
	Failed Event = "failed"
	// Lost means that no answer came, so that the action may have had its effect.
	Lost Event = "lost"
	// Fresh answers Ask: the key has not run.
	Fresh Event = "fresh"
	// InUse answers Ask and Close: the key's request runs or has run.
	InUse Event = "in_use"
	// Closed answers Ask and Close: the key will never run.
	Closed Event = "closed"
	// Gone answers Ask and Close: the incarnation that minted the key is gone.
	Gone Event = "gone"
	// Revived answers Ask: the incarnation that minted the key is gone, and the
	// key may be run in the present one, since the target refuses repeats itself.
	Revived Event = "revived"
	// Refused answers Queue: the request was not admitted to the queue.
	Refused Event = "refused"
	// NotExecuted answers Queue: the request left the queue and was not handed over,
	// or its agent has said that it did not run.
	NotExecuted Event = "expired"
	// Done answers Queue and Follow: the whole answer was delivered.
	Done Event = "done"
)

// maxReads bounds how often a lost claim is looked for before the attempt is
// given up as unknown.
const maxReads = 3

// Attempt is one attempt at a request under a key.
type Attempt struct {
	// First tells that the caller marks this as the key's first attempt.
	First bool
	// OwnKey is the attempt's own minted key, empty until minted.
	OwnKey string
	// WinningKey is the minted key under which the request runs, empty until known.
	WinningKey string
	// TargetRefusesRepeats tells that the winning key's target refuses repeats itself, so that
	// the key may run in any incarnation. Nobody can then say that it never will.
	TargetRefusesRepeats bool
	// claimSent tells that a claim of this attempt may have taken effect.
	claimSent bool
	// answerLost tells that the answer to a claim was answerLost. It is never unset.
	answerLost bool
	reads      int
	action     Action
	outcome    identifier.Outcome
}

// Begin returns the first action. An attempt under a key that the caller has
// had minted comes with Winner set.
func (a *Attempt) Begin() Action {
	if a.WinningKey != "" {
		return a.next(AskState)
	}
	return a.next(Mint)
}

// Outcome returns what the caller is told once the action is End.
func (a *Attempt) Outcome() identifier.Outcome { return a.outcome }

// Step takes in what became of the last action and returns the next one. key is
// the minted key for Minted and the claim's value for Exists.
func (a *Attempt) Step(e Event, key string) Action {
	switch a.action {
	case Mint:
		return a.afterMint(e, key)
	case Create:
		return a.afterCreate(e, key)
	case Read:
		return a.afterRead(e, key)
	case CloseOwn:
		return a.next(AskState)
	case AskState:
		return a.afterAskState(e)
	case Queue:
		return a.afterQueue(e)
	case Close:
		return a.afterClose(e)
	case Follow:
		return a.afterFollow(e)
	}
	return a.end(identifier.Unknown)
}

func (a *Attempt) next(act Action) Action {
	a.action = act
	return act
}

func (a *Attempt) end(o identifier.Outcome) Action {
	a.outcome = o
	return a.next(End)
}

// abandon ends an attempt that did nothing. That says nothing of the key unless
// this is its first attempt and no claim has left it.
func (a *Attempt) abandon() Action {
	if a.First && !a.claimSent {
		return a.end(identifier.NotRun)
	}
	return a.end(identifier.Unknown)
}

func (a *Attempt) afterMint(e Event, key string) Action {
	if e == Minted {
		a.OwnKey = key
		a.claimSent = true
		return a.next(Create)
	}
	if a.First {
		return a.abandon()
	}
	// Another attempt may hold the claim, which can still be followed.
	return a.next(Read)
}

func (a *Attempt) afterCreate(e Event, key string) Action {
	switch e {
	case Mismatch, Stale:
		// Somebody has used the key for another request, or may have run it.
		return a.end(identifier.Unknown)
	case Created:
		return a.setWinner(a.OwnKey)
	case Exists:
		return a.setWinner(key)
	case Lost:
		a.answerLost = true
		return a.next(Read)
	case Failed:
		a.claimSent = a.answerLost
	}
	return a.abandon()
}

func (a *Attempt) afterRead(e Event, key string) Action {
	if e == Exists {
		return a.setWinner(key)
	}
	if e == Mismatch || e == Stale {
		return a.end(identifier.Unknown)
	}
	if a.OwnKey == "" {
		return a.abandon()
	}
	a.reads++
	if a.reads >= maxReads {
		return a.abandon()
	}
	// The write may still be on its way, or the service shows an old value.
	// Writing the same value again is harmless, for a claim is created once.
	return a.next(Create)
}

// setWinner notes that the claim is setWinner by key.
func (a *Attempt) setWinner(key string) Action {
	a.WinningKey = key
	if a.OwnKey != "" && key != a.OwnKey {
		return a.next(CloseOwn)
	}
	return a.next(AskState)
}

func (a *Attempt) afterAskState(e Event) Action {
	switch e {
	case Fresh, Revived:
		return a.next(Queue)
	case InUse:
		return a.next(Follow)
	case Closed:
		return a.end(identifier.NotRun)
	}
	return a.abandon()
}

func (a *Attempt) afterQueue(e Event) Action {
	switch e {
	case Done:
		return a.end(identifier.Done)
	case Refused:
		return a.abandon()
	case NotExecuted:
		if a.TargetRefusesRepeats {
			break
		}
		return a.next(Close)
	}
	return a.end(identifier.Unknown)
}

// afterClose ends an attempt whose key was to be afterClose: only the key's own agent
// can say that it never runs.
func (a *Attempt) afterClose(e Event) Action {
	if e == Closed {
		return a.end(identifier.NotRun)
	}
	return a.end(identifier.Unknown)
}

func (a *Attempt) afterFollow(e Event) Action {
	if e == Done {
		return a.end(identifier.Done)
	}
	return a.end(identifier.Unknown)
}
