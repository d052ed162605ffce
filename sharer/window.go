package sharer

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// window is the time over which rates are taken.
	window = 2 * time.Second
	// buckets is how many parts it has.
	buckets = 8
	// bucket is the length of one part.
	bucket = window / buckets
)

// rate sums amounts over the last window.
type rate struct {
	sums [buckets + 1]float64
	// last is the number of the bucket that is being filled.
	last int64
}

func (r *rate) advance(now identifier.Instant) {
	n := int64(now) / int64(bucket)
	if n-r.last > buckets {
		r.sums = [buckets + 1]float64{}
		r.last = n
	}
	for r.last < n {
		r.last++
		r.sums[r.last%(buckets+1)] = 0
	}
}

func (r *rate) add(now identifier.Instant, v float64) {
	r.advance(now)
	r.sums[r.last%(buckets+1)] += v
}

// perSecond returns the amount for each second of the window.
func (r *rate) perSecond(now identifier.Instant) float64 {
	r.advance(now)
	var total float64
	for _, v := range r.sums {
		total += v
	}
	part := time.Duration(int64(now) % int64(bucket))
	return total / (window + part).Seconds()
}
