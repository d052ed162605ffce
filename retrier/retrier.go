// Package retrier limits retries, so that they cannot multiply a flood, and spaces them.
package retrier

import (
	"time"

	"buckthorndrum/identifier"
)

// Budget allows retries in a fixed ratio to requests. It is a token bucket.
type Budget struct {
	// ratio is how many retries each request adds to the budget.
	ratio float64
	// tokens is how many retries are allowed now, from 0 to burst.
	tokens float64
}

// burst is how many retries a quiet router may save up.
const burst = 10

// New returns a full budget with ratio retries per request.
func New(ratio float64) *Budget { return &Budget{ratio: ratio, tokens: burst} }

// SetRatio sets the number of retries per request.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// RecordRequest adds the ratio to the budget for a request's first attempt.
func (b *Budget) RecordRequest() { b.tokens = min(burst, b.tokens+b.ratio) }

// TakeRetry takes one retry from the budget. It reports false, and takes nothing, if less
// than one is left.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Bounds of the backoff between two attempts, before jitter.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Backoff returns the wait before retry n, counted from 1, and whether it ends before the
// deadline. The wait doubles with each retry up to maxBackoff. jitter, a random number
// from 0 to 1, reduces it to between half and all of that.
func Backoff(now, deadline identifier.Instant, n int, jitter float64) (time.Duration, bool) {
	d := minBackoff
	for ; n > 1 && d < maxBackoff; n-- {
		d *= 2
	}
	d = min(d, maxBackoff)
	d = d/2 + time.Duration(jitter*float64(d/2))
	return d, now.Add(d) < deadline
}
