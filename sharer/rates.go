package sharer

import "github.com/pkg/errors"

// Rates are what one workspace asked for and was given, in tokens a second.
type Rates struct {
	_         struct{} `cbor:",toarray"`
	Requested int
	// Dispatched is what was sent to targets, and Whole what callers have got answers
	// for, whole.
	Dispatched int
	Completed  int
	// Shed is the part of what was asked that routers short of processor time have
	// left to others.
	Shed int
	// Admitted is the part of what was asked, and not left to others, that was not
	// held back.
	Admitted int
}

// served returns what the workspace counts as having when others are compared with
// it. A router that is short of processor time sends requests whose answers do not
// reach their callers in time, so that only whole answers count there.
func (r Rates) served() int {
	if r.Shed > r.Requested/shedDivisor {
		return r.Completed
	}
	return r.Dispatched
}

// unshed returns the part of what was asked that was not left to others.
func (r Rates) unshed() int { return max(0, r.Requested-r.Shed) }

// shedDivisor is the part of what is asked from which on what is left to others
// counts.
const shedDivisor = 4

// AddSigned returns the sum of rates and sign times others, which is not negative.
func (r Rates) AddSigned(other Rates, sign int) Rates {
	return Rates{Requested: max(0, r.Requested+sign*other.Requested), Dispatched: max(0, r.Dispatched+sign*other.Dispatched), Completed: max(0, r.Completed+sign*other.Completed), Shed: max(0, r.Shed+sign*other.Shed),
		Admitted: max(0, r.Admitted+sign*other.Admitted)}
}

// Check reports whether decoded rates are well formed.
func (r Rates) Check() error {
	if r.Requested < 0 || r.Dispatched < 0 || r.Completed < 0 || r.Shed < 0 || r.Admitted < 0 {
		return errors.Errorf("rates %+v: one is negative", r)
	}
	return nil
}
