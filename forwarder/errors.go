package forwarder

import "github.com/pkg/errors"

var (
	// errCallerGone means that the caller has disconnected or that the request's time
	// limit has passed.
	errCallerGone = errors.New("caller is gone")
	// errMissingEvent means that a stream skips an event or repeats one after new ones.
	errMissingEvent = errors.New("stream lacks an event")
)
