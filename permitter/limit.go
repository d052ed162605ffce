package permitter

import (
	"regexp"
	"strconv"
)

// Limit is the rate of requests that a target wants from all its callers together, as it
// names it in an answer.
type Limit struct {
	// PerSecond is the rate in requests a second, valid if Named is true.
	PerSecond float64
	// Named is whether the answer names a limit.
	Named bool
	// Malformed is whether the answer has a value that cannot be parsed, or several. A
	// value that cannot be parsed names no limit.
	Malformed bool
}

const (
	// MinLimit is the lowest rate to which a target is held. A target that names a lower
	// one gets a request now and then, so that the end of its limit is noticed.
	MinLimit = 0.1
	// maxLimit is the highest rate that is a limit at all.
	maxLimit = 1e6
)

// ratePattern matches a decimal number that is not negative.
var ratePattern = regexp.MustCompile(`^[ \t]*([0-9]{1,18}(?:\.[0-9]{1,18})?)[ \t]*$`)

// ParseLimit parses the values of a header field that names a limit in requests a second.
// Of several valid ones the lowest counts.
func ParseLimit(values []string) Limit {
	l := Limit{Malformed: len(values) > 1}
	for _, v := range values {
		rate, ok := parseRate(v)
		if !ok {
			l.Malformed = true
			continue
		}
		if !l.Named || rate < l.PerSecond {
			l.PerSecond, l.Named = rate, true
		}
	}
	return l
}

// parseRate parses one rate and bounds it to the range from MinLimit to maxLimit. ok is
// false if v is not a decimal number.
func parseRate(v string) (rate float64, ok bool) {
	m := ratePattern.FindStringSubmatch(v)
	if m == nil {
		return 0, false
	}
	rate, err := strconv.ParseFloat(m[1], 64)
	return max(MinLimit, min(rate, maxLimit)), err == nil
}
