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
	current, previous map[identifier.Kind]kindTimes
}

// kindTimes holds the times of the answers to one kind of request: of those that were
// complete, and of those that ended before, which would have taken longer.
type kindTimes struct {
	complete, unfinished answerTime
}

// merge returns the times of both.
func (k kindTimes) merge(other kindTimes) kindTimes {
	return kindTimes{complete: k.complete.longest(other.complete), unfinished: k.unfinished.longest(other.unfinished)}
}

// answerTime holds the longest times of some answers.
type answerTime struct {
	// first is the longest time from the request to the first byte of its answer.
	first time.Duration
	// rest is the longest time from there to the end, of answers to requests that do not
	// say how many tokens they want. rests is their number.
	rest  time.Duration
	rests int
	// perToken is that time for each token that the request wants at most, of the
	// others. perTokens is their number.
	perToken  time.Duration
	perTokens int
}

// forTokens returns the longest time of an answer to a request for at most tokens, zero if
// it does not say, and the number of answers by which that is known.
func (a answerTime) forTokens(tokens int) (longest time.Duration, answers int) {
	if tokens > 0 {
		return a.first + a.perToken*time.Duration(tokens), a.perTokens
	}
	return a.first + a.rest, a.rests
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

// record records the times of answers to one kind of request.
func (d *durations) record(now identifier.Instant, kind identifier.Kind, a answerTime) {
	d.add(now, kind, kindTimes{complete: a})
}

func (d *durations) add(now identifier.Instant, kind identifier.Kind, k kindTimes) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil || now.Sub(d.startedAt) >= durationPeriod {
		d.previous, d.current, d.startedAt = d.current, map[identifier.Kind]kindTimes{}, now
	}
	d.current[kind] = d.current[kind].merge(k)
}

const (
	// spareTime is added to the longest time of late, as a part of it.
	spareTime = 0.5
	// spareTimeOfFew, divided by the number of answers, is added as well: the longest of few
	// tells little of the next one.
	spareTimeOfFew = 10.0
	// rareAnswers is the number of answers among which one that did not end says nothing
	// of the others.
	rareAnswers = 100
)

// estimate returns how long the answer to a request for at most tokens may take, judged by
// the longest of late, those that did not end included unless they are rare. ok is false if
// none was complete.
func (d *durations) estimate(kind identifier.Kind, tokens int) (estimate time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.current[kind].merge(d.previous[kind])
	longest, answers := k.complete.forTokens(tokens)
	if answers == 0 {
		return 0, false
	}
	unfinished, n := k.unfinished.forTokens(tokens)
	if n*rareAnswers > answers {
		longest = max(longest, unfinished)
	}
	return time.Duration((1 + spareTime + spareTimeOfFew/float64(answers)) * float64(longest)), true
}

// answerTimeAt returns how long the answer to a request took until now.
func (c *call) answerTimeAt(now identifier.Instant) answerTime {
	first := c.firstByteAt
	if first == 0 {
		first = now
	}
	return answerTimeOf(first.Sub(c.startedAt), now.Sub(first), c.info.MaxOutputTokens)
}

// recordDuration records how long a complete answer took.
func (f *Forwarder) recordDuration(now identifier.Instant, c *call) {
	f.durations.add(now, c.route.Kind, kindTimes{complete: c.answerTimeAt(now)})
}

// recordUnfinished records how long a request had taken whose caller left, or whose time
// limit passed, before its answer was complete.
func (f *Forwarder) recordUnfinished(now identifier.Instant, c *call) {
	f.durations.add(now, c.route.Kind, kindTimes{unfinished: c.answerTimeAt(now)})
}
