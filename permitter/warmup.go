package permitter

import (
	"math"
	"regexp"
	"strconv"
	"time"

	"buckthorndrum/identifier"
)

// ColdCause is the evidence from which a process concluded that a target is cold.
type ColdCause string

// Values of ColdCause.
const (
	// ColdByEntry means that the entry of the target says so.
	ColdByEntry ColdCause = "its entry"
	// ColdByAnswer means that an answer of the target says so.
	ColdByAnswer ColdCause = "an answer"
	// ColdByEvacuation means that the evacuation of its data centre has ended.
	ColdByEvacuation ColdCause = "the end of an evacuation"
	// ColdByRefusal means that the target has refused a connection, as its process ended.
	ColdByRefusal ColdCause = "refused connections"
)

const (
	// MaxCold caps the time for which an entry or an answer says that a target is cold, and
	// the time for which a target counts as cold that refuses connections.
	MaxCold = 10 * time.Minute
	// permitWindow is how long after the start of a permit its request may begin.
	permitWindow = 250 * time.Millisecond
	// permitDeviations is how many standard deviations the bound is above the mean number of
	// permits that may be used in a second.
	permitDeviations = 6
	// maxPermitInterval caps the time between two permits of one process.
	maxPermitInterval = time.Hour
)

// ColdRate is the load that a cold target of a pool can handle. The zero ColdRate means that the targets
// of the pool are never cold.
type ColdRate struct {
	// Duration is how long a target is cold after its start.
	Duration time.Duration
	// PerSecond is the rate of requests that a cold target handles, zero if its targets are
	// never cold.
	PerSecond float64
}

// ColdBound relates the requests that all processes together may send to a cold target in
// any one second to the rate r that it handles: r x Overage + Slack. An Overage of zero
// counts as one, so that the zero ColdBound allows r.
type ColdBound struct{ Overage, Slack float64 }

// requests returns the bound in requests in a second for a target that handles perSecond.
func (b ColdBound) requests(perSecond float64) float64 {
	if b.Overage == 0 {
		return perSecond + b.Slack
	}
	return perSecond*b.Overage + b.Slack
}

// PermitRate returns the rate of permits that all processes together may have, in permits a
// second, for a target that handles perSecond requests. The permits of processes are
// independent, so that the number in a second is a Poisson variable. The requests of one
// second use the permits of that second and of the permitWindow before. Their mean x
// satisfies x + permitDeviations x sqrt(x) <= bound.
func (b ColdBound) PermitRate(perSecond float64) float64 {
	bound := b.requests(perSecond)
	if !(perSecond > 0) || !(bound > 0) {
		return 0
	}
	root := (math.Sqrt(permitDeviations*permitDeviations+4*bound) - permitDeviations) / 2
	return min(perSecond, root*root/(1+permitWindow.Seconds()))
}

// PermitInterval returns the time between two permits of one of a number of processes that
// together have perSecond permits a second. It is zero if perSecond is not positive.
func PermitInterval(perSecond float64, processes int) time.Duration {
	if !(perSecond > 0) {
		return 0
	}
	seconds := float64(max(1, processes)) / perSecond
	return time.Duration(min(seconds, maxPermitInterval.Seconds()) * float64(time.Second))
}

// PermitSchedule is how often a process has a permit.
type PermitSchedule struct {
	// Interval is the time between two permits, zero if targets are never cold.
	Interval time.Duration
	// NotBefore is the earliest start of a permit. Until then the process does not know how
	// many others there are.
	NotBefore identifier.Instant
}

// WarmUp paces the requests of one process to a target while it is cold. Each request needs
// a permit of its own that began less than permitWindow before. A permit that is not used
// expires, so that a burst of demand finds at most one. Processes exchange nothing, so that
// the bound holds during partitions too. The zero WarmUp is warm. It is not safe for
// concurrent use.
type WarmUp struct {
	// coldUntil is until when the target is cold, by all that was learned.
	coldUntil identifier.Instant
	// refusedAt is when the target last refused a connection, zero if it has responded since.
	refusedAt identifier.Instant
	// cause is the first evidence for the current cold period.
	cause    ColdCause
	schedule PermitSchedule
	// phase, from 0 to 1, is where in the first interval the first permit begins.
	phase float64
	// start is the start of the latest permit, zero before the first. next is that of the
	// next one, zero if it is not determined yet.
	start, next identifier.Instant
	// taken is set when the latest permit has been used.
	taken bool
}

// SetSchedule replaces the schedule. The time until the next permit is scaled with the interval: if
// all processes learn of others at once, their next permits remain spread over an interval.
func (w *WarmUp) SetSchedule(now identifier.Instant, p PermitSchedule) {
	if old := w.schedule.Interval; old != p.Interval {
		w.advance(now)
		if w.next != 0 && p.Interval > 0 && old > 0 {
			w.next = now.Add(time.Duration(float64(w.next.Sub(now)) * float64(p.Interval) / float64(old)))
		} else {
			w.next = 0
		}
	}
	w.schedule = p
}

// RecordCold records that the target is cold for the duration d. An end that was learned
// before and is later remains. phase, from 0 to 1, is random, so that the permits of
// different processes are independent. It is used if a cold period begins.
func (w *WarmUp) RecordCold(now identifier.Instant, d time.Duration, cause ColdCause, phase float64) {
	if d <= 0 {
		return
	}
	w.begin(now, cause, phase)
	w.coldUntil = max(w.coldUntil, now.Add(d))
}

