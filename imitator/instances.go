package imitator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"buckthorndrum/lister"
)

// Instances stands in for the platform's lagging instance list.
type Instances struct {
	mu  sync.Mutex
	lag time.Duration
	// changes are all changes with their time, the oldest first.
	changes []change
}

type change struct {
	at       time.Time
	instance lister.Instance
	gone     bool
}

// NewInstances returns an empty list that shows each change lag late.
func NewInstances(lag time.Duration) *Instances { return &Instances{lag: lag} }

// Set adds an instance or changes its state.
func (l *Instances) Set(i lister.Instance) { l.note(change{at: time.Now(), instance: i}) }

// Remove takes an instance off the list.
func (l *Instances) Remove(name string) {
	l.note(change{at: time.Now(), instance: lister.Instance{Name: name}, gone: true})
}

func (l *Instances) note(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, c)
}

// Handler returns the list's HTTP interface.
func (l *Instances) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, l.seen(time.Now()))
	})
	mux.HandleFunc("PUT /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		var i lister.Instance
		if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(i)
	})
	return mux
}

// seen returns the list as it was lag ago.
func (l *Instances) seen(now time.Time) []lister.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := map[string]int{}
	list := []lister.Instance{}
	for _, c := range l.changes {
		if now.Sub(c.at) < l.lag {
			break
		}
		i, known := index[c.instance.Name]
		switch {
		case known:
			list[i] = c.instance
			if c.gone {
				list[i].Name = ""
			}
		case !c.gone:
			index[c.instance.Name] = len(list)
			list = append(list, c.instance)
		}
	}
	return present(list)
}

func present(list []lister.Instance) []lister.Instance {
	kept := list[:0]
	for _, i := range list {
		if i.Name != "" {
			kept = append(kept, i)
		}
	}
	return kept
}
