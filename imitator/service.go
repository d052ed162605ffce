package imitator

import (
	"io"
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
	// runs counts the executions by key.
	runs map[string]int
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
	return &Service{cfg: cfg, runs: map[string]int{}, results: map[string]Record{}}
}

// Runs returns how often each key has run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		runs[k] = n
	}
	return runs
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("POST /{path...}", s.post)
	return mux
}

func (s *Service) post(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	rec := s.run(r.Header.Get("Idempotency-Key"), r.URL.Path)
	time.Sleep(s.cfg.Latency)
	writeJSON(w, http.StatusOK, rec)
}

// run executes a call. A call without a key has its own key by serial.
func (s *Service) run(key, path string) Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec, ran := s.results[key]; ran && key != "" && s.cfg.RefusesRepeats {
		return rec
	}
	s.serial++
	if key != "" {
		s.runs[key]++
	}
	rec := Record{Serial: s.serial, Key: key, Path: path}
	s.results[key] = rec
	return rec
}
