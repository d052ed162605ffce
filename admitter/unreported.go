package admitter

import (
	"time"

	"buckthorndrum/identifier"
)

const (
	// sameTargetWeight is the weight of what this router sent to the same target in the
	// estimate for a target. The rest is the weight of what it sent to the pool, spread over
	// its targets: what one router sends to one target is little, and varies much.
	sameTargetWeight = 0.2
	// runningDecay is the factor by which older counts of running requests weigh less with
	// each summary of the pool.
	runningDecay = 0.8
	// maxSendings bounds the requests that are remembered. Beyond it the oldest are
	// dropped, so that a router with more than 4,000 requests in one report age estimates
	// too little.
	maxSendings = 4096
)

// sending is a request that this router has sent.
type sending struct {
	at     identifier.Instant
	tokens int
	target *targetState
}

// unreportedLoad estimates the load that peers have given to the targets of one pool since
// their reports. Routers whose reports have the same age see the same targets idle; the
// estimate keeps them from sending more there than fits. It assumes that peers receive
// requests of the same kind as this router, in proportion to the requests that they run.
type unreportedLoad struct {
	// sendings, from index first on, are the requests of this router since the loads of the
	// peers were taken, and tokens is the sum of their tokens. The sum for one target is its
	// sentTokens.
	sendings []sending
	first    int
	tokens   int
	// ownRunning and peerRunning are the requests that this router and all peers run,
	// smoothed.
	ownRunning  float64
	peerRunning float64
	// ratio is how many times as much all peers send as this router.
	ratio float64
	// targets is the number of targets that accept work.
	targets int
}

// record adds a request that this router sends to target t.
func (u *unreportedLoad) record(now identifier.Instant, t *targetState, tokens int) {
	if len(u.sendings)-u.first >= maxSendings {
		u.dropFirst()
	}
	if u.first > len(u.sendings)/2 {
		u.sendings = append(u.sendings[:0], u.sendings[u.first:]...)
		u.first = 0
	}
	u.sendings = append(u.sendings, sending{at: now, tokens: tokens, target: t})
	u.tokens += tokens
	t.sentTokens += tokens
}

// dropBefore drops the requests that were sent before an instant.
func (u *unreportedLoad) dropBefore(at identifier.Instant) {
	for u.first < len(u.sendings) && u.sendings[u.first].at < at {
		u.dropFirst()
	}
}

// dropFirst drops the oldest request.
func (u *unreportedLoad) dropFirst() {
	s := &u.sendings[u.first]
	u.tokens -= s.tokens
	s.target.sentTokens -= s.tokens
	s.target = nil
	u.first++
}

// update updates the ratio with the requests that run now. processes is the number of
// routers, including this one, and targets that of the targets that accept work.
func (u *unreportedLoad) update(ownRunning, peerRunning, processes, targets int) {
	u.ownRunning = u.ownRunning*runningDecay + float64(ownRunning)
	u.peerRunning = u.peerRunning*runningDecay + float64(peerRunning)
	u.ratio = min(u.peerRunning/max(1, u.ownRunning), float64(max(0, processes-1)))
	u.targets = targets
}

// at returns the estimate for target t, in tokens.
func (u *unreportedLoad) at(t *targetState) int {
	each := float64(u.tokens) / float64(max(1, u.targets))
	return int(u.ratio * (sameTargetWeight*float64(t.sentTokens) + (1-sameTargetWeight)*each))
}

// SetPeerLoadDelay sets the time that the loads of the peers take to arrive, which is their
// age in SetPeerLoads. It is at most peerLoadTTL.
func (a *Admitter) SetPeerLoadDelay(d time.Duration) {
	a.peerLoadDelay = min(max(0, d), peerLoadTTL)
}

// PeerLoadAge returns the age of the loads of the peers, and whether there are any.
func (a *Admitter) PeerLoadAge(now identifier.Instant) (age time.Duration, known bool) {
	if a.peerLoadsAt == 0 {
		return 0, false
	}
	return now.Sub(a.peerLoadsAt) + a.peerLoadDelay, true
}

// QueueSpread returns the mean and the longest queueing delay of the engines that accept
// work, as of the last summaries of their pools. Of several pools it is that with the
// longest one.
func (a *Admitter) QueueSpread() (mean, longest time.Duration) {
	for _, p := range a.pools {
		if p.maxQueueDelay >= longest {
			mean, longest = p.meanQueueDelay, p.maxQueueDelay
		}
	}
	return mean, longest
}
