package imitator

import (
	"net/http"
	"strconv"
	"time"
)

// EngineLoad is what an engine reports of itself, late.
type EngineLoad struct {
	Batch    int      `json:"batch"`
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	// Loading tells that the weights are not ready yet.
	Loading bool `json:"loading"`
	// Fence is the number of the last order taken.
	Fence uint64 `json:"fence"`
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sample()
	l := e.loads[0].load
	limit := time.Now().Add(-e.cfg.LoadLag)
	for _, s := range e.loads {
		if s.at.After(limit) {
			break
		}
		l = s.load
	}
	writeJSON(w, http.StatusOK, l)
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
