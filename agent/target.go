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
	// resumeFrom is how many tokens of the answer exist already.
	resumeFrom int
	// path and key are for plain services.
	path string
	key  string
}

// targetClient runs calls. emit takes each token; the status is that of a plain
// service. An error is wrapped in errNotRun if the call provably did not run.
type targetClient interface {
	run(ctx context.Context, c call, emit func(token string)) (status int, err error)
	// cancel tells the target that the request is no longer wanted.
	cancel(r identifier.Request)
}

var (
	// errNotRun means that the target never saw the call.
	errNotRun = errors.New("target was not reached")
	// errIncomplete means that the stream ended without its mark.
	errIncomplete = errors.New("stream ended without its mark")
)

// classifyCallError classifies an error before any answer: only a connection that was never
// made proves that the call did not run.
func classifyCallError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	return err
}

// newTargetClient returns the HTTP client for the target, which is on the same
// machine. Calls are never repeated by the transport.
func newTargetClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout}}
}

const (
	// maxIdleConns is how many connections to the target are kept open.
	maxIdleConns = 64
	// idleConnTimeout is how long one is kept.
	idleConnTimeout = 30 * time.Second
	// maxAnswerBytes bounds the answer of a plain service, in bytes.
	maxAnswerBytes = 4 << 20
)

// serviceClient is a plain serviceClient.
type serviceClient struct {
	baseURL string
	client  *http.Client
	// refusesRepeats tells that the service itself runs a key at most once, so
	// that a call whose answer was lost may be sent again.
	refusesRepeats bool
}

// maxSends bounds how often one call is sent to a service that refuses repeats.
const maxSends = 3

func (s *serviceClient) run(ctx context.Context, c call, emit func(string)) (int, error) {
	status, err := s.sendOnce(ctx, c, emit)
	if !s.refusesRepeats || c.key == "" {
		return status, err
	}
	for n := 1; n < maxSends && err != nil && ctx.Err() == nil; n++ {
		mayHaveRun := !errors.Is(err, errNotRun)
		status, err = s.sendOnce(ctx, c, emit)
		if mayHaveRun && errors.Is(err, errNotRun) {
			err = errors.New(err.Error()) // An earlier call may have run.
		}
	}
	return status, err
}

// sendOnce sends a call once.
func (s *serviceClient) sendOnce(ctx context.Context, c call, emit func(string)) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.baseURL+c.path, bytes.NewReader(c.body))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errNotRun, err)
	}
	r.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport cannot send the body a second time.
	r.GetBody = nil
	if c.key != "" {
		r.Header.Set("Idempotency-Key", c.key)
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, classifyCallError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	emit(string(raw))
	return resp.StatusCode, nil
}

func (s *serviceClient) cancel(identifier.Request) {}

// engineClient is a model engineClient.
type engineClient struct {
	baseURL string
	client  *http.Client
}

// completionRequest is the request for a generation; see docs/platform.md.
type completionRequest struct {
	ID        identifier.Request `json:"request_id"`
	Prompt    string             `json:"prompt"`
	MaxTokens int                `json:"max_tokens"`
	Prefix    identifier.Prefix  `json:"prefix,omitempty"`
	From      int                `json:"from,omitempty"`
	Model     identifier.Model   `json:"model,omitempty"`
	Adapter   identifier.Adapter `json:"adapter,omitempty"`
}

// streamEvent is one event of a stream.
type streamEvent struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// maxResumes bounds how often one attempt resumes a broken stream.
const maxResumes = 3

func (e *engineClient) run(ctx context.Context, c call, emit func(string)) (int, error) {
	next := c.resumeFrom
	onToken := func(token string) {
		next++
		emit(token)
	}
	raw, err := json.Marshal(completionRequest{c.request, string(c.body), c.maxTokens, c.prefix, c.resumeFrom, c.model, c.adapter})
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errNotRun, err)
	}
	err = e.stream(ctx, http.MethodPost, "/v1/completions", raw, &next, onToken)
	for i := 0; i < maxResumes && errors.Is(err, errIncomplete) && ctx.Err() == nil; i++ {
		path := fmt.Sprintf("/v1/completions/%s?from=%d", c.request, next)
		err = e.stream(ctx, http.MethodGet, path, nil, &next, onToken)
	}
	return 0, err
}

// stream reads one server-sent event stream. Tokens that are already known are
// skipped, and a gap is an error.
func (e *engineClient) stream(ctx context.Context, method, path string, raw []byte, next *int, onToken func(string)) error {
	r, err := http.NewRequestWithContext(ctx, method, e.baseURL+path, bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	resp, err := e.client.Do(r)
	if err != nil {
		return classifyCallError(err)
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
		if data == doneMarker {
			return nil
		}
		if err := handleEvent(data, next, onToken); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w after token %d: %w", errIncomplete, *next, errors.WithMessage(sc.Err(), "read stream"))
}

// doneMarker ends a whole stream.
const doneMarker = "[DONE]"

func handleEvent(data string, next *int, onToken func(string)) error {
	var event streamEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return errors.Wrap(err, "decode engine event")
	}
	if event.Index > *next {
		return fmt.Errorf("%w: engine skipped from token %d to %d", errIncomplete, *next, event.Index)
	}
	if event.Index == *next {
		onToken(event.Text)
	}
	return nil
}

// cancelTimeout bounds the call that cancels a stream.
const cancelTimeout = 2 * time.Second

func (e *engineClient) cancel(r identifier.Request) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, e.baseURL+"/v1/completions/"+string(r), nil)
	if err != nil {
		return
	}
	if resp, err := e.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
