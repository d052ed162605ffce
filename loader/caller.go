package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"buckthorndrum/identifier"
	"buckthorndrum/imitator"
)

// caller sends requests of one workspace, one after the other.
type caller struct {
	cfg       Config
	http      *http.Client
	workspace identifier.Workspace
	rng       *rand.Rand
	report    *Report
	serial    int
}

func (c *caller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		s := c.cfg.Profile.pick(c.rng)
		res := c.send(ctx, s)
		if ctx.Err() != nil && res.err != nil {
			return // The run ended in the middle of this request.
		}
		c.report.add(s, res)
		if res.retryAfter > 0 {
			c.pause(ctx, res.retryAfter)
		}
	}
}

// pause waits as a refusal asked for, spread over twice that time.
func (c *caller) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d + time.Duration(c.rng.Int64N(int64(d)))):
	}
}

// result is what a caller saw of one request.
type result struct {
	outcome    identifier.Outcome
	reason     string
	whole      bool
	err        error
	first      time.Duration
	total      time.Duration
	gaps       []time.Duration
	tokens     int
	retryAfter time.Duration
	key        string
}

func (c *caller) send(ctx context.Context, s Sort) result {
	c.serial++
	body, prompt, want := c.compose(s)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.router()+"/v1/requests", bytes.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+c.cfg.Token(c.workspace))
	r.Header.Set("Accept", "text/event-stream")
	res := result{}
	if s.Keyed {
		res.key = uuid.Must(uuid.NewV7()).String()
		r.Header.Set("Idempotency-Key", res.key)
		r.Header.Set("Idempotency-Attempt", "first")
	}
	begin := time.Now()
	resp, err := c.http.Do(r)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		res.refused(resp)
		return res
	}
	res.read(resp, begin, s, prompt, want)
	return res
}

func (c *caller) router() string { return c.cfg.Routers[c.rng.IntN(len(c.cfg.Routers))] }

// compose returns a body, its prompt, and how many tokens the answer has.
func (c *caller) compose(s Sort) (body []byte, prompt string, want int) {
	if s.MaxTokens == 0 {
		return fmt.Appendf(nil, `{"kind":%q,"payload":{"serial":%d}}`, s.Kind, c.serial), "", 1
	}
	want = s.MinTokens + c.rng.IntN(s.MaxTokens-s.MinTokens+1)
	prompt = fmt.Sprintf("%s request %d tokens=%d", c.workspace, c.serial, want)
	return fmt.Appendf(nil, `{"kind":%q,"prompt":%q,"cost_hint":%d,"prefix":"dossier-%d"}`, s.Kind, prompt, want, c.serial%8), prompt, want
}

// problem is what a caller reads of an error.
type problem struct {
	Outcome      identifier.Outcome `json:"outcome"`
	Reason       string             `json:"reason"`
	Detail       string             `json:"detail"`
	RetryAfterMS int64              `json:"retry_after_ms"`
}

func (res *result) refused(resp *http.Response) {
	var p problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		res.err = errors.Wrapf(err, "decode problem of status %d", resp.StatusCode)
		return
	}
	res.outcome = p.Outcome
	res.reason = p.Reason
	res.retryAfter = time.Duration(p.RetryAfterMS) * time.Millisecond
}

// read follows an event stream and checks it token by token.
func (res *result) read(resp *http.Response, begin time.Time, s Sort, prompt string, want int) {
	last := begin
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(nil, maxLine)
	event := ""
	for sc.Scan() {
		if v, ok := strings.CutPrefix(sc.Text(), "event: "); ok {
			event = v
			continue
		}
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		switch event {
		case "token":
			at := time.Now()
			if !res.token(data, s, prompt) {
				return
			}
			if res.tokens == 1 {
				res.first = at.Sub(begin)
			} else {
				res.gaps = append(res.gaps, at.Sub(last))
			}
			last = at
		case "end":
			res.outcome = identifier.Done
			res.whole = res.tokens == want
			res.total = time.Since(begin)
			return
		case "problem":
			var p problem
			_ = json.Unmarshal([]byte(data), &p)
			res.outcome, res.reason = p.Outcome, p.Reason
			return
		}
	}
	res.err = errors.Errorf("stream ended without its mark after %d tokens", res.tokens)
}

// maxLine bounds one line of a stream, in bytes.
const maxLine = 1 << 20

// token checks one token and reports whether it is the next one.
func (res *result) token(data string, s Sort, prompt string) bool {
	var t struct {
		Index int    `json:"index"`
		Text  string `json:"text"`
	}
	err := json.Unmarshal([]byte(data), &t)
	if err != nil || t.Index != res.tokens || (s.MaxTokens > 0 && t.Text != imitator.Token(prompt, t.Index)) {
		res.err = errors.Errorf("token %d is %q", res.tokens, data)
		res.outcome = identifier.Done
		return false
	}
	res.tokens++
	return true
}
