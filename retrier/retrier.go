// Package retrier bounds retries, so that they cannot multiply a flood, and
// spaces them.
package retrier

import (
	"time"

	"buckthorndrum/identifier"
)

// Budget allows a fixed part of the requests to be retried.
type Budget struct {
	ratio float64
	// tokens is how many retries are allowed now, from 0 to burst.
	tokens float64
}

// burst is how many retries a quiet router may save up.
const burst = 10

// New returns a full budget of ratio retries for each request.
func New(ratio float64) *Budget { return &Budget{ratio: ratio, tokens: burst} }

// SetRatio replaces the ratio.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// RecordRequest notes a first attempt.
func (b *Budget) RecordRequest() { b.tokens = min(burst, b.tokens+b.ratio) }

// TakeRetry takes one retry from the budget and reports whether there was one.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Bounds of the time between two attempts.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Backoff returns the wait before attempt n, counted from 1, or false if it
// would end after the deadline. jitter is a random number from 0 to 1.
func Backoff(now, deadline identifier.Instant, n int, jitter float64) (time.Duration, bool) {
	d := minBackoff
	for ; n > 1 && d < maxBackoff; n-- {
		d *= 2
	}
	d = min(d, maxBackoff)
	d = d/2 + time.Duration(jitter*float64(d/2))
	return d, now.Add(d) < deadline
}
