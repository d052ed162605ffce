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

// had returns what the workspace counts as having when others are compared with
// it. A router that is short of processor time sends requests whose answers do not
// reach their callers in time, so that only whole answers count there.
func (r Rates) had() int {
	if r.Shed > r.Requested/leftPart {
		return r.Completed
	}
	return r.Dispatched
}

// open returns the part of what was asked that was not left to others.
func (r Rates) open() int { return max(0, r.Requested-r.Shed) }

// leftPart is the part of what is asked from which on what is left to others
// counts.
const leftPart = 4

// AddSigned returns the sum of rates and sign times others, which is not negative.
func (r Rates) AddSigned(o Rates, sign int) Rates {
	return Rates{Requested: max(0, r.Requested+sign*o.Requested), Dispatched: max(0, r.Dispatched+sign*o.Dispatched), Completed: max(0, r.Completed+sign*o.Completed), Shed: max(0, r.Shed+sign*o.Shed),
		Admitted: max(0, r.Admitted+sign*o.Admitted)}
}

// Check reports whether decoded rates are well formed.
func (r Rates) Check() error {
	if r.Requested < 0 || r.Dispatched < 0 || r.Completed < 0 || r.Shed < 0 || r.Admitted < 0 {
		return errors.Errorf("rates %+v: one is negative", r)
	}
	return nil
}
