package forwarder

import (
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/admitter"
	"buckthorndrum/identifier"
	"buckthorndrum/isolator"
	"buckthorndrum/sharer"
)

// Summary is what one or more routers have in flight. A decoded summary must be checked
// with Check.
type Summary struct {
	Loads map[identifier.Target]admitter.Load   `cbor:"1,keyasint,omitempty"`
	Rates map[identifier.Workspace]sharer.Rates `cbor:"2,keyasint,omitempty"`
	// Leaving holds the targets that have given notice to a router that they leave.
	Leaving admitter.LeavingReports `cbor:"3,keyasint,omitempty"`
	// Crashes is what routers know of crashes and the parts of prompts that ran then.
	Crashes isolator.Report `cbor:"4,keyasint,omitempty"`
	// Limits is what routers know of the limits of targets and count towards them.
	Limits admitter.LimitReports `cbor:"5,keyasint,omitempty"`
}

// Check returns an error if a decoded summary is not well formed.
func (s Summary) Check() error {
	for id, l := range s.Loads {
		if l.Running < 0 || l.PrefillTokens < 0 || l.MemoryTokens < 0 {
			return errors.Errorf("load of target %q is negative", id)
		}
	}
	for id, n := range s.Leaving {
		if n.Age < 0 {
			return errors.Errorf("age of the notice of target %q is negative", id)
		}
	}
	for id, r := range s.Limits {
		if !r.Valid() {
			return errors.Errorf("report on the limit of target %q is not valid", id)
		}
	}
	if err := s.Crashes.Check(); err != nil {
		return errors.Wrap(err, "check crashes")
	}
	for w, r := range s.Rates {
		if err := r.Check(); err != nil {
			return errors.Wrapf(err, "check rates of workspace %q", w)
		}
	}
	return nil
}

// NewSummary returns an empty summary.
func NewSummary() Summary {
	return Summary{Loads: map[identifier.Target]admitter.Load{}, Rates: map[identifier.Workspace]sharer.Rates{}, Leaving: admitter.LeavingReports{}, Limits: admitter.LimitReports{}}
}

// Add adds t to s, which NewSummary must have made.
func (s *Summary) Add(t Summary) { s.add(t, 1) }

// Aged returns the summary with the age of its notices, limits and crashes increased by
// d. A negative d counts as zero.
func (s Summary) Aged(d time.Duration) Summary {
	if len(s.Limits) > 0 {
		limits := make(admitter.LimitReports, len(s.Limits))
		for id, r := range s.Limits {
			limits[id] = r.Aged(d)
		}
		s.Limits = limits
	}
	if !s.Crashes.Empty() {
		s.Crashes = s.Crashes.Aged(d)
	}
	if len(s.Leaving) == 0 {
		return s
	}
	aged := make(admitter.LeavingReports, len(s.Leaving))
	for id, n := range s.Leaving {
		n.Age += max(0, d)
		aged[id] = n
	}
	s.Leaving = aged
	return s
}

// Plus returns the sum of two summaries.
func (s Summary) Plus(t Summary) Summary { return s.combine(t, 1) }

// Without returns s less t, where s is a sum that contains t.
func (s Summary) Without(t Summary) Summary { return s.combine(t, -1) }

// combine returns the sum of s and sign times t.
func (s Summary) combine(t Summary, sign int) Summary {
	sum := NewSummary()
	sum.add(s, 1)
	sum.add(t, sign)
	return sum
}

// add adds sign times t to s. Values that would be negative become zero. Notices and
// crashes are not subtracted: what one router has learned holds without that router too.
func (s *Summary) add(t Summary, sign int) {
	for id, l := range t.Loads {
		a := s.Loads[id]
		s.Loads[id] = admitter.Load{Running: max(0, a.Running+sign*l.Running), PrefillTokens: max(0, a.PrefillTokens+sign*l.PrefillTokens), MemoryTokens: max(0, a.MemoryTokens+sign*l.MemoryTokens)}
	}
	for w, r := range t.Rates {
		s.Rates[w] = s.Rates[w].AddSigned(r, sign)
	}
	if sign < 0 {
		for id, r := range t.Limits {
			if total, known := s.Limits[id]; known {
				s.Limits[id] = total.Less(r)
			}
		}
		return
	}
	for id, r := range t.Limits {
		s.Limits.Add(id, r)
	}
	for id, n := range t.Leaving {
		s.Leaving.Add(id, n)
	}
	s.Crashes.Add(t.Crashes)
}

// Summary returns what this router has in flight.
func (f *Forwarder) Summary(now identifier.Instant) Summary {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return Summary{
		Loads: f.state.admitter.OwnLoads(), Rates: f.state.sharer.LocalRates(now),
		Leaving: f.state.admitter.LeavingReports(now), Crashes: f.state.isolator.Report(now),
		Limits: f.state.admitter.LimitReports(now),
	}
}

// ReceivePeerSummary records what all other routers have in flight. routers is their
// number.
func (f *Forwarder) ReceivePeerSummary(now identifier.Instant, others Summary, routers int) {
	f.receiveNotices(now, others.Leaving)
	f.receiveCrashes(now, others.Crashes)
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.peers = routers
	f.state.admitter.SetPeerLoads(now, others.Loads)
	f.state.admitter.SetProcesses(f.processes(now))
	f.updateWarmUpPolicy(now)
	f.state.admitter.SetPeerLimits(now, others.Limits, routers)
	f.state.sharer.SetPeerRates(now, others.Rates)
}
