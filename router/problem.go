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

// Problem is the body of an error, as application/problem+json.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is what became of the request: not_run or unknown.
	Outcome identifier.Outcome `json:"outcome,omitempty"`
	Request identifier.Request `json:"request,omitempty"`
	// Reason is a short code for programs.
	Reason string `json:"reason,omitempty"`
	// Step and Peer tell where the error arose.
	Step string `json:"step,omitempty"`
	Peer string `json:"peer,omitempty"`
	// RetryAfterMS is when to come back, in milliseconds; absent for never.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

const (
	problemType = "about:blank"
	problemMIME = "application/problem+json"
)

// problemOf renders an ending that is no success.
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
	case reasonBadKey:
		p.Status = http.StatusBadRequest
	case reasonKeyReused:
		p.Status = http.StatusUnprocessableEntity
	case reasonKeyAge, reasonKeyLost, reasonKeyClosed, reasonAnswerGone:
		p.Status = http.StatusConflict
	}
	return p
}

// requestProblem is the problem of a call that was malformed or not allowed.
func requestProblem(status int, title, detail, reason string) Problem {
	return Problem{Type: problemType, Title: title, Status: status, Detail: detail, Outcome: identifier.NotRun, Reason: reason, Step: stepAdmit}
}

func sendProblem(ctx iris.Context, p Problem) {
	ctx.Header("Content-Type", problemMIME)
	if p.RetryAfterMS > 0 {
		wait := time.Duration(p.RetryAfterMS) * time.Millisecond
		ctx.Header("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	ctx.StatusCode(p.Status)
	_ = json.NewEncoder(ctx.ResponseWriter()).Encode(p)
}

func sendJSON(ctx iris.Context, status int, v any) {
	ctx.Header("Content-Type", "application/json")
	ctx.StatusCode(status)
	_ = json.NewEncoder(ctx.ResponseWriter()).Encode(v)
}
