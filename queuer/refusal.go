package queuer

import (
	"fmt"
	"time"

	"buckthorndrum/identifier"
)

// Reason is the reason for which a request was refused.
type Reason string

// The reasons for which a request is refused before it leaves the router.
const (
	// UnknownKind means that the configuration has no such kind.
	UnknownKind Reason = "unknown_kind"
	// QueueFull means that the queue is at its limit of requests or bytes.
	QueueFull Reason = "queue_full"
	// RouterFull means that all queues together are at their limit of bytes.
	RouterFull Reason = "router_full"
	// DeadlinePassed means that the deadline has passed already.
	DeadlinePassed Reason = "deadline_passed"
	// DeadlineTooNear means that the request is expected to wait past its deadline.
	DeadlineTooNear Reason = "deadline_too_near"
)

// Refusal is the error for a request that was not queued. The request is not run.
type Refusal struct {
	Request identifier.Request
	Class   identifier.Class
	Reason  Reason
	// RetryAfter is how long to wait before a retry, zero if a retry is of no use.
	RetryAfter time.Duration
}

// Error implements error.
func (r Refusal) Error() string {
	return fmt.Sprintf("request %s of kind %q of workspace %q refused: %s", r.Request, r.Class.Kind, r.Class.Workspace, r.Reason)
}
