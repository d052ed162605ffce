package estimator

import (
	"runtime"
	"sort"
	"time"
)

const (
	// repeats is how often each size is timed; the median counts.
	repeats = 7
	// timed is about how long one timing lasts.
	timed = 40 * time.Millisecond
)

// perCall returns the median time of one call of f, in microseconds.
func perCall(f func()) float64 {
	f()
	var ts []float64
	for range repeats {
		n := 0
		begin := time.Now()
		for time.Since(begin) < timed {
			f()
			n++
		}
		ts = append(ts, float64(time.Since(begin).Nanoseconds())/1000/float64(n))
	}
	sort.Float64s(ts)
	return ts[len(ts)/2]
}

// held returns the bytes that the value made by f keeps alive.
func held(f func() any) float64 {
	before := heap()
	v := f()
	after := heap()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// over measures f at each size.
func over(sizes []int, f func(n int) float64) []Point {
	ps := make([]Point, len(sizes))
	for i, n := range sizes {
		ps[i] = Point{Size: float64(n), Value: f(n)}
	}
	return ps
}
