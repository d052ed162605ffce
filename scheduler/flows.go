package scheduler

import "buckthorndrum/identifier"

// unreservedFlow is the name of the flow that has the capacity not guaranteed to any
// kind. It is not a valid kind name, so it cannot clash with one.
const unreservedFlow identifier.Kind = ""

// flows divides one target among kinds by start-time fair queueing. Each kind with a
// guaranteed share is a flow, and the unreserved flow, which serves every kind, has the
// remaining share. A flow whose kind has nothing waiting leaves its share to the
// others.
type flows struct {
	shares map[identifier.Kind]float64
	// startTags are the virtual times up to which the flows have been served.
	startTags map[identifier.Kind]float64
	// virtualTime is the start tag of the flow served last. It never decreases.
	virtualTime float64
}

func newFlows(cfg Config) *flows {
	f := &flows{startTags: map[identifier.Kind]float64{}}
	f.configure(cfg)
	return f
}

func (f *flows) configure(cfg Config) {
	f.shares = map[identifier.Kind]float64{}
	for k, r := range cfg.Kinds {
		if r.Share > 0 {
			f.shares[k] = r.Share
		}
	}
	if rest := cfg.unreservedShare(); rest > minUnreservedShare {
		f.shares[unreservedFlow] = rest
	}
}

// minUnreservedShare is the largest remaining share that gets no flow, because it is a
// rounding error of the sum of shares.
const minUnreservedShare = 1e-9

// order returns the flows that have work, the lowest start tag first. waiting holds the
// kinds that have work and is not empty; the unreserved flow has work if any kind has.
func (f *flows) order(waiting map[identifier.Kind]bool) []identifier.Kind {
	var found []identifier.Kind
	for k := range f.shares {
		if k == unreservedFlow || waiting[k] {
			found = append(found, k)
		}
	}
	for _, k := range found {
		f.startTags[k] = max(f.startTags[k], f.virtualTime)
	}
	sortKinds(found, func(a, b identifier.Kind) bool {
		if f.startTags[a] != f.startTags[b] {
			return f.startTags[a] < f.startTags[b]
		}
		return a > b // A kind's own flow goes before the unreserved one.
	})
	return found
}

// charge adds c of service to flow k, which is being served, and advances the virtual
// time.
func (f *flows) charge(k identifier.Kind, c identifier.Cost) {
	f.virtualTime = max(f.virtualTime, f.startTags[k])
	f.adjust(k, c)
}

// adjust adds c of service to flow k. c is negative when an estimate was too high.
func (f *flows) adjust(k identifier.Kind, c identifier.Cost) {
	if s := f.shares[k]; s > 0 {
		f.startTags[k] += float64(c) / s
	}
}
