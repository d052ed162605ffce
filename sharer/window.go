package sharer

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// window is the time over which rates are taken.
	window = 2 * time.Second
	// bucketCount is how many parts it has.
	bucketCount = 8
	// bucketLength is the length of one part.
	bucketLength = window / bucketCount
)

// slidingRate sums amounts over the last window.
type slidingRate struct {
	sums [bucketCount + 1]float64
	// current is the number of the bucket that is being filled.
	current int64
}

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

func (r *slidingRate) add(now identifier.Instant, amount float64) {
	r.advance(now)
	r.sums[r.current%(bucketCount+1)] += amount
}

// perSecond returns the amount for each second of the window.
func (r *slidingRate) perSecond(now identifier.Instant) float64 {
	r.advance(now)
	var total float64
	for _, sum := range r.sums {
		total += sum
	}
	elapsed := time.Duration(int64(now) % int64(bucketLength))
	return total / (window + elapsed).Seconds()
}
