package forwarder

import "github.com/pkg/errors"

var (
	// errCallerGone means that the caller has disconnected or that the request's time
	// limit has passed.
	errCallerGone = errors.New("caller is gone")
	// errMissingEvent means that an event of a stream does not follow the one before it.
	errMissingEvent = errors.New("stream lacks an event")
	// errTargetEnded means that the end of an answer that has no length is that of its
	// target, so that a part of it may be missing.
	errTargetEnded = errors.New("target ended with its answer, which has no length")
	// errTargetChanged means that the target of an answer was listed anew while the request was
	// on its way, so that it is not known whether its events fit the stream.
	errTargetChanged = errors.New("target was listed anew")
)
