package queuer

import (
	"time"

	"buckthorndrum/identifier"
)

// KindRule is what the queuer knows of one kind.
type KindRule struct {
	// Pool is the pool whose targets serve the kind.
	Pool identifier.Pool
	// MaxQueued bounds the waiting requests of one workspace.
	MaxQueued int
	// MaxQueuedBytes bounds their bodies, in bytes.
	MaxQueuedBytes int
}

// Config sets up a queuer. It may be replaced while running by Configure.
type Config struct {
	// Self names this router; it spreads the first offers of the routers.
	Self identifier.Router
	// Kinds are the kinds that requests may have.
	Kinds map[identifier.Kind]KindRule
	// MaxBytes bounds all waiting bodies together, in bytes.
	MaxBytes int
	// InitialFanout is to how many agents a fresh queue is offered, at least 1.
	InitialFanout int
	// FanoutDoublingTime is how long a queue's head waits before the offer goes to
	// twice as many agents.
	FanoutDoublingTime time.Duration
	// LongWaitThreshold is the usual wait of a kind from which on its offers go round a
	// full pool only when they have waited longer than usual. Such a kind is
	// served no sooner for being known everywhere.
	LongWaitThreshold time.Duration
	// BatchDelay is how long changes of such a kind are put off, so that several
	// go in one frame.
	BatchDelay time.Duration
}

// Defaults of the configuration.
const (
	DefaultMaxBytes           = 64 << 20
	DefaultInitialFanout      = 1
	DefaultFanoutDoublingTime = 4 * time.Millisecond
	DefaultLongWaitThreshold  = 500 * time.Millisecond
	DefaultBatchDelay         = 250 * time.Millisecond
)