// RecordRefused records that the target has refused a connection. It is cold until it
// responds, and after that.
func (w *WarmUp) RecordRefused(now identifier.Instant, phase float64) {
	w.begin(now, ColdByRefusal, phase)
	w.refusedAt = max(now, 1)
}

// begin begins a cold period unless there is one.
func (w *WarmUp) begin(now identifier.Instant, cause ColdCause, phase float64) {
	if w.isCold(now) {
		return
	}
	w.cause, w.phase = cause, phase
	w.start, w.next, w.taken = 0, 0, false
}

// RecordResponse records that the target responded to a request, or a connection, that began
// at the instant began. If it has refused connections before, it is cold for the duration d
// from now on.
func (w *WarmUp) RecordResponse(now, began identifier.Instant, d time.Duration) {
	if w.refusedAt == 0 || began < w.refusedAt {
		return
	}
	w.refusedAt = 0
	w.coldUntil = max(w.coldUntil, now.Add(d))
}

// isCold reports whether the target is cold, whether or not its pool has a schedule.
func (w *WarmUp) isCold(now identifier.Instant) bool {
	return now < w.coldUntil || w.refusedAt != 0 && now.Sub(w.refusedAt) < MaxCold
}

// Cold reports whether the target is cold, so that its requests need permits.
func (w *WarmUp) Cold(now identifier.Instant) bool { return w.schedule.Interval > 0 && w.isCold(now) }

// Cause returns the first evidence for the latest cold period.
func (w *WarmUp) Cause() ColdCause { return w.cause }

// Until returns until when the target is cold, as far as that is known.
func (w *WarmUp) Until() identifier.Instant { return w.coldUntil }

// advance moves to the latest permit that has begun. It determines the first permit when the
// target is first looked at after schedule.NotBefore.
func (w *WarmUp) advance(now identifier.Instant) {
	if w.schedule.Interval <= 0 || now < w.schedule.NotBefore {
		return
	}
	if w.next == 0 {
		w.next = now.Add(time.Duration(w.phase * float64(w.schedule.Interval)))
	}
	if now < w.next {
		return
	}
	passed := now.Sub(w.next) / w.schedule.Interval
	w.start = w.next.Add(passed * w.schedule.Interval)
	w.next = w.start.Add(w.schedule.Interval)
	w.taken = false
}

// permitEnd returns when the latest permit expires.
func (w *WarmUp) permitEnd() identifier.Instant { return min(w.start.Add(permitWindow), w.next) }

// Decide returns whether the target may be given a request at the instant now: it is warm,
// or this process has a permit.
func (w *WarmUp) Decide(now identifier.Instant) Decision {
	if !w.Cold(now) {
		return Decision{}
	}
	w.advance(now)
	if w.hasPermit(now) {
		return Decision{}
	}
	return Decision{Reason: WarmingUp, Until: max(w.next, w.schedule.NotBefore, now)}
}

// hasPermit reports whether the latest permit may be used.
func (w *WarmUp) hasPermit(now identifier.Instant) bool {
	return w.start != 0 && now >= w.schedule.NotBefore && !w.taken && now < w.permitEnd()
}

// TakePermit uses the permit of this process if the target is cold and there is one. It
// returns until when the request may begin, zero if none was used.
func (w *WarmUp) TakePermit(now identifier.Instant) (until identifier.Instant) {
	if !w.Cold(now) {
		return 0
	}
	w.advance(now)
	if !w.hasPermit(now) {
		return 0
	}
	w.taken = true
	return w.permitEnd()
}

// Recheck decides whether a request may begin now that has taken a permit until the given
// instant, zero for none.
func (w *WarmUp) Recheck(now, permitUntil identifier.Instant) Decision {
	if !w.Cold(now) || now < permitUntil {
		return Decision{}
	}
	return Decision{Reason: WarmingUp}
}

// ColdNotice is what an answer says of how long its target is cold.
type ColdNotice struct {
	// Duration is for how long, from zero to MaxCold. It is zero if the answer does not say.
	Duration time.Duration
	// Malformed is whether a value is not a number of milliseconds up to MaxCold.
	Malformed bool
}

// millisecondsPattern matches a number of milliseconds, integer or fractional.
var millisecondsPattern = regexp.MustCompile(`^[ \t]*([0-9]{1,18}(?:\.[0-9]{1,18})?)[ \t]*$`)

// ParseCold parses the values of a header field that says for how many milliseconds a target
// is cold. Of several the largest counts. A value that cannot be parsed says nothing, and one
// above MaxCold counts as MaxCold.
func ParseCold(values []string) ColdNotice {
	var n ColdNotice
	for _, v := range values {
		m := millisecondsPattern.FindStringSubmatch(v)
		if m == nil {
			n.Malformed = true
			continue
		}
		ms, err := strconv.ParseFloat(m[1], 64)
		limit := float64(MaxCold / time.Millisecond)
		n.Malformed = n.Malformed || err != nil || ms > limit
		n.Duration = max(n.Duration, time.Duration(min(ms, limit)*float64(time.Millisecond)))
	}
	return n
}
