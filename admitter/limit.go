package admitter

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// limitedRetryAfter is how long a request is to wait at least that targets refuse because
// of their limits.
const limitedRetryAfter = 500 * time.Millisecond

// underLimit records that a request would be sent to a target, and reports whether the
// target's limit allows that.
func (a *Admitter) underLimit(now identifier.Instant, req Request, id identifier.Target) bool {
	t := a.targets[id]
	t.limit.RecordWanted(now)
	draw := float64(mix(req.Seed^xxhash.Sum64String(string(id)))>>11) / (1 << 53)
	return t.limit.Allows(now, draw, a.processes)
}

// RecordLimit records the limit that an answer to an attempt names, or that it names none.
func (a *Admitter) RecordLimit(now identifier.Instant, attempt *Attempt, l permitter.Limit) {
	if t := attempt.target; t != nil && (l.Named || t.limit.Active(now)) {
		t.limit.RecordAnswer(now, l)
	}
}

// SetProcesses sets the number of routers, including this one.
func (a *Admitter) SetProcesses(n int) { a.processes = n }

// CountLimited returns the number of targets that have a limit.
func (a *Admitter) CountLimited(now identifier.Instant) int {
	n := 0
	for _, t := range a.targets {
		if t.limit.Active(now) {
			n++
		}
	}
	return n
}

// maxLimitReports bounds the reports of one message. Of more, those of the lowest ids
// are kept, so that all routers report the same ones.
const maxLimitReports = 256

// LimitReports holds what routers know of the limits of targets, by target.
type LimitReports map[identifier.Target]permitter.LimitReport

// Add merges a report into r.
func (r LimitReports) Add(id identifier.Target, report permitter.LimitReport) {
	if old, known := r[id]; known {
		report = old.Merge(report)
	}
	r[id] = report
}

// LimitReports returns what this router knows of the limits of targets and counts towards
// them.
func (a *Admitter) LimitReports(now identifier.Instant) LimitReports {
	reports := LimitReports{}
	for id, t := range a.targets {
		if report, ok := t.limit.Report(now, t.Incarnation); ok {
			reports[id] = report
		}
	}
	if len(reports) <= maxLimitReports {
		return reports
	}
	ids := make([]identifier.Target, 0, len(reports))
	for id := range reports {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids[maxLimitReports:] {
		delete(reports, id)
	}
	return reports
}

// SetPeerLimits records what other routers know of the limits of targets and count towards
// them. heard is the number of routers that were heard. It ignores reports on other
// incarnations.
func (a *Admitter) SetPeerLimits(now identifier.Instant, reports LimitReports, heard int) {
	for id, report := range reports {
		if t := a.targets[id]; t != nil && t.Incarnation == report.Incarnation {
			t.limit.SetPeers(now, report, heard)
		}
	}
}
