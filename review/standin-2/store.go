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

// storeItem is a key of the store, or its removal.
type storeItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_rev,omitempty"`
	Lease          int64  `json:"lease"`
	Tombstone      bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. It is
// linearizable and keeps all history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	// changed is closed and replaced at each change.
	changed chan struct{}
	leases  map[int64]*time.Timer
	ttl     map[int64]time.Duration
	next    int64
}

func newStore() *store {
	return &store{revision: 100, items: map[string]storeItem{}, changed: make(chan struct{}), leases: map[int64]*time.Timer{}, ttl: map[int64]time.Duration{}, next: 7}
}

// start serves the store on a free loopback port and returns its address.
func (s *store) start() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String(), nil
}

// put writes one key, as the operator and the servers do.
func (s *store) put(key string, value any) int64 {
	raw, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change([]storeItem{{Key: key, Value: raw}}, nil)
}

// remove removes one key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(nil, []string{key})
}

// change makes changes at one revision. The caller holds mu.
func (s *store) change(set []storeItem, remove []string) int64 {
	s.revision++
	for _, it := range set {
		it.Revision, it.CreateRevision = s.revision, s.revision
		if old, known := s.items[it.Key]; known {
			it.CreateRevision = old.CreateRevision
		}
		s.items[it.Key] = it
		s.history = append(s.history, it)
	}
	for _, key := range remove {
		if _, known := s.items[key]; known {
			delete(s.items, key)
			s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *store) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.change(nil, keys)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP serves the calls of the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case path == "/kv-key":
		s.mu.Lock()
		it, known := s.items[q.Get("key")]
		s.mu.Unlock()
		if !known {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		reply(w, http.StatusOK, it)
	case path == "/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(ms)*time.Millisecond)
	case path == "/kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		s.mu.Lock()
		s.next++
		id := s.next
		d := time.Duration(body.TTL) * time.Millisecond
		s.ttl[id] = d
		s.leases[id] = time.AfterFunc(d, func() { s.endLease(id) })
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": body.TTL})
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		t := s.leases[id]
		if t != nil {
			t.Reset(s.ttl[id])
		}
		d := s.ttl[id]
		s.mu.Unlock()
		if t == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
		reply(w, http.StatusOK, map[string]int64{"ttl_ms": d.Milliseconds()})
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		s.endLease(id)
		reply(w, http.StatusOK, struct{}{})
	case path == "/kv-txn":
		s.txn(w, r)
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Set    []storeItem `json:"set_keys"`
		Remove []string    `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range body.Precondition {
		if s.items[c.Key].Revision != c.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []storeItem{}})
			return
		}
	}
	for _, it := range body.Set {
		if strings.HasPrefix(it.Key, "op/") || strings.HasPrefix(it.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	reply(w, http.StatusOK, map[string]int64{"revision": s.change(body.Set, body.Remove)})
}
