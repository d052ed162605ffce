package permitter

import (
	"regexp"
	"strconv"
	"time"
)

// Pause is the pause that a target asks for when it rejects a request.
type Pause struct {
	// Duration is how long the target wants no work, from zero to MaxPause. It is zero if
	// the target does not say.
	Duration time.Duration
	// Malformed is whether the values are anything other than one number of seconds up to
	// MaxPause.
	Malformed bool
}

// secondsPattern matches a number of seconds, integer or fractional.
var secondsPattern = regexp.MustCompile(`^[ \t]*([0-9]{1,18}(?:\.[0-9]{1,18})?)[ \t]*$`)

// ParsePause parses the values of a Retry-After header field. Of several numbers the
// largest counts. A value that cannot be parsed counts as DefaultPause.
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

// parseSeconds parses one number of seconds. A large one yields a duration above
// MaxPause. If v is not a number, it returns DefaultPause and false.
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
