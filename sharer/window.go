package sharer

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// window is the time over which rates are measured.
	window = 2 * time.Second
	// bucketCount is the number of buckets in a window.
	bucketCount = 8
	// bucketLength is the time that one bucket covers.
	bucketLength = window / bucketCount
)

// slidingRate measures a rate over a sliding window. It sums amounts in bucketCount full
// buckets and the one that is being filled.
type slidingRate struct {
	sums [bucketCount + 1]float64
	// current is the number of the bucket that is being filled, counted from instant
	// zero.
	current int64
}

// advance makes the bucket of the instant now current and clears the buckets in between.
func (r *slidingRate) advance(now identifier.Instant) {
	n := int64(now) / int64(bucketLength)
	if n-r.current > bucketCount {
		r.sums = [bucketCount + 1]float64{}
		r.current = n
	}
	for r.current < n {
		r.current++
		r.sums[r.current%(bucketCount+1)] = 0
	}
}

// add adds amount at the instant now.
func (r *slidingRate) add(now identifier.Instant, amount float64) {
	r.advance(now)
	r.sums[r.current%(bucketCount+1)] += amount
}

// perSecond returns the amount per second over the window and the elapsed part of the
// current bucket.
func (r *slidingRate) perSecond(now identifier.Instant) float64 {
	r.advance(now)
	var total float64
	for _, sum := range r.sums {
		total += sum
	}
	elapsed := time.Duration(int64(now) % int64(bucketLength))
	return total / (window + elapsed).Seconds()
}
