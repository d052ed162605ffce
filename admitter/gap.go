package admitter

import "time"

const (
	// prefillChunk is the number of prompt tokens that an engine prefills between two
	// tokens of the running requests, as engines with chunked prefill do.
	prefillChunk = 2048
	// gapFraction is the fraction of a gap objective that the expected gap may take.
	gapFraction = 0.8
)

// expectedGap returns the longest expected gap between two events of the streams that run
// at target t, while it prefills a number of tokens at a pace. Prefill chunks are
// interleaved with the tokens of an event, so that no more than a chunk for each of them
// fits between two events.
func expectedGap(t *targetState, prefillTokens int, req Request, pace float64) time.Duration {
	prefillTokens = min(prefillTokens, max(1, req.EventTokens)*prefillChunk)
	return time.Duration(pace * (float64(t.prefillTime(prefillTokens)) + t.eventTime))
}

// keepsGap reports whether the streams of candidate c, one of pool p, are expected to keep
// to the gap objective if the request is sent there. It always does if the objective or
// the pace of the targets is not known, and if no streams run there. A request whose own
// prompt is too long for every target is sent to an idle one of those that are fastest.
func (p *pool) keepsGap(c candidate, req Request) bool {
	pace := p.pace.slowest()
	if req.GapObjective == 0 || pace == 0 || c.load.Running == 0 {
		return true
	}
	limit := time.Duration(gapFraction * float64(req.GapObjective))
	if expectedGap(c.target, c.load.PrefillTokens+c.prefillTokens, req, pace) <= limit {
		return true
	}
	if c.load.PrefillTokens > 0 || p.fastest == nil {
		return false
	}
	return c.target.relativeTime() <= p.fastest.relativeTime()*nearlyFastest && expectedGap(p.fastest, c.prefillTokens, req, pace) > limit
}

// nearlyFastest is how many times as long as the fastest target one may take that is used
// like it.
const nearlyFastest = 1.25
