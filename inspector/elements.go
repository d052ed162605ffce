package inspector

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"unicode"
)

// elements is a list whose elements are identified independently of their order.
type elements struct {
	isList bool
	ids    []string
	byID   map[string]any
}

// elementsOf returns the elements of a list. Objects are identified by the first of their
// identifying fields, others by their value, and those that are repeated by their number
// too.
func elementsOf(v any) elements {
	list, isList := v.([]any)
	e := elements{isList: isList, byID: map[string]any{}}
	count := map[string]int{}
	for _, v := range list {
		id := idOf(v)
		if count[id]++; count[id] > 1 {
			id = fmt.Sprintf("%s#%d", id, count[id])
		}
		if v == nil {
			v = "null"
		}
		e.ids = append(e.ids, id)
		e.byID[id] = v
	}
	return e
}

// idOf returns the identity of an element of a list.
func idOf(v any) string {
	switch t := v.(type) {
	case string:
		return t
	case map[string]any:
		id, _ := t[identifyingField(t)].(string)
		return id
	}
	return jsonText(v)
}

// identifyingField returns the first of the identifyingFields that an object has as a
// string, or an empty string if it has none.
func identifyingField(object map[string]any) string {
	for _, field := range identifyingFields {
		if _, isString := object[field].(string); isString {
			return field
		}
	}
	return ""
}

// idsOf returns the identities of the elements of both lists, those of the second first, in
// their order.
func idsOf(from, to elements) []string {
	ids := append([]string{}, to.ids...)
	for _, id := range from.ids {
		if _, found := to.byID[id]; !found {
			ids = append(ids, id)
		}
	}
	return ids
}

// plainName matches the names that are printed without quotes.
var plainName = regexp.MustCompile(`^[A-Za-z0-9._#/-]+$`)

// plainPathPattern matches the paths that are printed without quotes.
var plainPathPattern = regexp.MustCompile(`^[A-Za-z0-9._#/\[\]-]+$`)

// plain returns a name as it is printed. Others are quoted, so that control characters of a
// file do not reach a terminal.
func plain(name string) string {
	if plainName.MatchString(name) {
		return name
	}
	return strconv.Quote(name)
}

// plainPath returns a JSON path as it is printed, quoted like a name.
func plainPath(path string) string {
	if plainPathPattern.MatchString(path) {
		return path
	}
	return strconv.Quote(path)
}

// printable returns a text in JSON with the characters escaped that JSON allows and that
// control a terminal.
func printable(text []rune) string {
	var b strings.Builder
	for _, r := range text {
		if unicode.IsPrint(r) {
			b.WriteRune(r)
		} else {
			b.WriteString(strings.Trim(strconv.QuoteRuneToASCII(r), "'"))
		}
	}
	return b.String()
}
