package admitter

import (
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
	// firstHomes is how many targets requests that share a part go to at first, and
	// maxHomes how many are weighed before the least loaded ones.
	firstHomes = 3
	maxHomes   = 8
	// maxVisits bounds the points of the ring that are looked at for them.
	maxVisits = 256
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
func (a *Admitter) engine(now identifier.Instant, p *pool, q Request) Choice {
	keys := chainKeys(q.Model, q.Segments)
	options := a.homes(now, p, q, keys)
	if len(options) == 0 {
		return Choice{Refused: NoTarget}
	}
	near := min(len(options), firstHomes)
	spare := q.WithinShare || p.ahead <= spareShare*q.MaxWait/100
	best := cheapest(options[:near], q, spare)
	if best == nil && q.WithinShare {
		best = cheapest(a.further(now, p, q, keys)[near:], q, spare)
	}
	if best == nil {
		return Choice{Refused: TargetsBusy, Wait: a.soonest(p)}
	}
	return Choice{Target: best.state.ID, Wait: best.wait, PrefillTokens: best.unread}
}

// homes weighs the targets that come first on the ring after the last shared part,
// so that all routers send requests that share it to the same ones. Targets that
// fail are passed over unless there are no others.
func (a *Admitter) homes(now identifier.Instant, p *pool, q Request, keys []chainKey) []option {
	a.options = a.options[:0]
	visits := 0
	p.ring.walk(homeKey(keys, q.Seed), func(t *state) bool {
		visits++
		if !a.weighed(t) && usable(now, t, q.Exclude) && p.sound(now, t) {
			a.options = append(a.options, a.weigh(now, t, q, keys, len(a.options)))
		}
		return len(a.options) < maxHomes && visits < maxVisits
	})
	if len(a.options) == 0 {
		for _, t := range p.pickable(now, q.Exclude) {
			a.options = append(a.options, a.weigh(now, t, q, keys, len(a.options)))
		}
	}
	return a.options
}

// homeKey returns where on the ring the homes of a request begin.
func homeKey(keys []chainKey, seed uint64) uint64 {
	if n := len(keys); n > 1 {
		seed = uint64(keys[n-2])
	}
	return mix(seed)
}

// weighed tells whether target t is among the options.
func (a *Admitter) weighed(t *state) bool {
	for i := range a.options {
		if a.options[i].state == t {
			return true
		}
	}
	return false
}

// further adds the targets of the pool that have least ahead to the options, and
// returns all.
func (a *Admitter) further(now identifier.Instant, p *pool, q Request, keys []chainKey) []option {
	for _, t := range p.idlest {
		if !a.weighed(t) && usable(now, t, q.Exclude) && p.sound(now, t) {
			a.options = append(a.options, a.weigh(now, t, q, keys, len(a.options)))
		}
	}
	return a.options
}

// soonest returns the least time to the request's first token that is known. The
// first of the options is its home, where it only reads its own tokens.
func (a *Admitter) soonest(p *pool) time.Duration {
	soonest := p.soonest + a.options[0].own
	for i := range a.options {
		if w := a.options[i].wait; p.soonest < 0 || w < soonest {
			soonest = w
		}
	}
	return soonest
}

// cheapest returns the option of least cost that has room, or nil. Without spare
// capacity only those count that hold the shared parts.
func cheapest(options []option, q Request, spare bool) *option {
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

// weigh works out what the request would meet at target t, its rank-th home.
func (a *Admitter) weigh(now identifier.Instant, t *state, q Request, keys []chainKey, rank int) option {
	o := option{state: t, load: t.load()}
	least := ownTokens(q)
	o.unread = t.parts.missing(now, q.Segments, keys, q.PromptTokens)
	if rank == 0 {
		// The peers send there too, so that it holds the parts or soon will.
		o.unread = least
	}
	o.again = o.unread - least
	o.ahead = t.pace.read(o.load.PrefillTokens)
	o.own = t.pace.read(o.unread)
	o.wait = t.pace.base + o.ahead + o.own
	o.cost = o.ahead + time.Duration(float64(o.ahead)*float64(o.unread)/usualRead) + rereadWeight*t.pace.read(o.again)
	return o
}

// ownTokens returns the tokens of a prompt that no other request shares.
func ownTokens(q Request) int {
	left := q.PromptTokens
	for i, p := range q.Segments {
		if i < len(q.Segments)-1 {
			left -= p.Tokens
		}
	}
	return max(left, 1)
}

// fits tells whether the request may be sent there.
func fits(o option, q Request) bool {
	if o.load.Running >= o.state.Slots && o.state.Slots > 0 {
		return false
	}
	if q.TargetMemory > 0 && o.load.MemoryTokens > 0 && o.load.MemoryTokens+q.PromptTokens+q.MaxOutputTokens > int(memoryShare*float64(q.TargetMemory)) {
		return false
	}
	if o.own > q.MaxWait/2 {
		// It delays all others, and is late or nearly so wherever it goes.
		return o.ahead <= longAhead*q.MaxWait/100
	}
	return o.load.PrefillTokens == 0 || o.wait <= q.MaxWait
}
