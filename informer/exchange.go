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
	// hubsPerRouter is how many routers each router reports to.
	hubsPerRouter = 2
	// intervalPerRouter, minEvery and maxEvery make the time between two messages, so
	// that what a hub handles grows slowly with the fleet.
	intervalPerRouter = 3 * time.Millisecond
	minInterval       = 50 * time.Millisecond
	maxInterval       = MaxMessageInterval
	// reportTTL is how long a report counts in a total, and totalLife a total.
	reportTTL = time.Second
	totalTTL  = 600 * time.Millisecond
	// hubTimeout is when a hub that answers no report is passed over, and
	// retryAfter for how long one is.
	hubTimeout    = 500 * time.Millisecond
	hubRetryDelay = 2 * time.Second
	// maxHubLag is by how much a hub's proof may be older than the own one. Beyond
	// that the hub is passed over: it does not reach the store, and others do.
	maxHubLag = time.Second
	// maxCandidates is how many routers that may be hubs have an entry in the store, so
	// that the entries cost the same whatever the fleet's size.
	maxCandidates = 6
	// sentHistory is how many of its own reports a router keeps, to take its own
	// part out of a total.
	sentHistory = 32
)

// Peer is another router as the list of routers has it.
type Peer struct {
	Address netip.AddrPort
	// Weight orders the routers that are asked to be hubs, the highest first.
	Weight int
}

// hub is what a router knows of another one as its hub.
type hub struct {
	// unansweredSince is since when it has been reported to without an answer, zero if it
	// has answered the latest reports.
	unansweredSince identifier.Instant
	// skipUntil is until when it is skipUntil over.
	skipUntil identifier.Instant
	// incarnation and number are of its latest total, heard when it came.
	incarnation identifier.Incarnation
	number      uint64
	receivedAt  identifier.Instant
	routers     int
}

// report is the latest report of another router.
type report struct {
	message
	address    netip.AddrPort
	receivedAt identifier.Instant
}

// sentReport is a report that this router has sentReport.
type sentReport struct {
	number  uint64
	at      identifier.Instant
	summary forwarder.Summary
}

// exchange decides to whom a router reports, what it makes of reports, and which
// total it believes. It is pure.
type exchange struct {
	self    identifier.Router
	weight  int
	peers   map[identifier.Router]Peer
	hubs    map[identifier.Router]*hub
	reports map[identifier.Router]*report
	sent    [sentHistory]sentReport
	number  uint64
	// routers is how many routers the latest total counted, this one included.
	routers int
}

func newExchange(self identifier.Router) *exchange {
	return &exchange{self: self, peers: map[identifier.Router]Peer{}, hubs: map[identifier.Router]*hub{}, reports: map[identifier.Router]*report{}}
}

// setPeers replaces the setPeers of routers.
func (x *exchange) setPeers(peers map[identifier.Router]Peer) {
	x.peers = peers
	for id := range x.hubs {
		if _, ok := peers[id]; !ok {
			delete(x.hubs, id)
		}
	}
}

// interval returns the time between two messages.
func (x *exchange) interval() time.Duration {
	n := max(len(x.peers), x.routers)
	return min(max(time.Duration(n)*intervalPerRouter, minInterval), maxInterval)
}

// needsEntry tells whether this router is to have an entry, so that others may choose
// it as a hub: it had one, or fewer than enough that are as strong are listed and
// answer.
func (x *exchange) needsEntry(now identifier.Instant) bool {
	if _, listed := x.peers[x.self]; listed {
		return true
	}
	n := 0
	for id, p := range x.peers {
		if p.Weight >= x.weight && !x.skipped(now, id) {
			n++
		}
	}
	return n < maxCandidates
}

