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
	// ReadRequest parses the header of a caller's request.
	ReadRequest(h http.Header) RequestInfo
	// WriteRequest sets in h, a copy of the caller's header, the fields for the target,
	// and removes those that the target must not receive.
	WriteRequest(h http.Header, s Attempt)
	// ReadAnswer parses the status and header of a target's answer.
	ReadAnswer(status int, h http.Header) AnswerInfo
}

// RequestInfo is what the header of a caller's request says about it.
type RequestInfo struct {
	// ID identifies the caller's attempt.
	ID identifier.Request
	// Timeout is how long the caller waits for the answer, zero if it does not say.
	Timeout time.Duration
	// MaxReadDelay is how long the caller waits at most for its request to be read,
	// zero if it does not say.
	MaxReadDelay time.Duration
	Key          string
	Model        string
	// PromptTokens is the length of the prompt, and MaxOutputTokens the maximum number
	// of tokens to generate.
	PromptTokens    int
	MaxOutputTokens int
	// PromptPrefix is the prefix of the prompt that other requests may share, as a
	// sequence of parts.
	PromptPrefix []admitter.PromptSegment
	// LastEventID is the ID of the last event of a stream that the caller has received.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of the stream that is
	// taken up, empty if none.
	Resumes identifier.Request
}

// Attempt holds the values that are sent to a target in the header of one attempt.
type Attempt struct {
	Target    identifier.Target
	Workspace identifier.Workspace
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// LastEventID is the ID of the last event of the stream that the caller has
	// received.
	LastEventID string
}

// AnswerInfo is what the status and header of a target's answer say about it.
type AnswerInfo struct {
	// NotRun is set if the target did not run the request.
	NotRun bool
	// Misdirected is set if the answer comes from another target that now has the
	// address.
	Misdirected bool
	// Genuine is set if the answer was made by the target itself.
	Genuine bool
	// Leaving is set if the target is about to leave and takes no new requests.
	Leaving bool
	// Limit is the rate of requests that the target wants from all routers together.
	Limit permitter.Limit
	// Pace is how many times as long as usual work takes at the target now, zero if the
	// target does not say.
	Pace float64
	// Cold is for how long the target says that it is cold.
	Cold permitter.ColdNotice
	// Pause is how long the target wants no new requests. It is read from answers that
	// reject the request.
	Pause permitter.Pause
}
