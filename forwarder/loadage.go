package forwarder

import (
	"time"

	"buckthorndrum/identifier"
)

// SetPeerSummaryDelay records how old the next summary of the other routers is when it
// arrives.
func (f *Forwarder) SetPeerSummaryDelay(d time.Duration) {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.admitter.SetPeerLoadDelay(d)
}

// observeLoadAge records the age of the loads of the peers at the time of a choice, if there
// are any. f.state.mu must be held.
func (f *Forwarder) observeLoadAge(now identifier.Instant) {
	if age, known := f.state.admitter.PeerLoadAge(now); known {
		f.metrics.loadAge.Observe(age.Seconds())
	}
}

// registerQueueGauges registers the gauges of the spread of load over the engines, as this
// router sees it.
func (m *metrics) registerQueueGauges(f *Forwarder) {
	m.gauge("buckthorndrum_forwarder_mean_queue_seconds", "Mean time in which the engines read the prompts that are ahead.", func() float64 {
		mean, _ := f.queueSpread()
		return mean.Seconds()
	})
	m.gauge("buckthorndrum_forwarder_longest_queue_seconds", "Longest time in which an engine reads the prompts that are ahead.", func() float64 {
		_, longest := f.queueSpread()
		return longest.Seconds()
	})
}

// queueSpread returns the mean and the longest queueing delay of the engines.
func (f *Forwarder) queueSpread() (mean, longest time.Duration) {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.admitter.QueueSpread()
}
