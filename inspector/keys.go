package inspector

import (
	"sort"
	"strings"
)

// checkKeys reports API keys that stand twice or are empty.
func (s *inspection) checkKeys() {
	type holder struct {
		tenant int
		path   string
	}
	first := map[string]holder{}
	for i, t := range s.config.Tenants {
		for j, key := range t.Keys {
			path := element(element("tenants", i)+".api_keys", j)
			h, found := first[key]
			switch {
			case key == "":
				s.add(Warning, KeyEmpty, path, "an API key of workspace %q is empty; no request can use it", t.Name)
			case !found:
				first[key] = holder{tenant: i, path: path}
			case h.tenant == i:
				s.add(Warning, KeyRepeated, path, "workspace %q has the API key %s twice; it is also %s", t.Name, mask(key), h.path)
			default:
				s.add(Error, KeyShared, path, "the API key %s belongs to workspace %q too, at %s; requests with it count for workspace %q", mask(key), s.config.Tenants[h.tenant].Name, h.path, t.Name)
			}
		}
	}
}

const (
	// minMaskedLength is the length in characters from which on a key's first
	// shownCharacters are printed. They identify a long key to its owner; of a short one
	// they would be too large a part.
	minMaskedLength = 12
	shownCharacters = 4
	// minRedactedLength is the length in bytes from which on a key is removed from all
	// output, wherever else it stands. Shorter ones are common parts of words.
	minRedactedLength = 8
	ellipsis          = "..."
)

// mask returns what is printed of an API key.
func mask(key string) string {
	runes := []rune(key)
	if len(runes) < minMaskedLength {
		return "(not shown)"
	}
	return printable(runes[:shownCharacters]) + ellipsis
}

// redactor replaces API keys in texts, such as a name that is the same as a key.
type redactor struct{ replacer *strings.Replacer }

// newRedactor returns a redactor for the keys of configurations.
func newRedactor(list ...config) redactor {
	var keys []string
	for _, c := range list {
		for _, t := range c.Tenants {
			for _, key := range t.Keys {
				if len(key) >= minRedactedLength {
					keys = append(keys, key)
				}
			}
		}
	}
	// The replacer takes the first key that matches, and a key may begin with another one.
	sort.Slice(keys, func(i, j int) bool { return len(keys[i]) > len(keys[j]) })
	pairs := make([]string, 0, 2*len(keys))
	for _, key := range keys {
		pairs = append(pairs, key, mask(key))
	}
	return redactor{replacer: strings.NewReplacer(pairs...)}
}

// redact returns text with each key replaced by what may be printed of it.
func (r redactor) redact(text string) string { return r.replacer.Replace(text) }
