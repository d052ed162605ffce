package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/identifier"
)

// call is one attempt at the target.
type call struct {
	request   identifier.Request
	body      []byte
	maxTokens int
	prefix    identifier.Prefix
	// model and adapter are what a model engine needs to have loaded.
	model   identifier.Model
	adapter identifier.Adapter
	// from is how many tokens of the answer exist already.
	from int
	// path and key are for plain services.
	path string
	key  string
}

// target runs calls. emit takes each token; the status is that of a plain
// service. An error is wrapped in errNotRun if the call provably did not run.
type target interface {
	run(ctx context.Context, c call, emit func(token string)) (status int, err error)
	// cancel tells the target that the request is no longer wanted.
	cancel(r identifier.Request)
}

var (
	// errNotRun means that the target never saw the call.
	errNotRun = errors.New("target was not reached")
	// errBroken means that the stream ended without its mark.
	errBroken = errors.New("stream ended without its mark")
)

// reach classifies an error before any answer: only a connection that was never
// made proves that the call did not run.
func reach(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	return err
}

// newTargetClient returns the HTTP client for the target, which is on the same
// machine. Calls are never repeated by the transport.
func newTargetClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout}}
}

const (
	// maxIdle is how many connections to the target are kept open.
	maxIdle = 64
	// idleTimeout is how long one is kept.
	idleTimeout = 30 * time.Second
	// maxAnswer bounds the answer of a plain service, in bytes.
	maxAnswer = 4 << 20
)

// service is a plain service.
type service struct {
	base string
	http *http.Client
	// refusesRepeats tells that the service itself runs a key at most once, so
	// that a call whose answer was lost may be sent again.
	refusesRepeats bool
}

// maxCalls bounds how often one call is sent to a service that refuses repeats.
const maxCalls = 3

func (s *service) run(ctx context.Context, c call, emit func(string)) (int, error) {
	status, err := s.send(ctx, c, emit)
	if !s.refusesRepeats || c.key == "" {
		return status, err
	}
	for n := 1; n < maxCalls && err != nil && ctx.Err() == nil; n++ {
		lost := !errors.Is(err, errNotRun)
		status, err = s.send(ctx, c, emit)
		if lost && errors.Is(err, errNotRun) {
			err = errors.New(err.Error()) // An earlier call may have run.
		}
	}
	return status, err
}

// send sends a call once.
func (s *service) send(ctx context.Context, c call, emit func(string)) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.base+c.path, bytes.NewReader(c.body))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errNotRun, err)
	}
	r.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport cannot send the body a second time.
	r.GetBody = nil
	if c.key != "" {
		r.Header.Set("Idempotency-Key", c.key)
	}
	resp, err := s.http.Do(r)
	if err != nil {
		return 0, reach(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	emit(string(raw))
	return resp.StatusCode, nil
}

func (s *service) cancel(identifier.Request) {}

// engine is a model engine.
type engine struct {
	base string
	http *http.Client
}

// completion is the request for a generation; see docs/platform.md.
type completion struct {
	ID        identifier.Request `json:"request_id"`
	Prompt    string             `json:"prompt"`
	MaxTokens int                `json:"max_tokens"`
	Prefix    identifier.Prefix  `json:"prefix,omitempty"`
	From      int                `json:"from,omitempty"`
	Model     identifier.Model   `json:"model,omitempty"`
	Adapter   identifier.Adapter `json:"adapter,omitempty"`
}

// chunk is one event of a stream.
type chunk struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// maxResumes bounds how often one attempt resumes a broken stream.
const maxResumes = 3

func (e *engine) run(ctx context.Context, c call, emit func(string)) (int, error) {
	next := c.from
	seen := func(token string) {
		next++
		emit(token)
	}
	raw, err := json.Marshal(completion{c.request, string(c.body), c.maxTokens, c.prefix, c.from, c.model, c.adapter})
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errNotRun, err)
	}
	err = e.stream(ctx, http.MethodPost, "/v1/completions", raw, &next, seen)
	for i := 0; i < maxResumes && errors.Is(err, errBroken) && ctx.Err() == nil; i++ {
		path := fmt.Sprintf("/v1/completions/%s?from=%d", c.request, next)
		err = e.stream(ctx, http.MethodGet, path, nil, &next, seen)
	}
	return 0, err
}

// stream reads one server-sent event stream. Tokens that are already known are
// skipped, and a gap is an error.
func (e *engine) stream(ctx context.Context, method, path string, raw []byte, next *int, seen func(string)) error {
	r, err := http.NewRequestWithContext(ctx, method, e.base+path, bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	resp, err := e.http.Do(r)
	if err != nil {
		return reach(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusConflict && method == http.MethodPost {
		return fmt.Errorf("%w: engine has other weights loaded", errNotRun)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("engine answered with status %d", resp.StatusCode)
	}
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == doneMark {
			return nil
		}
		if err := take(data, next, seen); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w after token %d: %w", errBroken, *next, errors.WithMessage(sc.Err(), "read stream"))
}

// doneMark ends a whole stream.
const doneMark = "[DONE]"

func take(data string, next *int, seen func(string)) error {
	var ch chunk
	if err := json.Unmarshal([]byte(data), &ch); err != nil {
		return errors.Wrap(err, "decode engine event")
	}
	if ch.Index > *next {
		return fmt.Errorf("%w: engine skipped from token %d to %d", errBroken, *next, ch.Index)
	}
	if ch.Index == *next {
		seen(ch.Text)
	}
	return nil
}

// cancelTimeout bounds the call that cancels a stream.
const cancelTimeout = 2 * time.Second

func (e *engine) cancel(r identifier.Request) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, e.base+"/v1/completions/"+string(r), nil)
	if err != nil {
		return
	}
	if resp, err := e.http.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
