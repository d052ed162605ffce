package forwarder

import "github.com/pkg/errors"

var (
	// errCaller means that the caller has left or its time has passed.
	errCaller = errors.New("caller is gone")
	// errOrder means that a stream lacks an event.
	errOrder = errors.New("stream lacks an event")
)
