package imitator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EngineConfig sets up a stand-in for a model engine.
type EngineConfig struct {
	// Model is the model loaded at the start.
	Model string
	// BaseStep is the time of one decoding step of an empty batch.
	BaseStep time.Duration
	// StepPerStream is how much longer a step is for each stream in the batch.
	StepPerStream time.Duration
	// PrefillPerKilobyte is the time to take in a prompt that is not cached.
	PrefillPerKilobyte time.Duration
	// CachedPrefixes bounds how many prompt prefixes are cached.
	CachedPrefixes int
	// LoadLag is how old the reported load is.
	LoadLag time.Duration
	// EventGap drops each n-th cache event; zero drops none.
	EventGap int
	// ChecksFencing tells that an order with an old number is refused.
	ChecksFencing bool
	// LoadTime is how long the weights of a model take to load.
	LoadTime time.Duration
	// Weights is where they come from, nil for a source without a limit.
	Weights *Weights
}

// Engine stands in for a model engine: it batches continuously, caches prompt
// prefixes, streams, and can cancel and resume a stream.
type Engine struct {
	cfg EngineConfig
	mu  sync.Mutex
	// stepped is closed and replaced at each decoding step.
	stepped chan struct{}
	streams map[string]*stream
	// batch is how many streams are being decoded.
	batch    int
	stepping bool
	cache    prefixCache
	loads    []loadSample
	// last is when a stream was asked for last.
	last    time.Time
	weights weights
}

// stream is one generation.
type stream struct {
	seed uint64
	// total is how many tokens the whole answer has.
	total int
	// made is how many tokens exist, at most total.
	made int
	// readers is how many connections follow the stream. A stream that nobody
	// follows is paused.
	readers int
	// ready is when the prompt has been taken in.
	ready time.Time
	// cancelled tells that the stream ends without its mark.
	cancelled bool
}

type loadSample struct {
	at   time.Time
	load EngineLoad
}

// NewEngine returns a stand-in engine.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg:     cfg,
		stepped: make(chan struct{}),
		streams: map[string]*stream{},
		cache:   prefixCache{limit: cfg.CachedPrefixes, gap: cfg.EventGap},
		weights: weights{model: cfg.Model},
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.create)
	mux.HandleFunc("GET /v1/completions/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/completions/{id}", e.cancel)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /v1/cache_events", e.cacheEvents)
	mux.HandleFunc("POST /v1/model", e.order)
	return mux
}

