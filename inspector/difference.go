package inspector

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strings"
)

// Change is how a value differs from the version in force.
type Change string

// Values of Difference.Change.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is one value that differs between two configurations.
type Difference struct {
	// Entry is the entry of the configuration that has the value, such as route draft.
	// Entries of one list are matched by their name, or by their order if names repeat.
	Entry string `json:"entry"`
	// Field is the path of the value within the entry. It is empty if the whole entry was
	// added or removed.
	Field  string `json:"field,omitempty"`
	Change Change `json:"change"`
	// From and To are the values in JSON, shortened, and without API keys in full. From is
	// empty if the value was added, To if it was removed.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// NotRead is set if routers do not read the field.
	NotRead bool `json:"not_read,omitempty"`
}

// String returns the difference as one line, such as route draft: timeout_ms 12000 -> 9000.
func (d Difference) String() string {
	text := d.Entry + ": "
	if d.Field != "" {
		text += d.Field + " "
	}
	switch d.Change {
	case Changed:
		text += d.From + " -> " + d.To
	case Added:
		text += strings.TrimLeft(d.To+" added", " ")
	case Removed:
		text += strings.TrimLeft(d.From+" removed", " ")
	}
	if d.NotRead {
		text += " (routers do not read it)"
	}
	return text
}

// entryNames has for each list of the configuration what an element is called.
var entryNames = map[string]string{"routes": "route", "services": "service", "tenants": "workspace"}

// identifyingFields are the fields that identify an element of a list of objects, in the
// order in which they are tried.
var identifyingFields = []string{"name", "service"}

// keysField is the field with the API keys of a workspace.
const keysField = "api_keys"

// Compare returns how a configuration differs from the one in force: first in the fields
// that routers read, then in all others. The order of the elements of a list is not
// compared. An error means that one of the configurations cannot be read.
func Compare(inForce, proposed Input) ([]Difference, error) {
	oldConfig, err := readConfig(inForce)
	if err != nil {
		return nil, err
	}
	newConfig, err := readConfig(proposed)
	if err != nil {
		return nil, err
	}
	oldTree, newTree := tree(inForce.Decoded), tree(proposed.Decoded)
	c := &comparison{redactor: newRedactor(oldConfig, newConfig)}
	c.document(oldTree, newTree)
	c.notRead = true
	c.document(unread(tree(inForce.Raw), oldTree), unread(tree(proposed.Raw), newTree))
	return c.differences, nil
}

// CompareVersions returns a finding if routers would not replace the configuration in force
// by the proposed one, because its version is not higher.
func CompareVersions(inForce, proposed Input) []Finding {
	oldConfig, oldErr := readConfig(inForce)
	newConfig, newErr := readConfig(proposed)
	if oldErr != nil || newErr != nil || newConfig.Version > oldConfig.Version {
		return nil
	}
	f := Finding{Severity: Error, Kind: VersionNotHigher, Path: "version"}
	f.Line, f.Column = newPlaces(proposed.Raw).find(f.Path)
	f.Message = fmt.Sprintf("version %d is not higher than version %d in force, so that routers ignore the configuration", newConfig.Version, oldConfig.Version)
	return []Finding{f}
}

// tree returns a JSON document as maps, slices and numbers. It is nil if raw is not JSON.
func tree(raw []byte) any {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var v any
	if dec.Decode(&v) != nil {
		return nil
	}
	return v
}

// knownMark is a field of the objects that unread returns. No field of a file has its name,
// as names in JSON cannot contain a byte that is not valid UTF-8.
const knownMark = "\xff"

// unread returns what remains of raw without the fields that decoded has too. Fields that
// identify an element of a list remain, and objects that decoded has too get a knownMark.
func unread(raw, decoded any) any {
	switch r := raw.(type) {
	case map[string]any:
		d, _ := decoded.(map[string]any)
		rest := map[string]any{knownMark: true}
		for name, v := range r {
			known, found := d[strings.ToLower(name)]
			switch {
			case !found:
				rest[name] = v
			case name == identifyingField(r) || isContainer(v):
				rest[name] = unread(v, known)
			}
		}
		return rest
	case []any:
		d, _ := decoded.([]any)
		rest := []any{}
		for i, v := range r {
			if i < len(d) && isContainer(v) {
				rest = append(rest, unread(v, d[i]))
			}
		}
		return rest
	}
	return raw
}

// isKnown reports whether v is the rest of an object that routers read in part. The
// comparison of the fields that they read has reported it if the whole object was added or
// removed.
func isKnown(v any) bool {
	object, _ := v.(map[string]any)
	return object[knownMark] != nil
}

// isContainer reports whether v is an object or a list.
func isContainer(v any) bool {
	switch v.(type) {
	case map[string]any, []any:
		return true
	}
	return false
}

// comparison collects the differences of two configurations.
type comparison struct {
	redactor    redactor
	notRead     bool
	differences []Difference
}

