package claimer

import "buckthorndrum/identifier"

// Action is what the attempt needs done next.
type Action string

// The actions. Each but the last three is answered by an event.
const (
	// Mint asks an agent for a minted key.
	Mint Action = "mint"
	// Create writes the claim if there is none.
	Create Action = "create"
	// Read reads the claim.
	Read Action = "read"
	// CloseOwn closes the attempt's own minted key, then Follow.
	CloseOwn Action = "close_own"
	// Run queues the request under the attempt's own minted key.
	Run Action = "run"
	// Follow asks the agent of the winner's key about it.
	Follow Action = "follow"
	// Refuse ends the attempt with its outcome.
	Refuse Action = "refuse"
)

// Event is what became of the last action.
type Event string

// The events.
const (
	Minted  Event = "minted"
	Failed  Event = "failed"
	Created Event = "created"
	Exists  Event = "exists"
	Absent  Event = "absent"
	// Lost means that no answer came, so that the write may have taken effect.
	Lost Event = "lost"
)

// maxReads bounds how often a lost answer is looked for before the attempt is
// given up as unknown.
const maxReads = 3

// Attempt is one attempt at running a request under a caller's key.
type Attempt struct {
	// First tells that the caller marks this as the key's first attempt.
	First bool
	// Own is the attempt's own minted key, empty until minted.
	Own string
	// Winner is the minted key that holds the claim, empty until known.
	Winner string
	// sent tells that a claim of this attempt may have taken effect.
	sent   bool
	reads  int
	action Action
}

// Begin returns the first action.
func (a *Attempt) Begin() Action { return a.next(Mint) }

// Step takes in what became of the last action and returns the next one. key
// is the minted key for Minted and the claim's value for Exists.
func (a *Attempt) Step(e Event, key string) Action {
	switch a.action {
	case Mint:
		return a.minted(e, key)
	case Create:
		return a.created(e, key)
	case Read:
		return a.read(e, key)
	case CloseOwn:
		return a.next(Follow)
	}
	return a.next(Refuse)
}

// Outcome returns what the caller is told when the attempt is refused. A
// refusal speaks of the key, not of the attempt: it is true that nothing ran
// only if no other attempt was made and no claim has left this one.
func (a *Attempt) Outcome() identifier.Outcome {
	if a.First && !a.sent {
		return identifier.NotRun
	}
	return identifier.Unknown
}

func (a *Attempt) next(act Action) Action {
	a.action = act
	return act
}

func (a *Attempt) minted(e Event, key string) Action {
	if e != Minted {
		// Another attempt may hold the claim, which can still be followed.
		if a.First {
			return a.next(Refuse)
		}
		return a.next(Read)
	}
	a.Own = key
	a.sent = true
	return a.next(Create)
}

func (a *Attempt) created(e Event, key string) Action {
	switch e {
	case Created:
		a.Winner = a.Own
		return a.next(Run)
	case Exists:
		return a.held(key)
	case Lost:
		return a.next(Read)
	case Failed:
		// The service has refused the write without taking it, so that only an
		// earlier write whose answer was lost can have taken effect.
		a.sent = a.reads > 0
	}
	return a.next(Refuse)
}

func (a *Attempt) read(e Event, key string) Action {
	switch {
	case e == Exists:
		return a.held(key)
	case a.Own == "":
		return a.next(Refuse)
	}
	a.reads++
	if a.reads >= maxReads {
		return a.next(Refuse)
	}
	// The write may still be on its way. Writing the same value again is
	// harmless, for the claim is created at most once.
	return a.next(Create)
}

func (a *Attempt) held(key string) Action {
	a.Winner = key
	if key == a.Own {
		return a.next(Run)
	}
	if a.Own == "" {
		return a.next(Follow)
	}
	return a.next(CloseOwn)
}
