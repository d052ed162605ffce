package queuer

import (
	"time"

	"buckthorndrum/identifier"
)

// KindRule holds the queueing settings of one kind.
type KindRule struct {
	// Pool is the pool whose targets serve the kind.
	Pool identifier.Pool
	// MaxQueued is the maximum number of requests in one queue. Each workspace has a
	// queue for the requests of the kind that any target may run, and one for each
	// target with requests bound to it.
	MaxQueued int
	// MaxQueuedBytes is the maximum total size of the bodies in one queue, in bytes.
	MaxQueuedBytes int
}

// Config configures a queuer. Queuer.Configure replaces it at run time.
type Config struct {
	// Self is the name of this router.
	Self identifier.Router
	// Kinds are the kinds that requests may have.
	Kinds map[identifier.Kind]KindRule
	// MaxBytes is the maximum total size of all queued bodies, in bytes.
	MaxBytes int
	// InitialFanout is the number of agents to which a new queue is offered, at least
	// 1.
	InitialFanout int
	// FanoutDoublingTime is the interval at which the number of agents to which a queue
	// is offered doubles while its first request waits. Zero offers every queue to the
	// whole pool at once.
	FanoutDoublingTime time.Duration
	// LongWaitThreshold is the usual wait from which on a class is offered, beyond the
	// initial fanout, only to agents with room until its first request has waited
	// longer than usual. Offers to full agents would not get such a class served
	// sooner.
	LongWaitThreshold time.Duration
	// BatchDelay is how long changes of such a class are delayed, so that several go in
	// one frame.
	BatchDelay time.Duration
}

// Default values of the configuration.
const (
	DefaultMaxBytes           = 64 << 20
	DefaultInitialFanout      = 1
	DefaultFanoutDoublingTime = 4 * time.Millisecond
	DefaultLongWaitThreshold  = 500 * time.Millisecond
	DefaultBatchDelay         = 250 * time.Millisecond
)
