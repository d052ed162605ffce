package admitter

import (
	"sort"
	"time"

	"buckthorndrum/identifier"
)

const (
	// rereadWeight is how much the time in which shared parts are read again
	// counts beyond the wait itself, since it is taken from all requests.
	rereadWeight = 3
	// memoryShare is the part of a target's memory that running requests may
	// come to fill. The rest is for shared parts.
	memoryShare = 0.8
)

// option is a target with what the request would meet there.
type option struct {
	state  *state
	load   Load
	unread int
	wait   time.Duration
	cost   time.Duration
}

// engine picks the target of a model engine's pool at which the request costs
// least: its wait there, and the shared parts that would have to be read again.
func (a *Admitter) engine(now identifier.Instant, list []*state, q Ask) Choice {
	keys := chainKeys(q.Model, q.Chain)
	homes(list, keys, q.Seed)
	var best *option
	soonest := time.Duration(-1)
	for rank, t := range list {
		o := a.weigh(now, t, q, keys, rank)
		if soonest < 0 || o.wait < soonest {
			soonest = o.wait
		}
		if !fits(o, q) {
			continue
		}
		if best == nil || o.cost < best.cost {
			best = &o
		}
	}
	if best == nil {
		return Choice{Refused: Busy, Wait: soonest}
	}
	return Choice{Target: best.state.ID, Wait: best.wait, Unread: best.unread}
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
	o.wait = t.wait(o.load.Unread + o.unread)
	o.cost = o.wait + rereadWeight*t.wait(o.unread-least)
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
	return o.load.Unread == 0 || o.wait <= q.Limit
}
