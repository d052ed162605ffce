package isolator

import "buckthorndrum/identifier"

// answersPerGeneration is the number of parts in one generation of an answerLog. Parts
// that are answered often stay, whatever number of new ones callers send.
const answersPerGeneration = 4096

// answerLog remembers when parts were last answered completely, for the most recently
// answered parts. It holds at most two generations of answersPerGeneration parts.
type answerLog struct {
	current, previous map[Part]identifier.Instant
}

// record records a complete answer to a request with part p.
func (l *answerLog) record(at identifier.Instant, p Part) {
	if len(l.current) >= answersPerGeneration {
		l.previous, l.current = l.current, nil
	}
	if l.current == nil {
		l.current = make(map[Part]identifier.Instant)
	}
	l.current[p] = at
}

// last returns when part p was last answered, zero if that is not known.
func (l *answerLog) last(p Part) identifier.Instant {
	if at, known := l.current[p]; known {
		return at
	}
	return l.previous[p]
}
