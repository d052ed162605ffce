package forwarder

import (
	"time"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// eventBatch is the number of times between events over which one mean is taken. A mean of
// few would depend on which events arrive in one read.
const eventBatch = 6

// eventTimer measures the mean time between the events of one answer.
type eventTimer struct {
	// since is when the first event of the batch was written, and events counts the
	// events of the batch after it.
	since  identifier.Instant
	events int
}

// add adds an event that is written at now. ok is true if it completes a batch; mean is
// then the mean time between the events of the batch.
func (t *eventTimer) add(now identifier.Instant) (mean time.Duration, ok bool) {
	if t.since == 0 {
		t.since = now
		return 0, false
	}
	if t.events++; t.events < eventBatch {
		return 0, false
	}
	mean = now.Sub(t.since) / eventBatch
	*t = eventTimer{since: now}
	return mean, true
}

// recordEventTime records that an event of target t is written at now.
func (f *Forwarder) recordEventTime(t *selectedTarget, now identifier.Instant) {
	mean, ok := t.events.add(now)
	if !ok {
		return
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.admitter.RecordEventTime(t.sent, mean)
}

// recordPace records the pace that target t has reported in its answer.
func (f *Forwarder) recordPace(t *selectedTarget, pace float64) {
	if pace == 0 {
		return
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.admitter.RecordPace(clocker.Coarse(), t.sent, pace)
}
