package permitter

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestParsePause(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		want   Pause
	}{
		"none":                     {nil, Pause{}},
		"integer":                  {[]string{"3"}, Pause{Duration: 3 * time.Second}},
		"fractional":               {[]string{" 0.25 "}, Pause{Duration: 250 * time.Millisecond}},
		"zero":                     {[]string{"0"}, Pause{}},
		"the maximum":              {[]string{"600"}, Pause{Duration: MaxPause}},
		"negative":                 {[]string{"-1"}, Pause{DefaultPause, true}},
		"text":                     {[]string{"soon"}, Pause{DefaultPause, true}},
		"not a number":             {[]string{"NaN"}, Pause{DefaultPause, true}},
		"infinity":                 {[]string{"Inf"}, Pause{DefaultPause, true}},
		"with an exponent":         {[]string{"1e9"}, Pause{DefaultPause, true}},
		"empty":                    {[]string{""}, Pause{DefaultPause, true}},
		"a date":                   {[]string{"Fri, 04 Dec 2026 14:00:00 GMT"}, Pause{DefaultPause, true}},
		"a year":                   {[]string{"31536000"}, Pause{MaxPause, true}},
		"many digits":              {[]string{strings.Repeat("9", 400)}, Pause{DefaultPause, true}},
		"two values":               {[]string{"1", "4"}, Pause{4 * time.Second, true}},
		"two values, one a date":   {[]string{"Fri, 04 Dec 2026 14:00:00 GMT", "4"}, Pause{4 * time.Second, true}},
		"two numbers in one value": {[]string{"1, 4"}, Pause{DefaultPause, true}},
		"a line break":             {[]string{"1\n"}, Pause{DefaultPause, true}},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(ParsePause(c.values)).To(Equal(c.want))
		})
	}
}

func FuzzReadPause(f *testing.F) {
	for _, v := range []string{"1", "0.5", "-1", "31536000", "Fri, 04 Dec 2026 14:00:00 GMT", "1e9", "9999999999999999999", ""} {
		f.Add(v, v)
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		for _, values := range [][]string{{a}, {a, b}} {
			p := ParsePause(values)
			if p.Duration < 0 || p.Duration > MaxPause {
				t.Fatalf("%q is a pause of %s", values, p.Duration)
			}
			if len(values) == 2 && !p.Malformed {
				t.Fatalf("%q is not reported as malformed", values)
			}
		}
	})
}
