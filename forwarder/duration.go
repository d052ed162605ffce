package forwarder

import (
	"sync"
	"time"

	"buckthorndrum/identifier"
)

// durationPeriod is the length of one period of durations. What is older than two periods
// is forgotten.
const durationPeriod = 30 * time.Second

// durations holds how long the answers to each kind of request took of late. It is safe for
// concurrent use.
type durations struct {
	mu sync.Mutex
	// startedAt is when the current period began.
	startedAt         identifier.Instant
	current, previous map[identifier.Kind]answerTime
}

// answerTime holds the longest times of the answers to one kind of request.
type answerTime struct {
	// first is the longest time from the request to the first byte of its answer.
	first time.Duration
	// rest is the longest time from there to the end, of answers to requests that do not
	// say how many tokens they want. rests is the number of those that were complete.
	rest  time.Duration
	rests int
	// perToken is that time for each token that the request wants at most, of the
	// others. perTokens is the number of those that were complete.
	perToken  time.Duration
	perTokens int
}

// longest returns the longest times of both.
func (a answerTime) longest(b answerTime) answerTime {
	return answerTime{
		first: max(a.first, b.first),
		rest:  max(a.rest, b.rest), rests: a.rests + b.rests,
		perToken: max(a.perToken, b.perToken), perTokens: a.perTokens + b.perTokens,
	}
}

// answerTimeOf returns the times of one answer to a request for at most tokens, zero if it
// does not say.
func answerTimeOf(first, rest time.Duration, tokens int) answerTime {
	if tokens > 0 {
		return answerTime{first: first, perToken: rest / time.Duration(tokens), perTokens: 1}
	}
	return answerTime{first: first, rest: rest, rests: 1}
}

// unfinishedTimeOf returns the times of an answer that was ended before it was complete. It
// would have taken longer, and is not counted.
func unfinishedTimeOf(first, rest time.Duration, tokens int) answerTime {
	a := answerTimeOf(first, rest, tokens)
	a.rests, a.perTokens = 0, 0
	return a
}

// record records the times of an answer.
func (d *durations) record(now identifier.Instant, kind identifier.Kind, a answerTime) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil || now.Sub(d.startedAt) >= durationPeriod {
		d.previous, d.current, d.startedAt = d.current, map[identifier.Kind]answerTime{}, now
	}
	d.current[kind] = d.current[kind].longest(a)
}

const (
	// spareTime is added to the longest time of late, as a part of it.
	spareTime = 0.5
	// spareTimeOfFew, divided by the number of answers, is added as well: the longest of few
	// tells little of the next one.
	spareTimeOfFew = 10.0
)

// estimate returns how long the answer to a request for at most tokens may take, judged by
// the longest of late. ok is false if there was none.
func (d *durations) estimate(kind identifier.Kind, tokens int) (estimate time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.current[kind].longest(d.previous[kind])
	longest, answers := a.first+a.rest, a.rests
	if tokens > 0 {
		longest, answers = a.first+a.perToken*time.Duration(tokens), a.perTokens
	}
	if answers == 0 {
		return 0, false
	}
	return time.Duration((1 + spareTime + spareTimeOfFew/float64(answers)) * float64(longest)), true
}

// recordUnfinished records how long an answer took that had begun when its caller left, its
// time limit passed or the router stopped.
func (f *Forwarder) recordUnfinished(now identifier.Instant, c *call) {
	if c.firstByteAt > 0 {
		f.durations.record(now, c.route.Kind, unfinishedTimeOf(c.firstByteAt.Sub(c.startedAt), now.Sub(c.firstByteAt), c.info.MaxOutputTokens))
	}
}

// recordDuration records how long a complete answer took.
func (f *Forwarder) recordDuration(now identifier.Instant, c *call) {
	first := c.firstByteAt
	if first == 0 {
		first = now
	}
	f.durations.record(now, c.route.Kind, answerTimeOf(first.Sub(c.startedAt), now.Sub(first), c.info.MaxOutputTokens))
}
