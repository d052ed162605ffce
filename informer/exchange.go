package informer

import (
	"net/netip"
	"sort"
	"time"

	"buckthorndrum/forwarder"
	"buckthorndrum/identifier"
)

// MaxMessageInterval is the longest interval between two messages of a router to a hub,
// or of a hub to a router.
const MaxMessageInterval = 300 * time.Millisecond

const (
	// hubsPerRouter is the number of hubs that each router chooses. The router itself
	// can be one of them.
	hubsPerRouter = 2
	// intervalPerRouter times the number of routers, bounded by minInterval and
	// maxInterval, is the interval between two messages. With it the load of a hub
	// grows slowly with the fleet.
	intervalPerRouter = 3 * time.Millisecond
	minInterval       = 50 * time.Millisecond
	maxInterval       = MaxMessageInterval
	// reportTTL is how long a hub counts a report in its total, and totalTTL how long
	// a total is valid.
	reportTTL = time.Second
	totalTTL  = 600 * time.Millisecond
	// hubTimeout is the time without an answer after which a hub is skipped, and
	// hubRetryDelay is how long it is skipped.
	hubTimeout    = 500 * time.Millisecond
	hubRetryDelay = 2 * time.Second
	// maxHubLag is how much older a hub's freshness proof may be than this router's.
	// A hub with an older one is skipped: it does not reach the store, and other
	// routers do.
	maxHubLag = time.Second
	// maxReportBytes bounds the messages whose reports a router holds, in bytes. Anyone may
	// send reports of any number of routers; those of 1,200 routers take up less.
	maxReportBytes = 4 << 20
	// maxCandidates is how many hub candidates with an entry in the store are enough.
	// It keeps the cost of the entries independent of the fleet's size.
	maxCandidates = 6
	// sentHistory is how many of its latest reports a router keeps, to subtract its
	// own part from a total.
	sentHistory = 32
)

// Peer is an entry of the list of routers.
type Peer struct {
	Address netip.AddrPort
	// Weight orders the routers by preference as hubs, the highest first.
	Weight int
}

// hub is the state of a router that this router reports to or has reported to.
type hub struct {
	// unansweredSince is the time of the first report since its last total, or since
	// it was last skipped. It is zero if there is no such report.
	unansweredSince identifier.Instant
	// skipUntil is the time until which it is skipped, zero if it is not skipped.
	skipUntil identifier.Instant
	// incarnation, number and routers are those of its latest total, and receivedAt
	// is when that arrived; all are zero before the first total.
	incarnation identifier.Incarnation
	number      uint64
	receivedAt  identifier.Instant
	routers     int
}

// report is the latest report of another router, with the address that it came from and
// the time at which it arrived.
type report struct {
	message
	address    netip.AddrPort
	receivedAt identifier.Instant
}

// sentReport is a report that this router has sent to its hubs.
type sentReport struct {
	number  uint64
	at      identifier.Instant
	summary forwarder.Summary
}

// exchange chooses the hubs of a router, holds the reports that it receives as a hub,
// and decides which hub's total it uses. It does no I/O and reads no clock.
type exchange struct {
	self    identifier.Router
	weight  int
	peers   map[identifier.Router]Peer
	hubs    map[identifier.Router]*hub
	reports map[identifier.Router]*report
	// reportBytes is the size of the messages of reports, in bytes.
	reportBytes int
	sent        [sentHistory]sentReport
	number      uint64
	// routers is the number of routers in the latest total, including this one.
	routers int
}

func newExchange(self identifier.Router) *exchange {
	return &exchange{self: self, peers: map[identifier.Router]Peer{}, hubs: map[identifier.Router]*hub{}, reports: map[identifier.Router]*report{}}
}

// setPeers replaces the list of routers and drops the state of hubs that are not in it.
func (x *exchange) setPeers(peers map[identifier.Router]Peer) {
	x.peers = peers
	for id := range x.hubs {
		if _, ok := peers[id]; !ok {
			delete(x.hubs, id)
		}
	}
}

// interval returns the time to wait between two messages.
func (x *exchange) interval() time.Duration {
	n := max(len(x.peers), x.routers)
	return min(max(time.Duration(n)*intervalPerRouter, minInterval), maxInterval)
}

// needsEntry reports whether this router needs an entry in the list of routers, so that
// others can choose it as a hub. It does if it has one already, or if fewer than
// maxCandidates routers of at least its weight are listed and not skipped.
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

// chooseHubs returns the routers to report to now, and whether this router is a hub
// itself. It takes the listed routers of the highest weights that are not skipped; ties
// go to the lower id. A router that is not listed is a hub only if there is no other.
func (x *exchange) chooseHubs(now identifier.Instant) (to []identifier.Router, isHub bool) {
	ids := make([]identifier.Router, 0, len(x.peers)+1)
	for id := range x.peers {
		if id != x.self && !x.skipped(now, id) {
			ids = append(ids, id)
		}
	}
	if _, listed := x.peers[x.self]; listed || len(ids) == 0 {
		// Other routers do not report to a router without an entry.
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

// skipped reports whether a hub is skipped at the moment. It begins to skip a hub that
// has not answered for hubTimeout, and ends the skipping once its time is over.
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

// recordSent records that a report with summary s is sent to the chosen hubs, and
// returns its number.
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

// receiveReport stores another router's report. It ignores reports of this router itself,
// those that are not newer than the stored one of the same incarnation, and those that would
// make the stored reports exceed maxReportBytes.
func (x *exchange) receiveReport(now identifier.Instant, m message, from netip.AddrPort) {
	r := x.reports[m.From]
	if m.From == x.self || r != nil && r.Incarnation == m.Incarnation && m.Number <= r.Number {
		return
	}
	stored := x.reportBytes + m.size
	if r != nil {
		stored -= r.size
	}
	if stored > maxReportBytes {
		return
	}
	x.reportBytes = stored
	x.reports[m.From] = &report{message: m, address: from, receivedAt: now}
}

// liveReports drops the reports older than reportTTL and returns the others.
func (x *exchange) liveReports(now identifier.Instant) []*report {
	reports := make([]*report, 0, len(x.reports))
	for id, r := range x.reports {
		if now.Sub(r.receivedAt) > reportTTL {
			delete(x.reports, id)
			x.reportBytes -= r.size
			continue
		}
		reports = append(reports, r)
	}
	return reports
}

// hasFreshTotal reports whether a hub's total arrived within the last totalTTL.
func (x *exchange) hasFreshTotal(now identifier.Instant) bool {
	for _, h := range x.hubs {
		if h.receivedAt != 0 && now.Sub(h.receivedAt) <= totalTTL {
			return true
		}
	}
	return false
}

// receiveTotal stores a hub's total, where proofAge is the age of this router's own
// freshness proof. It returns what the other routers have under way, and the earliest
// time at which the hub can have sent the total, which is when this router sent the
// report that the total echoes. That time is zero if the total is ignored: its sender
// has never been reported to, it is repeated or out of order, or it echoes no report in
// the sentHistory. ok is false if the total is ignored or another hub's is more complete.
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

// isMostComplete reports whether the total of source, over the given number of routers,
// covers the most routers of all totals that are younger than totalTTL. Ties go to the
// source with the lower id.
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