// chooseHubs returns the routers that are reported to now, and whether this router is
// to be a hub itself.
func (x *exchange) chooseHubs(now identifier.Instant) (to []identifier.Router, isHub bool) {
	ids := make([]identifier.Router, 0, len(x.peers)+1)
	for id := range x.peers {
		if id != x.self && !x.skipped(now, id) {
			ids = append(ids, id)
		}
	}
	if _, listed := x.peers[x.self]; listed || len(ids) == 0 {
		// Nobody reports to a router that has no entry.
		ids = append(ids, x.self)
	}
	sort.Slice(ids, func(i, j int) bool {
		if a, b := x.weightOf(ids[i]), x.weightOf(ids[j]); a != b {
			return a > b
		}
		return ids[i] < ids[j]
	})
	for _, id := range ids[:min(hubsPerRouter, len(ids))] {
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
	return x.peers[id].Weight
}

// skipped tells whether a hub is silent.
func (x *exchange) skipped(now identifier.Instant, id identifier.Router) bool {
	h := x.hubs[id]
	if h == nil {
		return false
	}
	if h.skipUntil == 0 && h.unansweredSince != 0 && now.Sub(h.unansweredSince) > hubTimeout {
		h.skipUntil = now.Add(hubRetryDelay)
	}
	if h.skipUntil != 0 && now >= h.skipUntil {
		h.skipUntil, h.unansweredSince = 0, 0
	}
	return h.skipUntil != 0
}

// recordSent notes that a report is sent to the chosen hubs, and returns its
// number.
func (x *exchange) recordSent(now identifier.Instant, to []identifier.Router, s forwarder.Summary) uint64 {
	x.number++
	x.sent[x.number%sentHistory] = sentReport{number: x.number, at: now, summary: s}
	for _, id := range to {
		h := x.hubs[id]
		if h == nil {
			h = &hub{}
			x.hubs[id] = h
		}
		if h.unansweredSince == 0 {
			h.unansweredSince = now
		}
	}
	return x.number
}

// receiveReport takes in another router's report.
func (x *exchange) receiveReport(now identifier.Instant, m message, from netip.AddrPort) {
	r := x.reports[m.From]
	if m.From == x.self || r != nil && r.Incarnation == m.Incarnation && m.Number <= r.Number {
		return
	}
	x.reports[m.From] = &report{message: m, address: from, receivedAt: now}
}

// liveReports drops reports that are too old and returns the others.
func (x *exchange) liveReports(now identifier.Instant) []*report {
	reports := make([]*report, 0, len(x.reports))
	for id, r := range x.reports {
		if now.Sub(r.receivedAt) > reportTTL {
			delete(x.reports, id)
			continue
		}
		reports = append(reports, r)
	}
	return reports
}

// hasFreshTotal tells whether a hub's total was heard lately.
func (x *exchange) hasFreshTotal(now identifier.Instant) bool {
	for _, h := range x.hubs {
		if h.receivedAt != 0 && now.Sub(h.receivedAt) <= totalTTL {
			return true
		}
	}
	return false
}

// receiveTotal takes in a hub's receiveTotal, where proved is the age of the own proof. It
// returns what others have under way, and when the hub sent the receiveTotal at the
// earliest; ok is false if it is not to be believed.
func (x *exchange) receiveTotal(now identifier.Instant, m message, proofAge time.Duration) (others forwarder.Summary, at identifier.Instant, ok bool) {
	h := x.hubs[m.From]
	if h == nil || h.incarnation == m.Incarnation && m.Number <= h.number {
		return others, 0, false
	}
	echoed := x.sent[m.Echo%sentHistory]
	if echoed.number != m.Echo || m.Echo == 0 {
		return others, 0, false
	}
	h.incarnation, h.number, h.receivedAt, h.routers = m.Incarnation, m.Number, now, m.Routers
	h.unansweredSince, h.skipUntil = 0, 0
	x.routers = m.Routers
	if m.Status.ProofAge > proofAge+maxHubLag {
		h.skipUntil = now.Add(hubRetryDelay)
	}
	return m.Summary.Without(echoed.summary), echoed.at, x.isMostComplete(now, m.From, m.Routers)
}

// isMostComplete tells whether a source's total is the fullest that is fresh.
func (x *exchange) isMostComplete(now identifier.Instant, source identifier.Router, routers int) bool {
	for id, h := range x.hubs {
		if id == source || now.Sub(h.receivedAt) > totalTTL || h.receivedAt == 0 {
			continue
		}
		if h.routers > routers || h.routers == routers && id < source {
			return false
		}
	}
	return true
}
