package imitator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// EngineLoad is what an engine reports of itself, late.
type EngineLoad struct {
	Batch int    `json:"batch"`
	Model string `json:"model"`
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := EngineLoad{Model: e.model}
	limit := time.Now().Add(-e.cfg.LoadLag)
	for _, s := range e.loads {
		if s.at.After(limit) {
			break
		}
		l.Batch = s.batch
	}
	writeJSON(w, http.StatusOK, l)
}

// ModelOrder tells an engine to load a model.
type ModelOrder struct {
	Model string `json:"model"`
	// Fence orders the orders; an engine that checks refuses lower ones.
	Fence uint64 `json:"fence"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o ModelOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Model == "" {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && o.Fence < e.fence {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.model = o.Model
	e.orders++
	writeJSON(w, http.StatusOK, o)
}

// Model returns the model that was ordered last, or the one loaded at the start.
func (e *Engine) Model() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model
}

// CacheEvent tells that a prompt prefix was cached or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint32 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.cache.since(after))
}

// prefixCache is a cache of prompt prefixes that evicts the oldest.
type prefixCache struct {
	limit  int
	gap    int
	held   []uint32
	events []CacheEvent
	next   uint64
}

// take reports whether prefix p is cached, and caches it.
func (c *prefixCache) take(p uint32) bool {
	if p == 0 || c.limit == 0 {
		return false
	}
	for i, h := range c.held {
		if h == p {
			c.held = append(append(c.held[:i:i], c.held[i+1:]...), p)
			return true
		}
	}
	c.held = append(c.held, p)
	c.event(p, false)
	if len(c.held) > c.limit {
		c.event(c.held[0], true)
		c.held = c.held[1:]
	}
	return false
}

// maxEvents bounds the events that are still reported.
const maxEvents = 1024

func (c *prefixCache) event(p uint32, evicted bool) {
	c.next++
	if c.gap > 0 && c.next%uint64(c.gap) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{c.next, p, evicted})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents/2:]
	}
}

func (c *prefixCache) since(after uint64) []CacheEvent {
	found := []CacheEvent{}
	for _, ev := range c.events {
		if ev.Sequence > after {
			found = append(found, ev)
		}
	}
	return found
}
