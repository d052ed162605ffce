package forwarder

import (
	"time"

	"go.uber.org/zap"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// namedLimit is the limit that a target named last, for the log.
type namedLimit struct {
	incarnation int64
	perSecond   float64
	malformed   bool
}

// noteLimit records the limit that an answer of target t names, or that it names none, and
// logs what is new of it.
func (f *Forwarder) noteLimit(t *selectedTarget, l permitter.Limit) {
	target, listed := t.sent.Target()
	if !listed {
		return
	}
	f.state.mu.Lock()
	f.state.admitter.RecordLimit(clocker.Coarse(), t.sent, l)
	old := f.state.limits[target.ID]
	now := namedLimit{incarnation: target.Incarnation, perSecond: l.PerSecond, malformed: l.Malformed}
	if now.perSecond == 0 && !now.malformed {
		delete(f.state.limits, target.ID)
	} else {
		f.state.limits[target.ID] = now
	}
	f.state.mu.Unlock()
	id := zap.String("target", string(target.ID))
	if now.malformed && !old.malformed {
		f.metrics.notices.WithLabelValues(noticeMalformedLimit).Inc()
		f.log.Warn("limit not understood", id, zap.Float64("taken_for", l.PerSecond))
	}
	switch now.perSecond {
	case old.perSecond:
	case 0:
		f.log.Info("target names no limit any more", id)
	default:
		f.metrics.notices.WithLabelValues(noticeLimit).Inc()
		f.log.Info("target names a limit", id, zap.Float64("per_second", now.perSecond))
	}
}

// fleetMemory is how long a router that is no longer heard is taken to send requests still.
const fleetMemory = 10 * time.Second

// fleetSizes remembers the most routers that were heard within memory and, in part, up to
// twice that.
type fleetSizes struct {
	memory time.Duration
	// startedAt is when a number was recorded for the first time, and since from when on
	// current holds the most.
	startedAt, since  identifier.Instant
	current, previous int
}

// record records the number of other routers that are heard now.
func (s *fleetSizes) record(now identifier.Instant, peers int) {
	if s.startedAt == 0 {
		s.startedAt, s.since = now, now
	}
	if now.Sub(s.since) > s.memory {
		s.since, s.previous, s.current = now, s.current, 0
	}
	s.current = max(s.current, peers)
}

// most returns the most routers that were heard, without this one.
func (s *fleetSizes) most() int { return max(s.current, s.previous) }

// processes returns the number of routers that may send to a target, including this one.
// A router that has just started and hears no other assumes defaultFleetSize. The caller
// holds f.state.mu.
func (f *Forwarder) processes(now identifier.Instant) int {
	s := &f.state.fleetSizes
	s.record(now, f.state.peers)
	most := s.most()
	if most == 0 && now.Sub(s.startedAt) <= fleetMemory {
		return defaultFleetSize
	}
	return most + 1
}

// dropLimits forgets the limits of targets that are no longer listed. The caller holds
// f.state.mu.
func (s *state) dropLimits(addresses map[identifier.Target]string) {
	for id := range s.limits {
		if addresses[id] == "" {
			delete(s.limits, id)
		}
	}
}
