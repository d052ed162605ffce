package isolator

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// MaxHold is how long a request with an undecided part is held for the router to be
	// elected. It is longer than a report takes to the other routers and back.
	MaxHold = 700 * time.Millisecond
	// electAfter is how long a router must have held a request to be elected without being
	// told so by its peers: they know of it by then.
	electAfter = 600 * time.Millisecond
	// electMargin is by how much longer than the first candidate such a router must have held
	// its request, as ages are not exact.
	electMargin = 100 * time.Millisecond
	// candidateTTL is how long a candidate counts that peers told of.
	candidateTTL = time.Second
	// newsAfter is how long after a trial has ended the other routers may not know how.
	newsAfter = time.Second
	// maxHeld bounds the requests that a router holds.
	maxHeld = 64
	// inFlight is the age of the candidacy of a router that tries a part, ahead of all others.
	inFlight = time.Hour
)

// Candidate is a router that holds a request with an undecided part, or tries the part.
type Candidate struct {
	_ struct{} `cbor:",toarray"`
	// Rank identifies the router. Of two that have held their requests for as long the lower
	// one comes first.
	Rank Rank
	// Age is for how long it has held the request.
	Age time.Duration
}

// before reports whether c comes before d.
func (c Candidate) before(d Candidate) bool {
	return c.Age > d.Age || c.Age == d.Age && c.Rank < d.Rank
}

// candidacy is the first of the candidates for a part, as peers told at an instant.
type candidacy struct {
	first Candidate
	at    identifier.Instant
}

// Hold records that this router holds a request with an undecided part, and tells the other
// routers. It returns false if the router may not hold one, since it does already. Of the
// routers that hold one, that which has done so for longest is elected to try the part.
func (i *Isolator) Hold(now identifier.Instant, p Part) bool {
	if _, held := i.held[p]; held || len(i.held) >= maxHeld {
		return false
	}
	i.held[p] = now
	return true
}

// Release records that the request with an undecided part is no longer held.
func (i *Isolator) Release(p Part) { delete(i.held, p) }

// IsElected reports whether this router may send the request that it holds. It may as soon
// as its peers have told that it is first, so that all know of it, or later if they tell of
// none before it. A router without peers may at once.
func (i *Isolator) IsElected(now identifier.Instant, p Part) bool {
	since, held := i.held[p]
	told, known := i.candidates[p]
	known = known && now.Sub(told.at) <= candidateTTL
	// An older candidacy of this router was that of a request that it no longer holds.
	thisOne := told.first.Rank == i.rank && told.first.Age <= told.at.Sub(since)+electMargin
	switch {
	case !held:
		return false
	case i.rank == 0 || known && thisOne:
		return true
	case now.Sub(since) < electAfter:
		return false
	}
	return !known || told.at.Sub(since) > told.first.Age+electMargin
}

// candidacies returns the undecided parts that this router tries or holds requests with.
func (i *Isolator) candidacies(now identifier.Instant) map[Part]Candidate {
	if i.rank == 0 || len(i.held) == 0 && len(i.tried) == 0 {
		return nil
	}
	list := map[Part]Candidate{}
	for p, since := range i.held {
		list[p] = Candidate{Rank: i.rank, Age: now.Sub(since)}
	}
	for p, at := range i.tried {
		switch {
		case !i.InTrial(p) && now.Sub(at) > newsAfter:
			delete(i.tried, p)
		case len(list) < maxTried:
			list[p] = Candidate{Rank: i.rank, Age: inFlight}
		}
	}
	return list
}

// receiveCandidates records the first candidates for undecided parts.
func (i *Isolator) receiveCandidates(now identifier.Instant, trying map[Part]Candidate) {
	for p, c := range i.candidates {
		if now.Sub(c.at) > candidateTTL {
			delete(i.candidates, p)
		}
	}
	for p, first := range trying {
		if _, known := i.candidates[p]; known || len(i.candidates) < maxTried {
			i.candidates[p] = candidacy{first: first, at: now}
		}
	}
}
