package informer

import (
	"net/netip"
	"sort"
	"time"

	"buckthorndrum/forwarder"
	"buckthorndrum/identifier"
)

// MaxMessageInterval is the most time between two messages of a router.
const MaxMessageInterval = 300 * time.Millisecond

const (
	// hubs is how many routers each router reports to.
	hubs = 2
	// perRouter, minEvery and maxEvery make the time between two messages, so
	// that what a hub handles grows slowly with the fleet.
	perRouter = 3 * time.Millisecond
	minEvery  = 50 * time.Millisecond
	maxEvery  = MaxMessageInterval
	// reportLife is how long a report counts in a total, and totalLife a total.
	reportLife = time.Second
	totalLife  = 600 * time.Millisecond
	// silentAfter is when a hub that answers no report is passed over, and
	// retryAfter for how long one is.
	silentAfter = 500 * time.Millisecond
	retryAfter  = 2 * time.Second
	// staleBy is by how much a hub's proof may be older than the own one. Beyond
	// that the hub is passed over: it does not reach the store, and others do.
	staleBy = time.Second
	// candidates is how many routers that may be hubs have an entry in the store, so
	// that the entries cost the same whatever the fleet's size.
	candidates = 6
	// keptReports is how many of its own reports a router keeps, to take its own
	// part out of a total.
	keptReports = 32
)

// Peer is another router as the list of routers has it.
type Peer struct {
	Address netip.AddrPort
	// Weight orders the routers that are asked to be hubs, the highest first.
	Weight int
}

// hub is what a router knows of another one as its hub.
type hub struct {
	// asked is since when it has been reported to without an answer, zero if it
	// has answered the latest reports.
	asked identifier.Instant
	// passed is until when it is passed over.
	passed identifier.Instant
	// incarnation and number are of its latest total, heard when it came.
	incarnation identifier.Incarnation
	number      uint64
	heard       identifier.Instant
	routers     int
}

// report is the latest report of another router.
type report struct {
	message
	address netip.AddrPort
	heard   identifier.Instant
}

// sent is a report that this router has sent.
type sent struct {
	number  uint64
	at      identifier.Instant
	summary forwarder.Summary
}

// exchange decides to whom a router reports, what it makes of reports, and which
// total it believes. It is pure.
type exchange struct {
	self    identifier.Router
	weight  int
	listed  map[identifier.Router]Peer
	hubs    map[identifier.Router]*hub
	reports map[identifier.Router]*report
	sent    [keptReports]sent
	number  uint64
	// routers is how many routers the latest total counted, this one included.
	routers int
}

func newExchange(self identifier.Router) *exchange {
	return &exchange{self: self, listed: map[identifier.Router]Peer{}, hubs: map[identifier.Router]*hub{}, reports: map[identifier.Router]*report{}}
}

// list replaces the list of routers.
func (x *exchange) list(peers map[identifier.Router]Peer) {
	x.listed = peers
	for id := range x.hubs {
		if _, ok := peers[id]; !ok {
			delete(x.hubs, id)
		}
	}
}

// every returns the time between two messages.
func (x *exchange) every() time.Duration {
	n := max(len(x.listed), x.routers)
	return min(max(time.Duration(n)*perRouter, minEvery), maxEvery)
}

// needed tells whether this router is to have an entry, so that others may choose
// it as a hub: it had one, or fewer than enough that are as strong are listed and
// answer.
func (x *exchange) needed(now identifier.Instant) bool {
	if _, listed := x.listed[x.self]; listed {
		return true
	}
	n := 0
	for id, p := range x.listed {
		if p.Weight >= x.weight && !x.passedOver(now, id) {
			n++
		}
	}
	return n < candidates
}

