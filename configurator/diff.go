package configurator

import (
	"encoding/json"
	"sort"
)

// Diff returns the sorted paths of the entities that differ between two documents,
// such as kinds/draft. It returns at most maxChangedPaths strings; if there are more
// paths, the last string says so. The result contains no token hashes. If before is
// nil, the result is the single path "document".
func Diff(before, after *Document) []string {
	if before == nil {
		return []string{"document"}
	}
	old, current := renderEntities(before), renderEntities(after)
	var changed []string
	for id, v := range current {
		if old[id] != v {
			changed = append(changed, id)
		}
	}
	for id := range old {
		if _, exists := current[id]; !exists {
			changed = append(changed, id)
		}
	}
	sort.Strings(changed)
	if len(changed) > maxChangedPaths {
		changed = append(changed[:maxChangedPaths-1], "and more")
	}
	return changed
}

// renderEntities returns the JSON encoding of each entity of a document by its path.
func renderEntities(d *Document) map[string]string {
	m := map[string]string{"limits": render(d.Limits)}
	for _, v := range d.Workspaces {
		m["workspaces/"+string(v.ID)] = render(v)
	}
	for _, v := range d.Kinds {
		m["kinds/"+string(v.ID)] = render(v)
	}
	for _, v := range d.Pools {
		m["pools/"+string(v.ID)] = render(v)
	}
	for _, v := range d.Targets {
		m["targets/"+string(v.ID)] = render(v)
	}
	for _, v := range d.Operators {
		m["operators/"+v.ID] = render(v)
	}
	return m
}

func render(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
