package inspector

import (
	"bytes"
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxPlaceDepth is the nesting depth to which values have a place. The configuration needs
// five levels; without a bound the paths of a deeply nested file take memory that grows with
// the square of its depth.
const maxPlaceDepth = 8

// place is where a value stands in a file.
type place struct {
	path string
	// start and end are offsets in bytes. end is behind the last byte.
	start, end int
}

// located is an offset in bytes with its line and column.
type located struct{ offset, line, column int }

// places knows where each value of a file stands. The decoder ignores the case of names, so
// that paths are looked up in lower case.
type places struct {
	raw []byte
	// lineStarts has the offset of the first byte of each line.
	lineStarts []int
	// last is the position that was asked for last. The next one is mostly behind it, and
	// counting from the start of the line each time is quadratic in a file of one line.
	last   located
	byPath map[string]int
	list   []place
	// repeated lists the fields that an object has more than once, at their second place.
	repeated []place
}

// newPlaces returns the places of the values of raw. There are none if raw is not valid JSON:
// encoding/json bounds the nesting of valid documents only, and unbounded recursion exhausts
// the stack.
func newPlaces(raw []byte) *places {
	p := &places{raw: raw, lineStarts: []int{0}, byPath: map[string]int{}}
	for i, c := range raw {
		if c == '\n' {
			p.lineStarts = append(p.lineStarts, i+1)
		}
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if json.Valid(raw) {
		_ = p.value(dec, "", 0)
	}
	return p
}

// next returns the offset of the next token of dec.
func (p *places) next(dec *json.Decoder) int {
	at := int(dec.InputOffset())
	for at < len(p.raw) && strings.IndexByte(" \t\r\n,:", p.raw[at]) >= 0 {
		at++
	}
	return at
}

// value records the next value of dec and those within it. It calls itself for each level of
// a valid document, 10,000 at most.
func (p *places) value(dec *json.Decoder, path string, depth int) error {
	start := p.next(dec)
	token, err := dec.Token()
	if err != nil {
		return err
	}
	index := len(p.list)
	if depth <= maxPlaceDepth {
		p.list = append(p.list, place{path: path, start: start})
		p.byPath[strings.ToLower(path)] = index
	}
	switch token {
	case json.Delim('{'):
		err = p.object(dec, path, depth+1)
	case json.Delim('['):
		err = p.array(dec, path, depth+1)
	}
	if depth <= maxPlaceDepth {
		p.list[index].end = int(dec.InputOffset())
	}
	return err
}

// object records the fields of an object up to its closing brace.
func (p *places) object(dec *json.Decoder, path string, depth int) error {
	seen := map[string]bool{}
	for dec.More() {
		start := p.next(dec)
		token, err := dec.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		child := ""
		if depth <= maxPlaceDepth {
			child = join(path, name)
			if folded := strings.ToLower(name); seen[folded] {
				p.repeated = append(p.repeated, place{path: child, start: start})
			} else {
				seen[folded] = true
			}
		}
		if err := p.value(dec, child, depth); err != nil {
			return err
		}
	}
	_, err := dec.Token()
	return err
}

// array records the elements of an array up to its closing bracket.
func (p *places) array(dec *json.Decoder, path string, depth int) error {
	for i := 0; dec.More(); i++ {
		child := ""
		if depth <= maxPlaceDepth {
			child = element(path, i)
		}
		if err := p.value(dec, child, depth); err != nil {
			return err
		}
	}
	_, err := dec.Token()
	return err
}

// has reports whether the file has a value at path.
func (p *places) has(path string) bool {
	_, ok := p.byPath[strings.ToLower(path)]
	return ok
}

// find returns the line and column of the value at path, or of the innermost value around
// it that the file has.
func (p *places) find(path string) (line, column int) {
	for {
		if i, ok := p.byPath[strings.ToLower(path)]; ok {
			return p.position(p.list[i].start)
		}
		if path == "" {
			return 0, 0
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

// around returns the innermost value that contains the byte at an offset.
func (p *places) around(offset int) place {
	innermost := place{end: len(p.raw)}
	for _, v := range p.list {
		if v.start <= offset && offset < v.end {
			innermost = v
		}
	}
	return innermost
}

// position returns the line and column of an offset, both from 1.
func (p *places) position(offset int) (line, column int) {
	offset = max(0, min(offset, len(p.raw)))
	line = sort.SearchInts(p.lineStarts, offset+1)
	from := located{offset: p.lineStarts[line-1], line: line, column: 1}
	if p.last.line == line && p.last.offset <= offset {
		from = p.last
	}
	p.last = located{offset: offset, line: line, column: from.column + utf8.RuneCount(p.raw[from.offset:offset])}
	return line, p.last.column
}

// join returns the path of a field of the value at path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// element returns the path of an element of the list at path.
func element(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
