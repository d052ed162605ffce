package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or its removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create_rev,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's store: linearizable, without rate limits, and
// with its whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
	server   *http.Server
	listener net.Listener
}

type lease struct {
	ttl time.Duration
	end time.Time
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 10, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.getKey)
	mux.HandleFunc("GET /kv-range", s.getRange)
	mux.HandleFunc("GET /kv-watch", s.getWatch)
	mux.HandleFunc("POST /kv-txn", s.postTxn)
	mux.HandleFunc("POST /kv-lease", s.postLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.postKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.deleteLease)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// set sets a key and returns once that is acknowledged.
func (s *store) set(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.setLocked(key, []byte(value), 0)
	s.wake()
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeLocked(key)
	s.wake()
}

func (s *store) setLocked(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Revision: s.revision, CreateRev: s.revision, Lease: lease}
	if old, exists := s.items[key]; exists {
		it.CreateRev = old.CreateRev
	}
	s.items[key] = it
	s.events = append(s.events, it)
}

func (s *store) removeLocked(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// endLeases ends the leases whose time has come. The caller holds s.mu.
func (s *store) endLeases() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.removeLocked(key)
		}
	}
	s.wake()
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, exists := s.items[r.FormValue("key")]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{it, s.revision})
}

// pageItems is the largest number of items in a page.
const pageItems = 500

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeases()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			list = append(list, it)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageItems
	answer(w, map[string]any{"items": list[:min(len(list), pageItems)], "has_more": more, "store_revision": s.revision})
}

func (s *store) getWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		s.endLeases()
		list := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, r.FormValue("prefix")) {
				list = append(list, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 || !waiting {
			answer(w, map[string]any{"events": list, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// txn is a change under conditions.
type txn struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"precondition"`
	Set []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"set_keys"`
	Remove []string `json:"remove"`
}

func (s *store) postTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeases()
	for _, c := range t.Precondition {
		if s.items[c.Key].Revision != c.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			answer(w, map[string]any{"items": []item{}})
			return
		}
	}
	for _, e := range t.Set {
		if e.Lease != 0 && s.leases[e.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, e := range t.Set {
		s.setLocked(e.Key, e.Value, e.Lease)
	}
	for _, key := range t.Remove {
		s.removeLocked(key)
	}
	s.wake()
	answer(w, map[string]any{"revision": s.revision})
}

func (s *store) postLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, map[string]any{"lease": s.nextID, "ttl_ms": body.TTL})
}

func (s *store) postKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeases()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) deleteLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	answer(w, map[string]any{})
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
