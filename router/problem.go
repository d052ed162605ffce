package router

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"buckthorndrum/identifier"
	"buckthorndrum/queuer"
)

// Problem is the body of an error response, sent as application/problem+json.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is what is known of the request: not_run or unknown. It is absent in
	// answers to operators.
	Outcome identifier.Outcome `json:"outcome,omitempty"`
	Request identifier.Request `json:"request,omitempty"`
	// Reason is a short code for programs.
	Reason string `json:"reason,omitempty"`
	// Step and Peer are the step and the peer at which the error arose.
	Step string `json:"step,omitempty"`
	Peer string `json:"peer,omitempty"`
	// RetryAfterMS is how long the caller should wait before it tries again, in
	// milliseconds; absent if no retry is advised.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

const (
	problemType = "about:blank"
	problemMIME = "application/problem+json"
)

// problemOf returns the problem for a request that ended with a result other than Done.
func problemOf(id identifier.Request, e result) Problem {
	p := Problem{
		Type:         problemType,
		Title:        "The request did not run.",
		Status:       http.StatusServiceUnavailable,
		Detail:       e.Detail,
		Outcome:      e.Outcome,
		Request:      id,
		Reason:       e.Reason,
		Step:         e.Step,
		Peer:         e.Peer,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
	if e.Outcome == identifier.Unknown {
		p.Title = "It is not known whether the request ran."
		p.Status = http.StatusGatewayTimeout
	}
	switch e.Reason {
	case string(queuer.QueueFull), string(queuer.RouterFull), string(queuer.DeadlineTooNear):
		p.Status = http.StatusTooManyRequests
	case reasonBadKey, reasonPrefixBlocked:
		p.Status = http.StatusBadRequest
	case reasonKeyReused:
		p.Status = http.StatusUnprocessableEntity
	case reasonKeyAge, reasonKeyLost, reasonKeyClosed, reasonAnswerGone:
		p.Status = http.StatusConflict
	}
	return p
}

// requestProblem returns the problem for a call that is malformed or not allowed, whose
// request did not run.
func requestProblem(status int, title, detail, reason string) Problem {
	return Problem{Type: problemType, Title: title, Status: status, Detail: detail, Outcome: identifier.NotRun, Reason: reason, Step: stepAdmit}
}

// sendProblem sends a problem. Retry-After is rounded up to whole seconds.
func sendProblem(ctx iris.Context, p Problem) {
	ctx.Header("Content-Type", problemMIME)
	if p.RetryAfterMS > 0 {
		wait := time.Duration(p.RetryAfterMS) * time.Millisecond
		ctx.Header("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	ctx.StatusCode(p.Status)
	_ = json.NewEncoder(ctx.ResponseWriter()).Encode(p)
}

// sendJSON sends v as JSON.
func sendJSON(ctx iris.Context, status int, v any) {
	ctx.Header("Content-Type", "application/json")
	ctx.StatusCode(status)
	_ = json.NewEncoder(ctx.ResponseWriter()).Encode(v)
}
