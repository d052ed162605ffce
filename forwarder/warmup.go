package forwarder

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

const (
	// warmUpHold is how long after its start a router sends nothing to cold targets. It hears
	// of the other routers within that time, as a rule. Without it, a large fleet that
	// restarts at once exceeds the bound, as each router assumes only defaultFleetSize.
	warmUpHold = 2 * time.Second
	// warmUpFleetMemory is how long a router that is no longer heard counts among those that
	// send to cold targets. It bounds the partitions during which the sum of all stays within
	// the bound.
	warmUpFleetMemory = time.Minute
)

// updateWarmUpPolicy passes to the admitter how often this router may send to a cold target: as one
// of the routers that were heard within warmUpFleetMemory, and in the first fleetMemory after
// its start as one of defaultFleetSize at least. The caller holds f.state.mu, or f is not
// in use yet.
func (f *Forwarder) updateWarmUpPolicy(now identifier.Instant) {
	f.state.warmUpFleet.record(now, f.state.peers)
	routers := f.state.warmUpFleet.most() + 1
	if now.Sub(f.startedAt) <= fleetMemory {
		routers = max(routers, defaultFleetSize)
	}
	f.state.admitter.SetWarmUpPolicy(now, admitter.WarmUpPolicy{Routers: routers, Bound: f.state.tunables.Load().ColdBound, NotBefore: f.startedAt.Add(warmUpHold)})
}

// noteResponse records that target t has responded, and for how long it says that it is cold.
func (f *Forwarder) noteResponse(t *selectedTarget, cold permitter.ColdNotice) {
	f.state.mu.Lock()
	f.state.admitter.RecordResponse(clocker.Coarse(), t.sent, cold.Duration)
	first := cold.Malformed && f.state.addresses[t.choice.Target] != "" && !f.state.malformedColds[t.choice.Target]
	if first {
		f.state.malformedColds[t.choice.Target] = true
	}
	f.state.mu.Unlock()
	if first {
		f.metrics.notices.WithLabelValues(noticeMalformedCold).Inc()
		f.log.Warn("cold time not understood", zap.String("target", string(t.choice.Target)), zap.Duration("taken_for", cold.Duration))
	}
}

// noteRefusal records that a target has refused a connection, if that is what err says. A
// connection that timed out shows nothing of its target, which may be out of reach.
func (f *Forwarder) noteRefusal(t *selectedTarget, err error) {
	target, listed := t.sent.Target()
	if !listed || !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.admitter.RecordRefused(clocker.Coarse(), target)
}

// logWarmUps logs the targets that have become cold or warm. The caller holds f.state.mu.
func (f *Forwarder) logWarmUps(now identifier.Instant) {
	for _, c := range f.state.admitter.WarmUpChanges(now) {
		id := zap.String("target", string(c.Target))
		if c.Cold {
			f.log.Info("target warms up", id, zap.Duration("for", c.For), zap.String("told_by", string(c.Cause)))
			continue
		}
		f.log.Info("target is warm", id)
	}
}
