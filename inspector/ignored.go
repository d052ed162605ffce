package inspector

import (
	"strconv"
	"strings"
)

// checkIgnoredValues reports values that the decoder replaced: routers ignore a value that is
// malformed or out of range, and the rest of the configuration stays valid. A null counts as
// absent.
func (s *inspection) checkIgnoredValues() {
	for n, v := range s.places.list {
		folded := strings.ToLower(v.path)
		i, found := s.decoded.byPath[folded]
		// Of a field that stands twice the later value counts.
		if !found || s.places.byPath[folded] != n {
			continue
		}
		written, used := s.places.text(v), s.decoded.text(s.decoded.list[i])
		switch kind := kindOf(written); {
		case kind == kindNull:
		case strings.HasSuffix(folded, ".allowed_regions") && used == "[]" && written != "[]":
			s.add(Error, RegionsUnreadable, v.path, "no region can be read, so that requests are sent to no target")
		case kind != kindOf(used):
			s.add(Warning, ValueIgnored, v.path, "routers ignore the value, which is of type %s, not %s", kind, kindOf(used))
		case kind == kindNumber && !sameNumber(written, used):
			s.add(Warning, ValueIgnored, v.path, "routers ignore the value and use %s", used)
		}
	}
}

// text returns a value as it stands in the file.
func (p *places) text(v place) string { return string(p.raw[v.start:v.end]) }

// Kinds of JSON values that are compared or left out by name.
const (
	kindNull   = "null"
	kindNumber = "number"
)

// kindOf returns the kind of a JSON value.
func kindOf(text string) string {
	switch text[:min(1, len(text))] {
	case "{":
		return "object"
	case "[":
		return "array"
	case `"`:
		return "string"
	case "t", "f":
		return "bool"
	case "n":
		return kindNull
	}
	return kindNumber
}

// sameNumber reports whether two numbers in JSON are the same but for their notation.
func sameNumber(a, b string) bool {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	return errX == nil && errY == nil && x == y
}
