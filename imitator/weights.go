package imitator

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Weights stands in for the weight store. It refuses loads beyond its rate.
type Weights struct {
	limit   *rate.Limiter
	mu      sync.Mutex
	served  int
	refused int
}

// NewWeights returns a weight store that serves so many loads a minute.
func NewWeights(perMinute float64) *Weights {
	return &Weights{limit: rate.NewLimiter(rate.Limit(perMinute/time.Minute.Seconds()), 1)}
}

func (s *Weights) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limit.Allow() {
		s.refused++
		return false
	}
	s.served++
	return true
}

// Counts returns how many loads were served and refused.
func (s *Weights) Counts() (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.refused
}

// weights is what one engine has loaded.
type weights struct {
	model    string
	adapters []string
	// ready is when it can serve.
	ready time.Time
	fence uint64
}

func (w *weights) report(batch int, now time.Time) EngineLoad {
	return EngineLoad{Batch: batch, Model: w.model, Adapters: w.adapters, Loading: now.Before(w.ready), Fence: w.fence}
}

// serve tells whether completion c can be served now.
func (w *weights) serve(c Completion, now time.Time) bool {
	if c.Model == "" {
		return true
	}
	has := c.Adapter == "" || slices.Contains(w.adapters, c.Adapter)
	return c.Model == w.model && has && !now.Before(w.ready)
}

// ModelOrder tells an engine which weights to have loaded.
type ModelOrder struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	// Fence orders the orders; an engine that checks refuses lower ones.
	Fence uint64 `json:"fence"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o ModelOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Model == "" {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	status, text := e.Order(o)
	if status != http.StatusOK {
		http.Error(w, text, status)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

// Order takes an order and returns its HTTP status with the reason. Another
// model ends all streams.
func (e *Engine) Order(o ModelOrder) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && o.Fence <= e.weights.fence {
		return http.StatusConflict, "old fencing number"
	}
	e.weights.fence = max(e.weights.fence, o.Fence)
	if o.Model == e.weights.model && len(missing(o.Adapters, e.weights.adapters)) == 0 {
		return http.StatusOK, ""
	}
	if e.cfg.Weights != nil && !e.cfg.Weights.take() {
		return http.StatusServiceUnavailable, "weight store refuses"
	}
	if o.Model != e.weights.model {
		e.weights.ready = time.Now().Add(e.cfg.LoadTime)
		e.cancelAll()
	}
	e.weights.model, e.weights.adapters = o.Model, o.Adapters
	e.sample()
	return http.StatusOK, ""
}

// missing returns what of wanted is not held.
func missing(wanted, held []string) []string {
	var lack []string
	for _, a := range wanted {
		if !slices.Contains(held, a) {
			lack = append(lack, a)
		}
	}
	return lack
}

// cancelAll ends all streams without their marks. The caller holds mu.
func (e *Engine) cancelAll() {
	for id, s := range e.streams {
		s.cancelled = true
		delete(e.streams, id)
	}
	close(e.stepped)
	e.stepped = make(chan struct{})
	e.count()
}

// Model returns the model that is loaded or being loaded.
func (e *Engine) Model() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights.model
}
