package sharer

import "github.com/pkg/errors"

// Rates are the rates of one workspace, in tokens per second.
type Rates struct {
	_ struct{} `cbor:",toarray"`
	// Requested is what the callers requested.
	Requested int
	// Dispatched is what was sent to targets, and Completed the part for which callers
	// received complete answers.
	Dispatched int
	Completed  int
	// Shed is the part of Requested that routers short of processor time shed to others.
	Shed int
	// Admitted is the part of Requested that was neither shed nor throttled.
	Admitted int
}

// served returns the rate that counts when workspaces are compared. It is Completed if
// more than Requested/shedDivisor was shed, and Dispatched otherwise: an overloaded
// router sends requests whose answers do not reach their callers in time, so that only
// complete answers count there.
func (r Rates) served() int {
	if r.Shed > r.Requested/shedDivisor {
		return r.Completed
	}
	return r.Dispatched
}

// unshed returns the part of Requested that was not shed.
func (r Rates) unshed() int { return max(0, r.Requested-r.Shed) }

// shedDivisor sets the limit Requested/shedDivisor, above which shed requests mean that
// only complete answers count.
const shedDivisor = 4

// AddSigned returns r plus sign times other, with each rate at least zero.
func (r Rates) AddSigned(other Rates, sign int) Rates {
	return Rates{Requested: max(0, r.Requested+sign*other.Requested), Dispatched: max(0, r.Dispatched+sign*other.Dispatched), Completed: max(0, r.Completed+sign*other.Completed), Shed: max(0, r.Shed+sign*other.Shed),
		Admitted: max(0, r.Admitted+sign*other.Admitted)}
}

// Check returns an error if one of the decoded rates is negative.
func (r Rates) Check() error {
	if r.Requested < 0 || r.Dispatched < 0 || r.Completed < 0 || r.Shed < 0 || r.Admitted < 0 {
		return errors.Errorf("negative rate in %+v", r)
	}
	return nil
}
