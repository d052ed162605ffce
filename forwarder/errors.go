package forwarder

import "github.com/pkg/errors"

var (
	// errCallerGone means that the caller has left or its time has passed.
	errCallerGone = errors.New("caller is gone")
	// errMissingEvent means that a stream lacks an event.
	errMissingEvent = errors.New("stream lacks an event")
)
