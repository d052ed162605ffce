package imitator

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// ServiceConfig sets up a stand-in for a plain service.
type ServiceConfig struct {
	// Latency is how long one call takes.
	Latency time.Duration
	// RefusesRepeats tells that a key that has run is answered with its first
	// result.
	RefusesRepeats bool
}

// Service stands in for a plain service such as a ticket registry. It counts
// the runs by key and so is the oracle for at most once.
type Service struct {
	cfg ServiceConfig
	mu  sync.Mutex
	// runs counts the executions by key, bodies by body.
	runs   map[string]int
	bodies map[string]int
	// last is when a call came last.
	last time.Time
	// serial numbers the records issued.
	serial  int
	results map[string]Record
}

// Record is what one call has issued.
type Record struct {
	Serial int    `json:"serial"`
	Key    string `json:"key"`
	Path   string `json:"path"`
}

// NewService returns a stand-in service.
func NewService(cfg ServiceConfig) *Service {
	return &Service{cfg: cfg, runs: map[string]int{}, bodies: map[string]int{}, results: map[string]Record{}}
}

// Runs returns how often each key has run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Bodies returns how often each body has been executed.
func (s *Service) Bodies() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.bodies)
}

// LastCall returns when a call came last.
func (s *Service) LastCall() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("POST /{path...}", s.post)
	return mux
}

func (s *Service) post(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	rec := s.run(r.Header.Get("Idempotency-Key"), r.URL.Path, string(body))
	time.Sleep(s.cfg.Latency)
	writeJSON(w, http.StatusOK, rec)
}

// run executes a call. A call without a key has its own key by serial.
func (s *Service) run(key, path, body string) Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = time.Now()
	if rec, ran := s.results[key]; ran && key != "" && s.cfg.RefusesRepeats {
		return rec
	}
	s.serial++
	s.bodies[body]++
	if key != "" {
		s.runs[key]++
	}
	rec := Record{Serial: s.serial, Key: key, Path: path}
	s.results[key] = rec
	return rec
}
