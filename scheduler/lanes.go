package scheduler

import "buckthorndrum/identifier"

// unreserved is the name of the lane that serves what no kind has reserved.
// It is no valid kind name, so it cannot clash with one.
const unreserved identifier.Kind = ""

// lanes shares one target among kinds by start-time fair queueing. Each kind
// with a guaranteed share has a lane, and the unreserved lane has the rest. A lane
// whose kind has nothing waiting leaves its share to the others.
type lanes struct {
	share map[identifier.Kind]float64
	// start is the virtual time up to which a lane has been served.
	start map[identifier.Kind]float64
	// now is the virtual time of the lane served last. It never falls.
	now float64
}

func newLanes(cfg Config) *lanes {
	l := &lanes{start: map[identifier.Kind]float64{}}
	l.configure(cfg)
	return l
}

func (l *lanes) configure(cfg Config) {
	l.share = map[identifier.Kind]float64{}
	for k, r := range cfg.Kinds {
		if r.Share > 0 {
			l.share[k] = r.Share
		}
	}
	if rest := cfg.unreservedShare(); rest > minUnreservedShare {
		l.share[unreserved] = rest
	}
}

// minUnreservedShare is the rest below which rounding, not intent, left it over.
const minUnreservedShare = 1e-9

// order returns the lanes that have work, the one furthest behind first.
// waiting tells whether a kind has work; the unreserved lane has some if any has.
func (l *lanes) order(waiting map[identifier.Kind]bool) []identifier.Kind {
	var found []identifier.Kind
	for k := range l.share {
		if k == unreserved || waiting[k] {
			found = append(found, k)
		}
	}
	for _, k := range found {
		l.start[k] = max(l.start[k], l.now)
	}
	sortKinds(found, func(a, b identifier.Kind) bool {
		if l.start[a] != l.start[b] {
			return l.start[a] < l.start[b]
		}
		return a > b // A kind's own lane goes before the unreserved one.
	})
	return found
}

// charge counts c of service against lane k at the moment it is chosen.
func (l *lanes) charge(k identifier.Kind, c identifier.Cost) {
	l.now = max(l.now, l.start[k])
	l.correct(k, c)
}

// correct adjusts lane k by c, which is negative for an over-estimate.
func (l *lanes) correct(k identifier.Kind, c identifier.Cost) {
	if s := l.share[k]; s > 0 {
		l.start[k] += float64(c) / s
	}
}
