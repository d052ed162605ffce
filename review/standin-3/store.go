package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or a change of one.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create_rev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store. It loses nothing and is linearizable.
type store struct {
	address  string
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*time.Timer
	ttls     map[int64]time.Duration
	// changed is closed and replaced at each change, and cut when waiting watches are cut.
	changed, cut chan struct{}
	// watches counts the watches that wait.
	watches int
	record  *record
}

func startStore(rec *record) (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 100, items: map[string]item{}, leases: map[int64]*time.Timer{}, ttls: map[int64]time.Duration{},
		changed: make(chan struct{}), cut: make(chan struct{}), record: rec}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.lease)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// change applies a change and returns the time at which it was in the store. The caller holds mu.
func (s *store) change(it item) {
	s.revision++
	it.Revision = s.revision
	old, known := s.items[it.Key]
	switch {
	case it.Tombstone && !known:
		s.revision--
		return
	case it.Tombstone:
		delete(s.items, it.Key)
	default:
		it.CreateRev = it.Revision
		if known {
			it.CreateRev = old.CreateRev
		}
		s.items[it.Key] = it
	}
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a key and returns when the store has acknowledged it.
func (s *store) set(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: base64.StdEncoding.EncodeToString(raw)})
	return time.Now()
}

// remove removes a key and returns when the store has acknowledged it.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Tombstone: true})
	return time.Now()
}

// cutWatches cuts the watches that wait now.
func (s *store) cutWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
	return s.watches
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "create_rev": it.CreateRev, "lease": it.Lease, "store_revision": revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	const page = 500
	more := len(items) > page
	if more {
		items = items[:page]
	}
	reply(w, map[string]any{"items": items, "has_more": more, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	// The head goes out at once, the body when there is something to tell.
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	s.mu.Lock()
	cut := s.cut
	s.watches++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.watches--
		s.mu.Unlock()
	}()
	for last := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || last || wait == 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			last = true
		case <-cut:
			s.record.printf("store: a waiting watch is cut (after=%d wait_ms=%d)", after, wait)
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []item `json:"precondition"`
		Set          []item `json:"set_keys"`
		Remove       []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, it := range t.Set {
		if strings.HasPrefix(it.Key, "op/") || strings.HasPrefix(it.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, it := range t.Set {
		s.change(item{Key: it.Key, Value: it.Value, Lease: it.Lease})
		s.record.printf("store: key %s is written by a router, lease %d", it.Key, it.Lease)
	}
	for _, k := range t.Remove {
		s.change(item{Key: k, Tombstone: true})
	}
	reply(w, map[string]any{"revision": s.revision})
}

func (s *store) lease(w http.ResponseWriter, r *http.Request) {
	var t struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&t)
	ttl := time.Duration(max(1000, t.TTL)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(70000 + len(s.ttls) + 1)
	s.ttls[id] = ttl
	s.leases[id] = time.AfterFunc(ttl, func() { s.expire(id) })
	reply(w, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.change(item{Key: k, Tombstone: true})
		}
	}
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.leases[id]
	if t == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	t.Reset(s.ttls[id])
	reply(w, map[string]any{"ttl_ms": s.ttls[id].Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.expire(id)
	reply(w, map[string]any{})
}