// document compares two documents.
func (c *comparison) document(from, to any) {
	a, _ := from.(map[string]any)
	b, _ := to.(map[string]any)
	for _, name := range fieldsOf(a, b) {
		entry, isList := entryNames[name]
		if !isList {
			c.value(plain(c.redactor.redact(name)), "", a[name], b[name])
			continue
		}
		oldList, newList := elementsOf(a[name]), elementsOf(b[name])
		for _, id := range idsOf(oldList, newList) {
			c.element(entry+" "+plain(c.redactor.redact(id)), oldList.byID[id], newList.byID[id])
		}
	}
}

// element compares two elements of a list, nil if there is none.
func (c *comparison) element(entry string, from, to any) {
	switch {
	case from != nil && to != nil:
		c.value(entry, "", from, to)
	case isKnown(from) || isKnown(to):
	case from == nil:
		c.add(Difference{Entry: entry, Change: Added})
	default:
		c.add(Difference{Entry: entry, Change: Removed})
	}
}

// value compares two values at a field path within an entry, nil if there is none.
func (c *comparison) value(entry, field string, from, to any) {
	a, aIsObject := from.(map[string]any)
	b, bIsObject := to.(map[string]any)
	if aIsObject && bIsObject {
		for _, name := range fieldsOf(a, b) {
			c.value(entry, join(field, plain(c.redactor.redact(name))), a[name], b[name])
		}
		return
	}
	if isKnown(from) || isKnown(to) {
		return
	}
	x, y := elementsOf(from), elementsOf(to)
	if (x.isList || from == nil) && (y.isList || to == nil) && (x.isList || y.isList) {
		c.list(entry, field, x, y)
		return
	}
	d := Difference{Entry: entry, Field: field, From: c.text(field, from), To: c.text(field, to)}
	switch {
	case jsonText(from) == jsonText(to):
		return
	case from == nil:
		d.Change, d.From = Added, ""
	case to == nil:
		d.Change, d.To = Removed, ""
	default:
		d.Change = Changed
	}
	c.add(d)
}

// list compares two lists within an entry.
func (c *comparison) list(entry, field string, from, to elements) {
	for _, id := range idsOf(from, to) {
		a, b := from.byID[id], to.byID[id]
		switch {
		case isContainer(a) && isContainer(b):
			c.value(entry, field+"["+plain(c.redactor.redact(id))+"]", a, b)
		case isKnown(a) || isKnown(b):
		case a == nil:
			c.add(Difference{Entry: entry, Field: field, Change: Added, To: c.text(field, b)})
		case b == nil:
			c.add(Difference{Entry: entry, Field: field, Change: Removed, From: c.text(field, a)})
		}
	}
}

func (c *comparison) add(d Difference) {
	d.Entry, d.Field = c.redactor.redact(d.Entry), c.redactor.redact(d.Field)
	d.From, d.To = c.redactor.redact(d.From), c.redactor.redact(d.To)
	d.NotRead = c.notRead
	c.differences = append(c.differences, d)
}

// maxValueLength is the length in characters to which a value in a difference is shortened.
const maxValueLength = 120

// secretName matches the names of fields whose values are not printed. Routers do not read
// such fields but for api_keys, but a file may have them.
var secretName = regexp.MustCompile(`(?i)key|secret|token$|password|credential`)

// text returns a value as it is printed: in JSON, shortened, and masked if its field holds
// secrets.
func (c *comparison) text(field string, v any) string {
	last := field[strings.LastIndex(field, ".")+1:]
	if key, isString := v.(string); isString && last == keysField {
		return mask(key)
	}
	if secretName.MatchString(field) {
		return "(not shown)"
	}
	// The value is redacted before it is encoded, as the encoding of a key may differ from
	// the key, and before it is shortened.
	runes := []rune(c.redactor.redact(jsonText(c.redactTree(v))))
	if len(runes) > maxValueLength {
		return printable(runes[:maxValueLength]) + ellipsis
	}
	return printable(runes)
}

// redactTree returns v with all its strings and names redacted.
func (c *comparison) redactTree(v any) any {
	switch t := v.(type) {
	case string:
		return c.redactor.redact(t)
	case []any:
		list := make([]any, len(t))
		for i := range t {
			list[i] = c.redactTree(t[i])
		}
		return list
	case map[string]any:
		object := map[string]any{}
		for name := range t {
			if secretName.MatchString(name) {
				object[name] = "(not shown)"
			} else {
				object[c.redactor.redact(name)] = c.redactTree(t[name])
			}
		}
		return object
	}
	return v
}

// jsonText returns a value in JSON.
func jsonText(v any) string {
	var b strings.Builder
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if enc.Encode(v) != nil {
		return "(not shown)"
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// fieldsOf returns the names of the fields of two objects, sorted.
func fieldsOf(a, b map[string]any) []string {
	names := make([]string, 0, len(a)+len(b))
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, found := a[name]; !found {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