// Completion is the request for a generation.
type Completion struct {
	ID        string `json:"request_id"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// Prefix is the hash of the prompt prefix, zero if none.
	Prefix uint32 `json:"prefix,omitempty"`
	// From is how many tokens of the answer exist already.
	From int `json:"from,omitempty"`
	// Model and Adapter are what the completion needs, empty for whatever is
	// loaded.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// Chunk is one event of a stream.
type Chunk struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

func (e *Engine) create(w http.ResponseWriter, r *http.Request) {
	var c Completion
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.ID == "" {
		http.Error(w, "malformed completion", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if !e.weights.serve(c, time.Now()) {
		e.mu.Unlock()
		http.Error(w, fmt.Sprintf("model %q with adapter %q is not loaded", c.Model, c.Adapter), http.StatusConflict)
		return
	}
	s := e.streams[c.ID]
	if s == nil {
		s = &stream{seed: xxhash.Sum64String(c.Prompt), made: c.From}
		s.total = Length(c.Prompt, c.MaxTokens)
		s.ready = time.Now().Add(e.prefill(c))
		e.prune()
		e.last = time.Now()
		e.streams[c.ID] = s
	}
	e.mu.Unlock()
	e.follow(w, r, s, c.From)
}

// maxStreams bounds the streams that are kept for resumption.
const maxStreams = 1024

// prune forgets ended streams once there are many. The caller holds mu.
func (e *Engine) prune() {
	if len(e.streams) < maxStreams {
		return
	}
	for id, s := range e.streams {
		if s.readers == 0 && s.made >= s.total {
			delete(e.streams, id)
		}
	}
}

// LastCall returns when a new stream was asked for last.
func (e *Engine) LastCall() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last
}

// Length returns how many tokens the answer to a prompt has: the number after
// "tokens=" in the prompt if there is one, else one that the prompt's hash
// gives, and at most limit.
func Length(prompt string, limit int) int {
	n := int(xxhash.Sum64String(prompt)%maxRandomLength) + 1
	for i := 0; i+len(lengthMark) < len(prompt); i++ {
		if prompt[i:i+len(lengthMark)] == lengthMark {
			_, _ = fmt.Sscanf(prompt[i+len(lengthMark):], "%d", &n)
			break
		}
	}
	return max(1, min(n, limit))
}

const (
	// lengthMark comes before the wished length in a prompt.
	lengthMark = "tokens="
	// maxRandomLength bounds the length of an answer without a wish.
	maxRandomLength = 64
)

// Token returns token i of the answer to a prompt.
func Token(prompt string, i int) string { return token(xxhash.Sum64String(prompt), i) }

func token(seed uint64, i int) string {
	return fmt.Sprintf("%x ", (seed+uint64(i)*0x9e3779b97f4a7c15)>>48)
}

func (e *Engine) prefill(c Completion) time.Duration {
	if e.cache.take(c.Prefix) {
		return 0
	}
	return time.Duration(int64(e.cfg.PrefillPerKilobyte) * int64(len(c.Prompt)) / 1024)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.FormValue("from"))
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil || err != nil || from < 0 || from > s.total {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.follow(w, r, s, from)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[r.PathValue("id")]; s != nil {
		s.cancelled = true
		delete(e.streams, r.PathValue("id"))
	}
	w.WriteHeader(http.StatusNoContent)
}

// follow streams the tokens from index from as server-sent events.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	e.attach(s, 1)
	defer e.attach(s, -1)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for i := from; ; {
		e.mu.Lock()
		made, total, stepped, cancelled := s.made, s.total, e.stepped, s.cancelled
		e.mu.Unlock()
		if cancelled {
			return
		}
		for ; i < made; i++ {
			raw, _ := json.Marshal(Chunk{Index: i, Text: token(s.seed, i)})
			if _, err := fmt.Fprintf(w, "data: %s\n\n", raw); err != nil {
				return
			}
		}
		if made >= total {
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		_ = flusher.Flush()
		select {
		case <-stepped:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) attach(s *stream, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers += n
	e.count()
	if e.batch > 0 && !e.stepping {
		e.stepping = true
		go e.step()
	}
}

// count updates the batch. The caller holds mu.
func (e *Engine) count() {
	e.batch = 0
	for _, s := range e.streams {
		if s.readers > 0 && s.made < s.total {
			e.batch++
		}
	}
	e.sample()
}

// sample keeps the present load, to be reported later. The caller holds mu.
func (e *Engine) sample() {
	now := time.Now()
	e.loads = append(e.loads, loadSample{now, e.weights.report(e.batch, now)})
	if len(e.loads) > maxLoadSamples {
		e.loads = e.loads[len(e.loads)-maxLoadSamples/2:]
	}
}

// maxLoadSamples bounds the history from which the lagging load is reported.
const maxLoadSamples = 1024

// step decodes until no stream is followed.
func (e *Engine) step() {
	for {
		e.mu.Lock()
		d := e.cfg.BaseStep + time.Duration(e.batch)*e.cfg.StepPerStream
		e.mu.Unlock()
		time.Sleep(d)
		e.mu.Lock()
		e.decode(time.Now())
		e.count()
		close(e.stepped)
		e.stepped = make(chan struct{})
		if e.batch == 0 {
			e.stepping = false
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
	}
}

func (e *Engine) decode(now time.Time) {
	for _, s := range e.streams {
		if s.readers > 0 && s.made < s.total && !now.Before(s.ready) {
			s.made++
		}
	}
}
