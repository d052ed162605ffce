package permitter

import (
	"regexp"
	"strconv"
	"time"
)

// Pause is what a target that turns a request away says of when to come back.
type Pause struct {
	// Duration is how long it wants no work, zero if it does not say. It is at most
	// MaxPause.
	Duration time.Duration
	// Malformed tells that it says something else than one number of seconds up to
	// MaxPause.
	Malformed bool
}

// secondsPattern is a number of secondsPattern, whole or fractional.
var secondsPattern = regexp.MustCompile(`^[ \t]*([0-9]{1,18}(?:\.[0-9]{1,18})?)[ \t]*$`)

// ParsePause reads the values of a Retry-After field. Of several numbers the largest
// counts. What cannot be read stands for DefaultPause.
func ParsePause(values []string) Pause {
	if len(values) == 0 {
		return Pause{}
	}
	p := Pause{Malformed: len(values) > 1}
	for _, v := range values {
		d, ok := parseSeconds(v)
		p.Duration = max(p.Duration, min(d, MaxPause))
		p.Malformed = p.Malformed || !ok || d > MaxPause
	}
	return p
}

// parseSeconds reads one number of seconds, which may be large.
func parseSeconds(v string) (time.Duration, bool) {
	m := secondsPattern.FindStringSubmatch(v)
	if m == nil {
		return DefaultPause, false
	}
	s, err := strconv.ParseFloat(m[1], 64)
	if err != nil {
		return DefaultPause, false
	}
	return time.Duration(min(s, (MaxPause+time.Second).Seconds()) * float64(time.Second)), true
}
