package measurer

import (
	"container/heap"
	"time"

	"buckthorndrum/identifier"
)

// clock runs events in the order of virtual time.
type clock struct {
	now    identifier.Instant
	events eventHeap
	serial uint64
}

type event struct {
	at identifier.Instant
	// serial keeps events of the same instant in the order of their making.
	serial uint64
	run    func()
}

// after runs f d from now.
func (c *clock) after(d time.Duration, f func()) {
	c.serial++
	heap.Push(&c.events, event{c.now.Add(d), c.serial, f})
}

// every runs f at each multiple of d.
func (c *clock) every(d time.Duration, f func()) {
	c.after(d, func() {
		f()
		c.every(d, f)
	})
}

// runUntil runs all events up to end.
func (c *clock) runUntil(end identifier.Instant) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	(*h)[n] = event{}
	*h = (*h)[:n]
	return e
}
