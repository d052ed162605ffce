package forwarder

import (
	"net/http"
	"time"

	"buckthorndrum/admitter"
	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// Dialect reads and writes the headers that callers and targets use.
type Dialect interface {
	// ReadRequest takes what it needs from a caller's header.
	ReadRequest(h http.Header) RequestInfo
	// WriteRequest replaces in a caller's header, which it may change, what a target is
	// told.
	WriteRequest(h http.Header, s Attempt)
	// ReadAnswer says what a target's answer tells besides its body.
	ReadAnswer(status int, h http.Header) AnswerInfo
}

// RequestInfo are what a caller says of its request.
type RequestInfo struct {
	// ID names the attempt.
	ID identifier.Request
	// Timeout is how long the caller waits, zero if it does not say.
	Timeout time.Duration
	// MaxReadDelay is how long it waits at most for its request to be read, zero if it does
	// not say.
	MaxReadDelay time.Duration
	Key    string
	Model  string
	// PromptTokens and Output are tokens to read and the most to generate.
	PromptTokens int
	MaxOutputTokens int
	PromptPrefix  []admitter.Part
	// LastEventID is the last event of a stream that the caller has.
	LastEventID string
}

// Attempt is what a target is told with a request.
type Attempt struct {
	Target    identifier.Target
	Workspace identifier.Workspace
	// Remaining is how long the target may work.
	Remaining time.Duration
	// LastEventID is the last event of the stream that the caller has.
	LastEventID string
}

// AnswerInfo is what a target's answer tells.
type AnswerInfo struct {
	// NotRun tells that the target did not run the request.
	NotRun bool
	// Misdirected tells that another target has the address.
	Misdirected bool
	// Genuine tells that the answer is the target's own.
	Genuine bool
	// Leaving tells that the target leaves.
	Leaving bool
	// Pause is for how long it wants no work. It is read of an answer that turns the
	// request away.
	Pause permitter.Pause
}
