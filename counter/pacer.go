package counter

import "time"

// Pacer spaces the rounds in which counters are published to keep to a byte budget: the
// fewer bytes a round takes, the sooner the next one.
type Pacer struct {
	// Budget is how many bytes per second this process may send.
	Budget int
}

// Bounds of the time between two rounds. MaxInterval bounds the age of the counters for
// any number of peers and rows.
const (
	MinInterval = 100 * time.Millisecond
	MaxInterval = 2 * time.Second
)

// DefaultBudget is the default byte budget for counters, in bytes sent per second.
const DefaultBudget = 3000

// Interval returns the time until the next round after one that took n bytes.
func (p Pacer) Interval(n int) time.Duration {
	d := time.Duration(float64(n) / float64(p.Budget) * float64(time.Second))
	return min(max(d, MinInterval), MaxInterval)
}
