package forwarder

import (
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/admitter"
	"buckthorndrum/identifier"
	"buckthorndrum/sharer"
)

// Summary is what routers have under way. A decoded one must be checked.
type Summary struct {
	Loads map[identifier.Target]admitter.Load   `cbor:"1,keyasint,omitempty"`
	Rates map[identifier.Workspace]sharer.Rates `cbor:"2,keyasint,omitempty"`
	// Leaving are the targets that have said to a router that they leave.
	Leaving admitter.Notices `cbor:"3,keyasint,omitempty"`
}

// Check reports whether a decoded summary is well formed.
func (s Summary) Check() error {
	for id, l := range s.Loads {
		if l.Running < 0 || l.Unread < 0 || l.Memory < 0 {
			return errors.Errorf("load of target %q is negative", id)
		}
	}
	for id, n := range s.Leaving {
		if n.Age < 0 {
			return errors.Errorf("age of the notice of target %q is negative", id)
		}
	}
	for w, r := range s.Rates {
		if err := r.Check(); err != nil {
			return errors.Wrapf(err, "check workspace %q", w)
		}
	}
	return nil
}

// NewSummary returns a summary of nothing.
func NewSummary() Summary {
	return Summary{Loads: map[identifier.Target]admitter.Load{}, Rates: map[identifier.Workspace]sharer.Rates{}, Leaving: admitter.Notices{}}
}

// Add adds t to a summary that NewSummary has made.
func (s Summary) Add(t Summary) { s.add(t, 1) }

// Aged returns the summary as it is a while later.
func (s Summary) Aged(d time.Duration) Summary {
	if len(s.Leaving) == 0 {
		return s
	}
	aged := make(admitter.Notices, len(s.Leaving))
	for id, n := range s.Leaving {
		n.Age += max(0, d)
		aged[id] = n
	}
	s.Leaving = aged
	return s
}

// Plus returns the sum of two summaries.
func (s Summary) Plus(t Summary) Summary { return s.combine(t, 1) }

// Without returns a sum without one of its parts.
func (s Summary) Without(t Summary) Summary { return s.combine(t, -1) }

// combine returns the sum of s and sign times t.
func (s Summary) combine(t Summary, sign int) Summary {
	sum := NewSummary()
	sum.add(s, 1)
	sum.add(t, sign)
	return sum
}

// add adds t, sign times. What would be negative is nothing, and what targets have said
// to one router is as true without it.
func (s Summary) add(t Summary, sign int) {
	for id, l := range t.Loads {
		a := s.Loads[id]
		s.Loads[id] = admitter.Load{Running: max(0, a.Running+sign*l.Running), Unread: max(0, a.Unread+sign*l.Unread), Memory: max(0, a.Memory+sign*l.Memory)}
	}
	for w, r := range t.Rates {
		s.Rates[w] = s.Rates[w].Plus(r, sign)
	}
	if sign < 0 {
		return
	}
	for id, n := range t.Leaving {
		s.Leaving.Add(id, n)
	}
}

// Status is how far a router has followed the store.
type Status struct {
	_ struct{} `cbor:",toarray"`
	// Position is the store's revision up to which it knows all changes.
	Position int64
	// ProofAge is how long ago that was known to be all.
	ProofAge time.Duration
}

// Summary returns what this router has under way.
func (f *Forwarder) Summary(now identifier.Instant) Summary {
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	return Summary{Loads: f.board.admitter.Own(), Rates: f.board.sharer.Own(now), Leaving: f.board.admitter.Notices(now)}
}

// ReceivePeerSummary takes in what all other routers have under way.
func (f *Forwarder) ReceivePeerSummary(now identifier.Instant, others Summary, routers int) {
	f.heardNotices(now, others.Leaving)
	f.board.mu.Lock()
	defer f.board.mu.Unlock()
	f.board.peers = routers
	f.board.admitter.Heard(now, others.Loads)
	f.board.sharer.Heard(now, others.Rates)
}

// Status returns how far this router has followed the store. The proof is read first: it
// may be of a later position than one that was read before it (see spec/proof.pml).
func (f *Forwarder) Status(now identifier.Instant) Status {
	age := f.ProofAge(now)
	return Status{Position: f.board.position.Load(), ProofAge: age}
}

// ProofAge returns how old the proof is that this router knows all changes.
func (f *Forwarder) ProofAge(now identifier.Instant) time.Duration {
	return now.Sub(f.proof())
}

// proof returns the instant at which this router is known to have had the newest
// configuration, zero for none.
func (f *Forwarder) proof() identifier.Instant { return identifier.Instant(f.board.proved.Load()) }

// Prove notes that at that instant the store had no change after a position that
// this router does not know.
func (f *Forwarder) Prove(at identifier.Instant, position int64) {
	raise(&f.board.position, position)
	raise(&f.board.proved, int64(at))
}

// Follow notes that all changes of the store up to a position are known here.
func (f *Forwarder) Follow(position int64) { raise(&f.board.position, position) }

// ReceivePeerStatus takes in how far another router had followed the store at an instant.
// It proves the configuration here if this router has got as far; otherwise what
// follows the store is told.
func (f *Forwarder) ReceivePeerStatus(at identifier.Instant, s Status) {
	position := f.board.position.Load()
	if s.Position > position {
		select {
		case f.behind <- s.Position:
		default:
		}
		return
	}
	if s.Position > 0 {
		f.Prove(at.Add(-s.ProofAge), position)
	}
}

// Behind tells of positions of the store that other routers know and this one did
// not.
func (f *Forwarder) Behind() <-chan int64 { return f.behind }

// fresh tells whether a key may still be relied on, by the proof at an instant. What it is
// looked up in is to be read after that proof (see spec/proof.pml).
func (f *Forwarder) fresh(now, proved identifier.Instant) bool {
	age := f.board.tunables.Load().ProofAge
	return age <= 0 || proved > 0 && now.Sub(proved) <= age
}