// chosen returns the routers that are reported to now, and whether this router is
// to be a hub itself.
func (x *exchange) chosen(now identifier.Instant) (to []identifier.Router, isHub bool) {
	ids := make([]identifier.Router, 0, len(x.listed)+1)
	for id := range x.listed {
		if id != x.self && !x.passedOver(now, id) {
			ids = append(ids, id)
		}
	}
	if _, listed := x.listed[x.self]; listed || len(ids) == 0 {
		// Nobody reports to a router that has no entry.
		ids = append(ids, x.self)
	}
	sort.Slice(ids, func(i, j int) bool {
		if a, b := x.weightOf(ids[i]), x.weightOf(ids[j]); a != b {
			return a > b
		}
		return ids[i] < ids[j]
	})
	for _, id := range ids[:min(hubs, len(ids))] {
		if id == x.self {
			isHub = true
			continue
		}
		to = append(to, id)
	}
	return to, isHub
}

func (x *exchange) weightOf(id identifier.Router) int {
	if id == x.self {
		return x.weight
	}
	return x.listed[id].Weight
}

// passedOver tells whether a hub is silent.
func (x *exchange) passedOver(now identifier.Instant, id identifier.Router) bool {
	h := x.hubs[id]
	if h == nil {
		return false
	}
	if h.passed == 0 && h.asked != 0 && now.Sub(h.asked) > silentAfter {
		h.passed = now.Add(retryAfter)
	}
	if h.passed != 0 && now >= h.passed {
		h.passed, h.asked = 0, 0
	}
	return h.passed != 0
}

// reporting notes that a report is sent to the chosen hubs, and returns its
// number.
func (x *exchange) reporting(now identifier.Instant, to []identifier.Router, s forwarder.Summary) uint64 {
	x.number++
	x.sent[x.number%keptReports] = sent{number: x.number, at: now, summary: s}
	for _, id := range to {
		h := x.hubs[id]
		if h == nil {
			h = &hub{}
			x.hubs[id] = h
		}
		if h.asked == 0 {
			h.asked = now
		}
	}
	return x.number
}

// reported takes in another router's report.
func (x *exchange) reported(now identifier.Instant, m message, from netip.AddrPort) {
	r := x.reports[m.From]
	if m.From == x.self || r != nil && r.Incarnation == m.Incarnation && m.Number <= r.Number {
		return
	}
	x.reports[m.From] = &report{message: m, address: from, heard: now}
}

// live drops reports that are too old and returns the others.
func (x *exchange) live(now identifier.Instant) []*report {
	found := make([]*report, 0, len(x.reports))
	for id, r := range x.reports {
		if now.Sub(r.heard) > reportLife {
			delete(x.reports, id)
			continue
		}
		found = append(found, r)
	}
	return found
}

// told tells whether a hub's total was heard lately.
func (x *exchange) told(now identifier.Instant) bool {
	for _, h := range x.hubs {
		if h.heard != 0 && now.Sub(h.heard) <= totalLife {
			return true
		}
	}
	return false
}

// total takes in a hub's total, where proved is the age of the own proof. It
// returns what others have under way, and when the hub sent the total at the
// earliest; ok is false if it is not to be believed.
func (x *exchange) total(now identifier.Instant, m message, proved time.Duration) (others forwarder.Summary, at identifier.Instant, ok bool) {
	h := x.hubs[m.From]
	if h == nil || h.incarnation == m.Incarnation && m.Number <= h.number {
		return others, 0, false
	}
	mine := x.sent[m.Echo%keptReports]
	if mine.number != m.Echo || m.Echo == 0 {
		return others, 0, false
	}
	h.incarnation, h.number, h.heard, h.routers = m.Incarnation, m.Number, now, m.Routers
	h.asked, h.passed = 0, 0
	x.routers = m.Routers
	if m.Status.ProofAge > proved+staleBy {
		h.passed = now.Add(retryAfter)
	}
	return m.Summary.Without(mine.summary), mine.at, x.believes(now, m.From, m.Routers)
}

// believes tells whether a source's total is the fullest that is fresh.
func (x *exchange) believes(now identifier.Instant, source identifier.Router, routers int) bool {
	for id, h := range x.hubs {
		if id == source || now.Sub(h.heard) > totalLife || h.heard == 0 {
			continue
		}
		if h.routers > routers || h.routers == routers && id < source {
			return false
		}
	}
	return true
}
