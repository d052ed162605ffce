package permitter

import (
	"math"
	"time"

	"buckthorndrum/identifier"
)

const (
	// limitWindow is the time over which requests to a target are counted.
	limitWindow = 2 * time.Second
	limitSlots  = 20
	limitSlot   = limitWindow / limitSlots
	// recentSlots is how many slots the counts of the others may be behind.
	recentSlots = 5
	// limitHold is how long after a limit was last named an answer without one does not
	// end it. Such an answer may have been given before.
	limitHold = 500 * time.Millisecond
	// limitRampTime is the time in which the rate doubles after a limit has ended, and
	// limitRampSteps is how often it doubles before it is free.
	limitRampTime  = time.Second
	limitRampSteps = 5
	// peerUsageTTL is how long the counts of the other processes are used.
	peerUsageTTL = time.Second
)

// LimitReport is what one or more processes know of the limit of a target and count
// towards it.
type LimitReport struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation is the incarnation of the target.
	Incarnation int64
	// PerSecond is the limit that the target last named, in requests a second, zero if it
	// named none in its last answer.
	PerSecond float64
	// Age is the time since that answer. It is negative if there was none.
	Age time.Duration
	// Wanted is the number of requests of the last limitWindow that would have been sent
	// to the target without its limit, and Sent that of those that were.
	Wanted, Sent int
}

// Valid reports whether a decoded report is well formed.
func (r LimitReport) Valid() bool {
	return r.Wanted >= 0 && r.Sent >= 0 && r.PerSecond >= 0 && r.PerSecond <= maxLimit
}

// Merge returns the report of both. That of a later incarnation replaces an earlier one,
// the latest answer counts, and the counts are added.
func (r LimitReport) Merge(s LimitReport) LimitReport {
	if r.Incarnation != s.Incarnation {
		if r.Incarnation > s.Incarnation {
			return r
		}
		return s
	}
	if r.Age < 0 || s.Age >= 0 && s.Age < r.Age {
		r.PerSecond, r.Age = s.PerSecond, s.Age
	}
	r.Wanted += s.Wanted
	r.Sent += s.Sent
	return r
}

// Less returns the report without the counts of a part of it.
func (r LimitReport) Less(s LimitReport) LimitReport {
	if r.Incarnation == s.Incarnation {
		r.Wanted, r.Sent = max(0, r.Wanted-s.Wanted), max(0, r.Sent-s.Sent)
	}
	return r
}

// Aged returns the report with its age increased by d.
func (r LimitReport) Aged(d time.Duration) LimitReport {
	if r.Age >= 0 {
		r.Age += max(0, d)
	}
	return r
}

// usageWindow counts requests over limitWindow.
type usageWindow struct {
	wanted, sent [limitSlots]int
	// lastSlot is the number of the newest slot; slot n is kept at index n%limitSlots.
	lastSlot int64
}

// advance clears the slots that have begun since the last call.
func (u *usageWindow) advance(now identifier.Instant) {
	slot := int64(now) / int64(limitSlot)
	for i := 0; u.lastSlot < slot && i < limitSlots; i++ {
		u.lastSlot = max(u.lastSlot+1, slot-limitSlots+1)
		u.wanted[u.lastSlot%limitSlots], u.sent[u.lastSlot%limitSlots] = 0, 0
	}
	u.lastSlot = max(u.lastSlot, slot)
}

func (u *usageWindow) sums() (wanted, sent int) {
	for i := range u.wanted {
		wanted += u.wanted[i]
		sent += u.sent[i]
	}
	return wanted, sent
}

// surge returns by how much the wanted requests of the last recentSlots exceed what was
// usual before, and one.
func (u *usageWindow) surge() float64 {
	recent, all := 0, 0
	for n := range int64(limitSlots) {
		wanted := u.wanted[(u.lastSlot-n+limitSlots)%limitSlots]
		all += wanted
		if n < recentSlots {
			recent += wanted
		}
	}
	usual := float64(all-recent) * recentSlots / (limitSlots - recentSlots)
	return max(0, float64(recent)-usual-1)
}

// SharedLimit keeps the requests that all processes together send to one incarnation of
// a target to the rate that the target names. Each process sends a request with the
// probability that makes the expected sum the limit, so that none needs a whole share,
// and none while the counts of all have reached the limit. The zero SharedLimit has no
// limit. It is not safe for concurrent use.
type SharedLimit struct {
	// answer is the limit in the last answer to this process, and peer that in the last
	// answer to another process.
	answer, peer limitAnswer
	// limit is what is in force, zero for none. endedAt is when it ended, zero while
	// the target names one; the rate then rises step by step.
	limit   float64
	endedAt identifier.Instant
	// namedAt is when a limit was last named.
	namedAt identifier.Instant
	usage   usageWindow
	// peerUsage is what the others that were heard count, and peersAt when that was
	// learned, zero if it never was.
	peerUsage LimitReport
	heard     int
	peersAt   identifier.Instant
}

