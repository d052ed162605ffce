package imitator

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"buckthorndrum/storer"
)

// maxValue bounds one value, in bytes.
const maxValue = 1 << 20

// StoreFaults are the failures that a stand-in store shows.
type StoreFaults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Hang lets every call wait until the fault is lifted.
	Hang bool `json:"hang"`
	// LoseAnswers is the part of the writes whose answer is lost after the
	// write took effect, from 0 to 1.
	LoseAnswers float64 `json:"lose_answers"`
	// DelayMS is added to each call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// Stale answers reads with the value before the latest write.
	Stale bool `json:"stale"`
}

// StoreConfig sets up a stand-in store.
type StoreConfig struct {
	// WritesPerSecond and ReadsPerSecond bound the rates; zero sets no bound.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Seed makes the lost answers repeatable.
	Seed uint64
}

// Store stands in for the platform's key-value service.
type Store struct {
	mu      sync.Mutex
	entries map[string]*stored
	version storer.Version
	// changed is closed and replaced at each write.
	changed chan struct{}
	faults  StoreFaults
	rng     *rand.Rand
	writes  *rate.Limiter
	reads   *rate.Limiter
	// Counts of the calls taken.
	counts StoreCounts
}

// StoreCounts are the calls that a stand-in store has seen.
type StoreCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"`
	Lost    int64 `json:"lost"`
}

type stored struct {
	entry storer.Entry
	// before is the value that the latest write replaced.
	before  *storer.Entry
	expires time.Time
}

// NewStore returns an empty stand-in store.
func NewStore(cfg StoreConfig) *Store {
	return &Store{
		entries: map[string]*stored{},
		changed: make(chan struct{}),
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		writes:  limiter(cfg.WritesPerSecond),
		reads:   limiter(cfg.ReadsPerSecond),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// SetFaults replaces the failures shown.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the calls seen so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler returns the service's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key}", s.get)
	mux.HandleFunc("PUT /v1/kv/{key}", s.put)
	mux.HandleFunc("POST /v1/faults", s.postFaults)
	mux.HandleFunc("GET /v1/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Counts()) })
	return mux
}

func (s *Store) postFaults(w http.ResponseWriter, r *http.Request) {
	var f StoreFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

// hangPoll is how often a hanging call looks whether the fault was lifted.
const hangPoll = 20 * time.Millisecond

// admit applies the faults and the rate bounds. It reports whether the call may
// go on.
func (s *Store) admit(w http.ResponseWriter, r *http.Request, l *rate.Limiter) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	for f.Hang {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(hangPoll):
		}
		s.mu.Lock()
		f = s.faults
		s.mu.Unlock()
	}
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	if f.Outage || !l.Allow() {
		s.mu.Lock()
		s.counts.Refused++
		s.mu.Unlock()
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, s.reads) {
		return
	}
	key := r.PathValue("key")
	if after := r.FormValue("after"); after != "" {
		s.watch(w, r, key, after)
		return
	}
	s.mu.Lock()
	s.counts.Reads++
	e := s.lookup(key)
	if e != nil && s.faults.Stale {
		e = e.old()
	}
	s.mu.Unlock()
	answer(w, e)
}

func (e *stored) old() *stored {
	if e.before == nil {
		return nil
	}
	return &stored{entry: *e.before}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, key, after string) {
	v, _ := strconv.ParseUint(after, 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	s.counts.Watches++
	for {
		e := s.lookup(key)
		changed := s.changed
		s.mu.Unlock()
		if e != nil && e.entry.Version > storer.Version(v) {
			answer(w, e)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, e)
			return
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}

func answer(w http.ResponseWriter, e *stored) {
	if e == nil {
		http.Error(w, "absent", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, e.entry)
}

// lookup returns the entry of key unless it has expired. The caller holds mu.
func (s *Store) lookup(key string) *stored {
	e := s.entries[key]
	if e != nil && !e.expires.IsZero() && time.Now().After(e.expires) {
		delete(s.entries, key)
		return nil
	}
	return e
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, s.writes) {
		return
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil || len(raw) > maxValue {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	v, err := strconv.ParseUint(r.FormValue("version"), 10, 64)
	if err != nil {
		http.Error(w, "version is not a number", http.StatusBadRequest)
		return
	}
	ttl, _ := strconv.ParseInt(r.FormValue("ttl_ms"), 10, 64)
	e, conflict, lost := s.swap(r.PathValue("key"), raw, storer.Version(v), time.Duration(ttl)*time.Millisecond)
	switch {
	case lost:
		hangUp(w)
	case conflict:
		writeJSON(w, http.StatusPreconditionFailed, e)
	default:
		writeJSON(w, http.StatusOK, e)
	}
}

func (s *Store) swap(key string, raw []byte, v storer.Version, ttl time.Duration) (e storer.Entry, conflict, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	old := s.lookup(key)
	var stands storer.Entry
	if old != nil {
		stands = old.entry
	}
	if stands.Version != v {
		return stands, true, false
	}
	s.version++
	n := &stored{entry: storer.Entry{Value: raw, Version: s.version}}
	if old != nil {
		n.before = &old.entry
	}
	if ttl > 0 {
		n.expires = time.Now().Add(ttl)
	}
	s.entries[key] = n
	close(s.changed)
	s.changed = make(chan struct{})
	lost = s.rng.Float64() < s.faults.LoseAnswers
	if lost {
		s.counts.Lost++
	}
	return n.entry, false, lost
}

// hangUp closes the connection without an answer.
func hangUp(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
	}
}
