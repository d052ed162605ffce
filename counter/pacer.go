package counter

import "time"

// Pacer spaces the publishing of counters so that it keeps to a byte budget:
// the fewer bytes a round takes, the sooner the next one.
type Pacer struct {
	// Budget is how many bytes a second this process may send.
	Budget int
}

// Bounds of the time between two rounds. The upper one bounds the age of the
// counters whatever the number of peers and rows.
const (
	MinInterval = 100 * time.Millisecond
	MaxInterval = 2 * time.Second
)

// DefaultBudget is the byte budget of counters, in bytes a second sent.
const DefaultBudget = 3000

// Interval returns the time to the next round after one that took n bytes.
func (p Pacer) Interval(n int) time.Duration {
	d := time.Duration(float64(n) / float64(p.Budget) * float64(time.Second))
	return min(max(d, MinInterval), MaxInterval)
}
