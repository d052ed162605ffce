package queuer

import (
	"fmt"
	"time"

	"buckthorndrum/identifier"
)

// Reason tells why a request was refused.
type Reason string

// The reasons for which a request is refused before it leaves the router.
const (
	UnknownKind     Reason = "unknown_kind"
	QueueFull       Reason = "queue_full"
	RouterFull      Reason = "router_full"
	DeadlinePassed  Reason = "deadline_passed"
	DeadlineTooNear Reason = "deadline_too_near"
)

// Refusal is the error for a request that was not taken in. The request is not
// run.
type Refusal struct {
	Request identifier.Request
	Class   identifier.Class
	Reason  Reason
	// RetryAfter is when a retry is worthwhile, zero if never.
	RetryAfter time.Duration
}

// Error implements error.
func (r Refusal) Error() string {
	return fmt.Sprintf("request %s of kind %q of workspace %q refused: %s", r.Request, r.Class.Kind, r.Class.Workspace, r.Reason)
}
