package assigner

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/identifier"
)

const (
	// maxVersions bounds the versions of one plan, and maxVersionBytes the name of each.
	maxVersions     = 16
	maxVersionBytes = 128
	// maxAge bounds the ages of plans that are told.
	maxAge = time.Hour
)

// Plan divides the streams that begin at a pool among the software versions of its targets. A
// decoded plan must be checked.
type Plan struct {
	// Number orders the plans of a pool.
	Number uint64 `json:"number"`
	// Weights holds the part of the streams that each version is given. All are positive.
	Weights map[identifier.Software]int `json:"weights"`
	// AgeMS is for how many milliseconds at least a router had known the plan when it told of it.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// Check returns an error if a decoded plan is not valid.
func (p Plan) Check() error {
	if p.AgeMS < 0 || p.AgeMS > maxAge.Milliseconds() {
		return errors.Errorf("plan %d has the age %d ms", p.Number, p.AgeMS)
	}
	if p.Number == 0 || len(p.Weights) == 0 || len(p.Weights) > maxVersions {
		return errors.Errorf("plan %d has %d versions", p.Number, len(p.Weights))
	}
	for v, weight := range p.Weights {
		if len(v) > maxVersionBytes || weight <= 0 {
			return errors.Errorf("plan %d gives version %.32q the weight %d", p.Number, v, weight)
		}
	}
	return nil
}

// Pick returns the version at which the stream begins whose first request has an id. It is the
// same at all routers, and from one plan to the next it changes only for as many ids as the
// weights require (weighted rendezvous hashing: the highest of -weight/ln(u), u being the hash
// of version and id in (0, 1)).
func (p Plan) Pick(id identifier.Request) identifier.Software {
	var best identifier.Software
	highest := -1.0
	for v, weight := range p.Weights {
		score := -float64(weight) / math.Log(hashFraction(v, id))
		if score > highest || score == highest && v < best {
			best, highest = v, score
		}
	}
	return best
}

// hashFraction returns the hash of a version and an id as a number between 0 and 1.
func hashFraction(v identifier.Software, id identifier.Request) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(v))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	// The finalizer of splitmix64, since the high bits of FNV depend little on the last bytes.
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// weightSteps is the sum of the weights of a plan, about.
const weightSteps = 20

// Weights returns the weights of a plan for the numbers of slots that the versions have. They
// are rounded, so that a few slots more or less make no other plan.
func Weights(slots map[identifier.Software]int) map[identifier.Software]int {
	total := 0
	for _, n := range slots {
		total += max(0, n)
	}
	weights := map[identifier.Software]int{}
	for v, n := range slots {
		if n > 0 {
			weights[v] = max(1, int(math.Round(weightSteps*float64(n)/float64(total))))
		}
	}
	if len(weights) == 1 {
		for v := range weights {
			weights[v] = weightSteps
		}
	}
	return weights
}