// limitAnswer is the limit in an answer. at is zero if there was no answer.
type limitAnswer struct {
	perSecond float64
	at        identifier.Instant
}

// RecordAnswer records the limit that an answer of the target names, or that it names
// none.
func (s *SharedLimit) RecordAnswer(now identifier.Instant, l Limit) {
	if !l.Named && l.Malformed {
		return
	}
	s.answer = limitAnswer{perSecond: l.PerSecond, at: now}
	s.apply(now, s.answer)
}

// SetPeers records what other processes know and count. heard is the number of those that
// were heard, with or without a limit.
func (s *SharedLimit) SetPeers(now identifier.Instant, r LimitReport, heard int) {
	s.peerUsage, s.heard, s.peersAt = r, heard, now
	if r.Age < 0 {
		return
	}
	if a := (limitAnswer{perSecond: r.PerSecond, at: now.Add(-r.Age)}); a.at > s.peer.at {
		s.peer = a
		s.apply(now, a)
	}
}

// apply puts the limit of an answer in force unless a later one is known. An answer
// without a limit ends it only if none was named for limitHold.
func (s *SharedLimit) apply(now identifier.Instant, a limitAnswer) {
	if a.at < max(s.answer.at, s.peer.at) {
		return
	}
	if a.perSecond > 0 {
		s.limit, s.endedAt = a.perSecond, 0
		s.namedAt = max(s.namedAt, a.at)
		return
	}
	if s.limit > 0 && s.endedAt == 0 && now.Sub(s.namedAt) > limitHold {
		s.endedAt = now
	}
}

// rate returns the rate to which all processes together are held, in requests a second,
// infinite for no limit.
func (s *SharedLimit) rate(now identifier.Instant) float64 {
	if s.limit == 0 {
		return math.Inf(1)
	}
	if s.endedAt == 0 {
		return s.limit
	}
	steps := float64(now.Sub(s.endedAt)) / float64(limitRampTime)
	if steps >= limitRampSteps {
		s.limit, s.endedAt = 0, 0
		return math.Inf(1)
	}
	return s.limit * math.Exp2(steps)
}

// Active reports whether there is a limit.
func (s *SharedLimit) Active(now identifier.Instant) bool { return !math.IsInf(s.rate(now), 1) }

// RecordWanted records that a request would be sent to the target if it had no limit,
// and RecordSent that it is sent.
func (s *SharedLimit) RecordWanted(now identifier.Instant) {
	s.usage.advance(now)
	s.usage.wanted[s.usage.lastSlot%limitSlots]++
}

// RecordSent records that a request is sent to the target.
func (s *SharedLimit) RecordSent(now identifier.Instant) {
	s.usage.advance(now)
	s.usage.sent[s.usage.lastSlot%limitSlots]++
}

// Allows reports whether a request may be sent. draw is a number in [0, 1) that was drawn
// for the request, and processes the number of processes that send to the target.
func (s *SharedLimit) Allows(now identifier.Instant, draw float64, processes int) bool {
	rate := s.rate(now)
	if math.IsInf(rate, 1) {
		return true
	}
	wanted, sent := s.total(now, processes)
	share := rate * limitWindow.Seconds()
	if sent >= share+1 {
		return false
	}
	return draw*wanted < share
}

// total returns the counts of all processes. Those that were not heard are taken to count
// as much on average as this one and those that were heard, and all to have had the same
// surge since.
func (s *SharedLimit) total(now identifier.Instant, processes int) (wanted, sent float64) {
	s.usage.advance(now)
	w, n := s.usage.sums()
	if s.peersAt == 0 || now.Sub(s.peersAt) > peerUsageTTL {
		scale := float64(max(1, processes))
		return float64(w) * scale, float64(n) * scale
	}
	scale := max(1, float64(processes)/float64(1+s.heard))
	wanted, sent = scale*float64(w+s.peerUsage.Wanted), scale*float64(n+s.peerUsage.Sent)
	return wanted + float64(max(0, processes-1))*s.usage.surge(), sent
}

// Report returns what the other processes must know of the limit of an incarnation. ok is
// false if there is none.
func (s *SharedLimit) Report(now identifier.Instant, incarnation int64) (r LimitReport, ok bool) {
	if !s.Active(now) {
		return LimitReport{}, false
	}
	r = LimitReport{Incarnation: incarnation, Age: -1}
	if s.answer.at != 0 {
		r.PerSecond, r.Age = s.answer.perSecond, max(0, now.Sub(s.answer.at))
	}
	s.usage.advance(now)
	r.Wanted, r.Sent = s.usage.sums()
	return r, true
}
