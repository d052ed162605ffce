package sharer

import "github.com/pkg/errors"

// Rates are what one workspace asked for and was given, in tokens a second.
type Rates struct {
	_     struct{} `cbor:",toarray"`
	Asked int
	// Given is what was sent to targets, and Begun the part of it that they have
	// begun to answer.
	Given int
	Begun int
	// Left is the part of what was asked that routers short of processor time have
	// left to others.
	Left int
}

// had returns what the workspace counts as having when others are compared with
// it. A router that is short of processor time sends requests that no target begins
// in time, so that only what was begun counts there.
func (r Rates) had() int {
	if r.Left > r.Asked/leftPart {
		return r.Begun
	}
	return r.Given
}

// open returns the part of what was asked that was not left to others.
func (r Rates) open() int { return max(0, r.Asked-r.Left) }

// leftPart is the part of what is asked from which on what is left to others
// counts.
const leftPart = 4

// Plus returns the sum of rates and sign times others, which is not negative.
func (r Rates) Plus(o Rates, sign int) Rates {
	return Rates{Asked: max(0, r.Asked+sign*o.Asked), Given: max(0, r.Given+sign*o.Given), Begun: max(0, r.Begun+sign*o.Begun), Left: max(0, r.Left+sign*o.Left)}
}

// Check reports whether decoded rates are well formed.
func (r Rates) Check() error {
	if r.Asked < 0 || r.Given < 0 || r.Begun < 0 || r.Left < 0 {
		return errors.Errorf("rates %+v: one is negative", r)
	}
	return nil
}
