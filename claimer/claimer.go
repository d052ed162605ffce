package claimer

import "buckthorndrum/identifier"

// Action is the next thing to be done for an attempt.
type Action string

// The actions. The caller of the package answers each of them but End with an
// event.
const (
	// Mint requests a minted key from an agent.
	Mint Action = "mint"
	// Create writes the claim if there is none.
	Create Action = "create"
	// Read reads the claim.
	Read Action = "read"
	// CloseOwn closes the attempt's own minted key, because another key holds the
	// claim.
	CloseOwn Action = "close_own"
	// AskState asks the agent of the winning key for the key's state.
	AskState Action = "ask"
	// Queue queues the request under the winning key and hands it over to the key's
	// agent.
	Queue Action = "queue"
	// Close closes the winning key, under which this attempt has run nothing.
	Close Action = "close"
	// Follow follows the run that the winning key already has, to get its answer.
	Follow Action = "follow"
	// End ends the attempt. Attempt.Outcome returns the outcome.
	End Action = "end"
)

// Event is the result of the last action.
type Event string

// The events.
const (
	// Minted answers Mint: an agent has minted a key.
	Minted Event = "minted"
	// Created answers Create: the claim belongs to this attempt.
	Created Event = "created"
	// Exists answers Create and Read: there is a claim, which names the winning key.
	Exists Event = "exists"
	// Absent answers Read: there is no claim, as far as the service shows. It may show
	// an outdated value.
	Absent Event = "absent"
	// Mismatch answers Create and Read: the claim is for a different request.
	Mismatch Event = "mismatch"
	// Stale answers Create and Read: the answer arrived when the key had become too
	// old, so that an earlier claim of the key may have expired.
	Stale Event = "stale"
	// Failed means that the action had no effect.
	Failed Event = "failed"
	// Lost means that no answer arrived, so that the action may have had its effect.
	Lost Event = "lost"
	// Fresh answers AskState: the key has not run.
	Fresh Event = "fresh"
	// InUse answers AskState and Close: the key's request is running or has run.
	InUse Event = "in_use"
	// Closed answers AskState and Close: the key will never run.
	Closed Event = "closed"
	// Gone answers AskState and Close: the incarnation that minted the key no longer
	// exists.
	Gone Event = "gone"
	// Revived answers AskState: the incarnation that minted the key no longer exists,
	// but the key may be run in the current one, because the target itself refuses
	// repeats.
	Revived Event = "revived"
	// Refused answers Queue: the request was not admitted to the queue.
	Refused Event = "refused"
	// NotExecuted answers Queue: the request left the queue without being handed over,
	// or its agent has replied that it did not run.
	NotExecuted Event = "expired"
	// Done answers Queue and Follow: the complete answer was delivered.
	Done Event = "done"
)

// maxReads is how many reads may fail to find a claim whose answer was lost.
// After them the attempt ends with the outcome Unknown.
const maxReads = 3

// Attempt is one attempt at a request under a key. Call Begin, then Step with
// the result of each action until it returns End.
type Attempt struct {
	// First is set if the caller marks this as the key's first attempt.
	First bool
	// OwnKey is the key minted for this attempt, empty until Minted.
	OwnKey string
	// WinningKey is the minted key under which the request runs, empty until known.
	WinningKey string
	// TargetRefusesRepeats is set if the target of the winning key itself refuses
	// repeats. The key may then run in any incarnation, so nobody can guarantee that
	// it never will.
	TargetRefusesRepeats bool
	// claimSent is set if a claim of this attempt may have taken effect.
	claimSent bool
	// answerLost is set if the answer to a Create was lost. It is never reset.
	answerLost bool
	reads      int
	action     Action
	outcome    identifier.Outcome
}

// Begin returns the first action. If the caller sent a minted key, WinningKey
// must be set before.
func (a *Attempt) Begin() Action {
	if a.WinningKey != "" {
		return a.next(AskState)
	}
	return a.next(Mint)
}

// Outcome returns the outcome for the caller once the action is End.
func (a *Attempt) Outcome() identifier.Outcome { return a.outcome }

// Step records the result of the last action and returns the next action. key is
// the minted key for Minted and the key that the claim names for Exists.
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

// abandon ends an attempt that has run nothing. The outcome is NotRun only if
// this is the key's first attempt and no claim of it may have taken effect.
// Otherwise the key may have run, or may still run, through another attempt.
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
	// Another attempt may hold the claim, and its run can be followed.
	return a.next(Read)
}

func (a *Attempt) afterCreate(e Event, key string) Action {
	switch e {
	case Mismatch, Stale:
		// The key was used for another request, or may have run before.
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
	// The write may still be on its way, or the service shows an outdated value.
	// Writing the same value again is harmless, because a claim is created only once.
	return a.next(Create)
}

// setWinner records that key holds the claim.
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

// afterClose ends an attempt whose key was to be closed. NotRun requires the
// answer Closed: only the key's own agent can guarantee that the key never runs.
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
