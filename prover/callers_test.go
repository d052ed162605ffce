package prover_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"buckthorndrum/identifier"
	"buckthorndrum/imitator"
	"buckthorndrum/starter"
)

// verdict is what the callers of a soak were told.
type verdict struct {
	mu sync.Mutex
	// told is the final outcome by ticket body.
	told map[string]identifier.Outcome
	// repeats counts the attempts after the first.
	repeats  int
	whole    int
	broken   []string
	unmarked int
	problems map[identifier.Outcome]int
	// cut are streams that broke at a router that was stopped gracefully.
	cut []string
}

func newVerdict() *verdict {
	return &verdict{told: map[string]identifier.Outcome{}, problems: map[identifier.Outcome]int{}}
}

// callers send tickets and model requests until ctx is done.
type callers struct {
	f    *fleet
	v    *verdict
	http *http.Client
}

func (c *callers) run(ctx context.Context, seed uint64) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i, w := range starter.Workspaces() {
		for j := range 4 {
			rng := rand.New(rand.NewPCG(seed, uint64(i*100+j)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; ctx.Err() == nil; n++ {
					if j%2 == 0 {
						c.ticket(rng, w, fmt.Sprintf(`{"bale":"%s-%d-%d"}`, w, j, n))
					} else {
						c.draft(ctx, rng, w, fmt.Sprintf("%s-%d-%d tokens=%d", w, j, n, 5+rng.IntN(80)))
					}
				}
			}()
		}
	}
	return &wg
}

// maxRepeats bounds how often a caller repeats a key. After that it keeps the
// outcome as unknown.
const maxRepeats = 40

// ticket asks for one ticket and repeats its key at any router until the
// outcome is known.
func (c *callers) ticket(rng *rand.Rand, w identifier.Workspace, body string) {
	key := uuid.Must(uuid.NewV7()).String()
	outcome := identifier.Unknown
	for n := 0; n < maxRepeats && outcome == identifier.Unknown; n++ {
		if n > 0 {
			c.note(func(v *verdict) { v.repeats++ })
			time.Sleep(time.Duration(20+rng.IntN(200)) * time.Millisecond)
		}
		outcome = c.attempt(rng, w, body, key, n == 0)
	}
	c.note(func(v *verdict) { v.told[body] = outcome })
	if outcome == identifier.NotRun {
		time.Sleep(time.Duration(50+rng.IntN(100)) * time.Millisecond)
	}
}

func (c *callers) note(f func(*verdict)) {
	c.v.mu.Lock()
	defer c.v.mu.Unlock()
	f(c.v)
}

// attempt sends a ticket once. The caller gives up waiting at random, and then
// does not know the outcome.
func (c *callers) attempt(rng *rand.Rand, w identifier.Workspace, body, key string, first bool) identifier.Outcome {
	limit := 8 * time.Second
	if rng.IntN(10) == 0 {
		limit = time.Duration(1+rng.IntN(10)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	p := c.f.routers[rng.IntN(len(c.f.routers))]
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+"/v1/requests", strings.NewReader(`{"kind":"ticket","deadline_ms":4000,"payload":`+body+`}`))
	r.Header.Set("Authorization", "Bearer "+starter.WorkspaceToken(w))
	r.Header.Set("Idempotency-Key", key)
	if first {
		r.Header.Set("Idempotency-Attempt", "first")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return identifier.Unknown
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	var a struct {
		Outcome identifier.Outcome `json:"outcome"`
	}
	if err != nil || json.Unmarshal(raw, &a) != nil || a.Outcome == "" {
		return identifier.Unknown
	}
	return a.Outcome
}

// draft streams a model answer and checks it to the byte.
func (c *callers) draft(ctx context.Context, rng *rand.Rand, w identifier.Workspace, prompt string) {
	p := c.f.routers[rng.IntN(len(c.f.routers))]
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+"/v1/requests", strings.NewReader(fmt.Sprintf(`{"kind":"answer","deadline_ms":20000,"prompt":%q}`, prompt)))
	r.Header.Set("Authorization", "Bearer "+starter.WorkspaceToken(w))
	r.Header.Set("Accept", "text/event-stream")
	cmd := p.cmd
	resp, err := c.http.Do(r)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		c.problem(resp.Body)
		return
	}
	done, text := readStream(resp.Body)
	c.note(func(v *verdict) {
		switch {
		case done == "end" && text == whole(prompt):
			v.whole++
		case done == "end":
			v.broken = append(v.broken, prompt)
		case done == "problem":
			v.problems[identifier.Unknown]++
		case p.stopping && p.cmd == cmd && ctx.Err() == nil:
			v.cut = append(v.cut, prompt)
		default:
			v.unmarked++
		}
	})
}

func (c *callers) problem(body io.Reader) {
	var a struct {
		Outcome identifier.Outcome `json:"outcome"`
	}
	_ = json.NewDecoder(body).Decode(&a)
	c.note(func(v *verdict) { v.problems[a.Outcome]++ })
	time.Sleep(50 * time.Millisecond)
}

func whole(prompt string) string {
	var b strings.Builder
	for i := range imitator.Length(prompt, 512) {
		b.WriteString(imitator.Token(prompt, i))
	}
	return b.String()
}

// readStream returns the name of the last event and the text of the tokens.
func readStream(r io.Reader) (last, text string) {
	var b strings.Builder
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		if v, ok := strings.CutPrefix(sc.Text(), "event: "); ok {
			last = v
		}
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok || last != "token" {
			continue
		}
		var t struct {
			Text string `json:"text"`
		}
		if json.Unmarshal([]byte(data), &t) == nil {
			b.WriteString(t.Text)
		}
	}
	return last, b.String()
}
