package admitter

import (
	"sort"
	"time"

	"buckthorndrum/identifier"
)

const (
	// rereadWeight is how much the time in which shared parts are read again
	// counts beyond the wait itself, since it is taken from all requests.
	rereadWeight = 10
	// usualRead is the tokens from which on a request delays those behind it
	// more than it is delayed itself.
	usualRead = 2000
	// longAhead is the part of the limit, in percent, that may be ahead of a
	// request that takes long to read.
	longAhead = 40
	// spareShare is the part of the limit, in percent, up to which the targets of
	// a pool may be busy on the average to count as having spare capacity.
	spareShare = 10
	// firstHomes is how many targets requests that share a part go to at first.
	firstHomes = 3
	// memoryShare is the part of a target's memory that running requests may
	// come to fill. The rest is for shared parts.
	memoryShare = 0.8
)

// option is a target with what the request would meet there.
type option struct {
	state  *state
	load   Load
	unread int
	// again is how many of these are shared and read elsewhere before.
	again int
	// ahead is the time in which others' tokens are read, own its own, and wait
	// the time to its first token.
	ahead time.Duration
	own   time.Duration
	wait  time.Duration
	cost  time.Duration
}

// engine picks the target of a model engine's pool at which the request costs
// least: its wait there, and the shared parts that would have to be read again.
// It goes beyond its first homes only if none of them has room.
func (a *Admitter) engine(now identifier.Instant, list []*state, q Ask) Choice {
	keys := chainKeys(q.Model, q.Chain)
	homes(list, keys, q.Seed)
	options := make([]option, len(list))
	soonest := time.Duration(-1)
	for rank, t := range list {
		options[rank] = a.weigh(now, t, q, keys, rank)
		if soonest < 0 || options[rank].wait < soonest {
			soonest = options[rank].wait
		}
	}
	near := min(len(options), firstHomes)
	spare := q.Within || hasSpare(options, q)
	best := cheapest(options[:near], q, spare)
	if best == nil && q.Within {
		best = cheapest(options[near:], q, spare)
	}
	if best == nil {
		return Choice{Refused: Busy, Wait: soonest}
	}
	return Choice{Target: best.state.ID, Wait: best.wait, Unread: best.unread}
}

// hasSpare tells whether the pool's targets have little to read.
func hasSpare(options []option, q Ask) bool {
	var sum time.Duration
	for _, o := range options {
		sum += o.ahead
	}
	return sum/time.Duration(len(options)) <= spareShare*q.Limit/100
}

// cheapest returns the option of least cost that has room, or nil. Without spare
// capacity only those count that hold the shared parts.
func cheapest(options []option, q Ask, spare bool) *option {
	var best *option
	for i := range options {
		o := &options[i]
		if !fits(*o, q) || (!spare && o.again > 0) {
			continue
		}
		if best == nil || o.cost < best.cost {
			best = o
		}
	}
	return best
}

// homes orders targets by a hash of the last shared part, so that all routers
// send requests that share it to the same ones.
func homes(list []*state, keys []chainKey, seed uint64) {
	if n := len(keys); n > 1 {
		seed = uint64(keys[n-2])
	}
	rank := make(map[identifier.Target]uint64, len(list))
	for _, t := range list {
		rank[t.ID] = hash(seed, t.ID)
	}
	sort.Slice(list, func(i, j int) bool { return rank[list[i].ID] < rank[list[j].ID] })
}

// weigh works out what the request would meet at target t, its rank-th home.
func (a *Admitter) weigh(now identifier.Instant, t *state, q Ask, keys []chainKey, rank int) option {
	o := option{state: t, load: t.load()}
	least := ownTokens(q)
	o.unread = t.parts.missing(now, q.Chain, keys, q.Prompt)
	if rank == 0 {
		// The peers send there too, so that it holds the parts or soon will.
		o.unread = least
	}
	o.again = o.unread - least
	o.ahead = t.pace.read(o.load.Unread)
	o.own = t.pace.read(o.unread)
	o.wait = t.pace.base + o.ahead + o.own
	o.cost = o.ahead + time.Duration(float64(o.ahead)*float64(o.unread)/usualRead) + rereadWeight*t.pace.read(o.again)
	return o
}

// ownTokens returns the tokens of a prompt that no other request shares.
func ownTokens(q Ask) int {
	left := q.Prompt
	for i, p := range q.Chain {
		if i < len(q.Chain)-1 {
			left -= p.Tokens
		}
	}
	return max(left, 1)
}

// fits tells whether the request may be sent there.
func fits(o option, q Ask) bool {
	if o.load.Running >= o.state.Slots && o.state.Slots > 0 {
		return false
	}
	if q.Size > 0 && o.load.Memory > 0 && o.load.Memory+q.Prompt+q.Output > int(memoryShare*float64(q.Size)) {
		return false
	}
	if o.own > q.Limit/2 {
		// It delays all others, and is late or nearly so wherever it goes.
		return o.ahead <= longAhead*q.Limit/100
	}
	return o.load.Unread == 0 || o.wait <= q.Limit
}
