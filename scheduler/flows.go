package scheduler

import "buckthorndrum/identifier"

// unreservedFlow is the name of the lane that serves what no kind has reserved.
// It is no valid kind name, so it cannot clash with one.
const unreservedFlow identifier.Kind = ""

// flows shares one target among kinds by start-time fair queueing. Each kind
// with a guaranteed share has a lane, and the unreserved lane has the rest. A lane
// whose kind has nothing waiting leaves its share to the others.
type flows struct {
	shares map[identifier.Kind]float64
	// startTags is the virtual time up to which a lane has been served.
	startTags map[identifier.Kind]float64
	// virtualTime is the virtual time of the lane served last. It never falls.
	virtualTime float64
}

func newFlows(cfg Config) *flows {
	l := &flows{startTags: map[identifier.Kind]float64{}}
	l.configure(cfg)
	return l
}

func (l *flows) configure(cfg Config) {
	l.shares = map[identifier.Kind]float64{}
	for k, r := range cfg.Kinds {
		if r.Share > 0 {
			l.shares[k] = r.Share
		}
	}
	if rest := cfg.unreservedShare(); rest > minUnreservedShare {
		l.shares[unreservedFlow] = rest
	}
}

// minUnreservedShare is the rest below which rounding, not intent, left it over.
const minUnreservedShare = 1e-9

// order returns the lanes that have work, the one furthest behind first.
// waiting tells whether a kind has work; the unreserved lane has some if any has.
func (l *flows) order(waiting map[identifier.Kind]bool) []identifier.Kind {
	var found []identifier.Kind
	for k := range l.shares {
		if k == unreservedFlow || waiting[k] {
			found = append(found, k)
		}
	}
	for _, k := range found {
		l.startTags[k] = max(l.startTags[k], l.virtualTime)
	}
	sortKinds(found, func(a, b identifier.Kind) bool {
		if l.startTags[a] != l.startTags[b] {
			return l.startTags[a] < l.startTags[b]
		}
		return a > b // A kind's own lane goes before the unreserved one.
	})
	return found
}

// charge counts c of service against lane k at the moment it is chosen.
func (l *flows) charge(k identifier.Kind, c identifier.Cost) {
	l.virtualTime = max(l.virtualTime, l.startTags[k])
	l.adjust(k, c)
}

// adjust adjusts lane k by c, which is negative for an over-estimate.
func (l *flows) adjust(k identifier.Kind, c identifier.Cost) {
	if s := l.shares[k]; s > 0 {
		l.startTags[k] += float64(c) / s
	}
}
