package forwarder

import (
	"hash/fnv"
	"net/http"
	"time"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// The reasons for which streams are refused while targets of several software versions serve.
const (
	reasonBeginningUnknown = "The version at which this stream is to begin is not known."
	reasonBeginningNoPlace = "The version at which this stream is to begin has no target."
	reasonVersionUnknown   = "The version that began this stream is not known."
	reasonVersionNoPlace   = "The version that began this stream has no target."
)

// versionCauses holds the values of the cause label for these reasons.
var versionCauses = map[string]string{
	reasonBeginningUnknown: "beginning_unknown",
	reasonBeginningNoPlace: "beginning_without_target",
	reasonVersionUnknown:   "version_unknown",
	reasonVersionNoPlace:   "version_without_target",
}

// unknownRetryAfter is when a stream is to be asked for again whose version is not known.
const unknownRetryAfter = 500 * time.Millisecond

// softwarePin is the software to whose targets a request may go, if it is set.
type softwarePin struct {
	set      bool
	software identifier.Software
}

// pinTo pins the request to the software of target t, which begins the answer's stream. A
// stream goes on only at the software that began it.
func (c *call) pinTo(t *selectedTarget) {
	target, listed := t.sent.Target()
	if c.pin.set || !listed || !c.route.Resumable {
		return
	}
	c.pin = softwarePin{set: true, software: target.Software}
}

// keepsSoftware reports whether target t is listed with the software that the request is pinned
// to. The caller holds f.state.mu.
func (f *Forwarder) keepsSoftware(c *call, t *selectedTarget) bool {
	if !c.pin.set {
		return true
	}
	target, listed := f.state.admitter.ListedTarget(t.choice.Target)
	return listed && target.Software == c.pin.software
}

// targetChanged reports whether the first event of an attempt may come from another software
// than that of its target when the request was sent: the target is listed with another one, or
// for a stream that has begun with another incarnation. One that is no longer listed has not
// changed.
func (f *Forwarder) targetChanged(c *call, t *selectedTarget) bool {
	sent, listed := t.sent.Target()
	if t.firstByteSeen || !c.route.Resumable || !listed {
		return false
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	now, listed := f.state.admitter.ListedTarget(sent.ID)
	if !listed {
		return false
	}
	return now.Software != sent.Software || (c.streamStarted() || c.takesUp()) && now.Incarnation != sent.Incarnation
}

// takesUp reports whether the request takes a stream up that has begun in another answer.
func (c *call) takesUp() bool {
	return c.route != nil && c.route.resumesStreams() && c.info.LastEventID != ""
}

// poolSeed returns the number that selects the request's pool. Those of a stream that may be
// resumed, and of the requests that take it up, are the same, so that a split of the traffic
// does not move it between pools.
func (c *call) poolSeed() uint64 {
	if !c.route.resumesStreams() {
		return c.seed
	}
	id := c.info.ID
	if c.takesUp() {
		id = c.info.Resumes
	}
	if id == "" {
		return c.seed
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// busyAnswer returns the answer for the request if no target may be given it. One that begins a
// stream may come back at once: its next attempt may begin at another version.
func (c *call) busyAnswer(choice admitter.Choice) *errorAnswer {
	if choice.Refused == admitter.SoftwareUnavailable && !c.takesUp() && !c.streamStarted() {
		return &errorAnswer{status: http.StatusServiceUnavailable, reason: reasonBeginningNoPlace, retryAfter: spreadDelay(minRetryAfter)}
	}
	return busyAnswer(choice)
}

// versionUnknown returns the answer for a request for a stream whose version is not known.
func versionUnknown(reason string) *errorAnswer {
	return &errorAnswer{status: http.StatusServiceUnavailable, reason: reason, retryAfter: spreadDelay(unknownRetryAfter)}
}

// pinVersion pins a request for a stream that may be resumed to the version at which the stream
// begins, or began in another answer. It returns an answer for the caller if that is not known.
// The proof of freshness is read before the plans, as one that is read later may be that of
// newer plans.
func (f *Forwarder) pinVersion(c *call) *errorAnswer {
	if !c.route.resumesStreams() {
		return nil
	}
	confirmedAt := f.confirmedAt()
	now := clocker.Now()
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	if c.takesUp() {
		return f.pinTakeUp(now, confirmedAt, c)
	}
	return f.pinBeginning(now, c)
}

// pinBeginning pins a request that begins a stream to the version that the plan of its pool
// gives it. Without a plan it is not pinned. The caller holds f.state.mu.
func (f *Forwarder) pinBeginning(now identifier.Instant, c *call) *errorAnswer {
	f.state.timeLimits.record(c.route.Kind, c.info.Timeout)
	h := f.state.histories[c.pool]
	if h == nil || h.empty() {
		return nil
	}
	v, ok := h.Pick(now, c.info.ID)
	if !ok {
		return versionUnknown(reasonBeginningUnknown)
	}
	c.pin = softwarePin{set: true, software: v}
	return nil
}

// pinTakeUp pins a request that takes a stream up to the version that began the stream. The
// caller holds f.state.mu.
func (f *Forwarder) pinTakeUp(now, confirmedAt identifier.Instant, c *call) *errorAnswer {
	fresh := confirmedAt > 0 && now.Sub(confirmedAt) <= f.settleTime()
	h := f.state.histories[c.pool]
	if h == nil || h.empty() {
		return f.checkUnplannedTakeUp(fresh, c)
	}
	v, ok := h.began(f.beganSince(c), c.info.Resumes)
	if !fresh || !ok {
		return versionUnknown(reasonVersionUnknown)
	}
	c.pin = softwarePin{set: true, software: v}
	return nil
}

// checkUnplannedTakeUp returns nil if a stream of a pool that has no plans may be taken up: all
// targets have the same software, and if that has a name, this router knows that there are no
// plans. The caller holds f.state.mu.
func (f *Forwarder) checkUnplannedTakeUp(fresh bool, c *call) *errorAnswer {
	software := f.state.admitter.Software(c.pool)
	if len(software) > 1 || len(software) == 1 && !software[""] && !fresh {
		return versionUnknown(reasonVersionUnknown)
	}
	return nil
}

// beganMargin is how much earlier than its time limits say a stream may have begun.
const beganMargin = 500 * time.Millisecond

// beganSince returns the earliest instant at which the stream that a request takes up may have
// begun by a plan that was in force, zero if it is not known. A caller has the time limit of its
// first request for all of them, and states what is left of it. A router may use a plan that
// others have replaced until its proof of freshness is too old for keys, which may be later than
// the settle time after which the history takes it for known. The caller holds
// f.state.mu.
func (f *Forwarder) beganSince(c *call) identifier.Instant {
	elapsed, ok := f.state.timeLimits.elapsed(c.route.Kind, c.route.Timeout, c.info.Timeout)
	maxProofAge := f.state.tunables.Load().MaxProofAge
	if !ok || maxProofAge <= 0 || c.route.Public {
		return 0
	}
	late := max(0, maxProofAge-f.settleTime())
	return max(0, c.earliestArrival.Add(-elapsed-beganMargin-late))
}
