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
	"syscall"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/exchanger"
	"buckthorndrum/identifier"
)

// call is one attempt to run a request at the target.
type call struct {
	request   identifier.Request
	body      []byte
	maxTokens int
	prefix    identifier.Prefix
	// model and adapter are the weights that a model engine must have loaded.
	model   identifier.Model
	adapter identifier.Adapter
	// resumeFrom is how many tokens of the answer exist already.
	resumeFrom int
	// path and key are the URL path and the idempotency key of a call to a plain service.
	path string
	key  string
}

// targetClient sends calls to a target.
type targetClient interface {
	// run sends call c and passes each token to emit, or the whole body of a plain
	// service. status is that of a plain service, zero for a model. The error wraps
	// errNotRun if the call provably did not run.
	run(ctx context.Context, c call, emit func(token string)) (status int, err error)
	// cancel informs the target that the result of request r is no longer wanted.
	cancel(r identifier.Request)
}

var (
	// errNotRun means that the call provably did not run at the target.
	errNotRun = errors.New("target was not reached")
	// errIncomplete means that the stream ended without its end marker or skipped a
	// token.
	errIncomplete = errors.New("stream ended without its mark")
)

// classifyCallError classifies the error of a call that got no response. Only an error
// before or in opening the connection proves that the call did not run, so only that is
// wrapped in errNotRun.
func classifyCallError(err error) error {
	if errors.Is(err, errNotRun) {
		return err
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	return err
}

// newTargetClient returns the HTTP client for the target, which is on the same machine.
// The transport does not repeat a POST that the target may have received.
func newTargetClient() *http.Client {
	return &http.Client{Transport: exchanger.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout})}
}

const (
	// maxIdleConns is the maximum number of idle connections to the target.
	maxIdleConns = 64
	// idleConnTimeout is how long an idle connection is kept open.
	idleConnTimeout = 30 * time.Second
	// maxAnswerBytes is the maximum size of the answer of a plain service, in bytes. A longer
	// one is not passed on.
	maxAnswerBytes = 4 << 20
)

// serviceClient is the client of a plain service.
type serviceClient struct {
	baseURL string
	client  *http.Client
	// refusesRepeats is whether the service itself runs a key at most once, so that a
	// call whose answer was lost may be sent again.
	refusesRepeats bool
}

// maxSends is the maximum number of times that one call is sent to a service that refuses
// repeats.
const maxSends = 3

// run sends the call. If the service refuses repeats and the call has a key, run sends it
// again after an error, up to maxSends times in all.
func (s *serviceClient) run(ctx context.Context, c call, emit func(string)) (int, error) {
	status, err := s.sendOnce(ctx, c, emit)
	if !s.refusesRepeats || c.key == "" {
		return status, err
	}
	for n := 1; n < maxSends && err != nil && ctx.Err() == nil; n++ {
		mayHaveRun := !errors.Is(err, errNotRun)
		status, err = s.sendOnce(ctx, c, emit)
		if mayHaveRun && errors.Is(err, errNotRun) {
			err = errors.New(err.Error()) // Not errNotRun: an earlier send may have run.
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
	// Without GetBody the transport cannot send the body again.
	r.GetBody = nil
	if c.key != "" {
		r.Header.Set("Idempotency-Key", c.key)
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, classifyCallError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	if len(raw) > maxAnswerBytes {
		return 0, errors.Errorf("answer has more than %d bytes", maxAnswerBytes)
	}
	if endsWithConnection(resp) && refuses(ctx, r.URL.Host) {
		return 0, errors.New("target ended with its answer, which has no length")
	}
	emit(string(raw))
	return resp.StatusCode, nil
}

// endsWithConnection reports whether a response has neither a length nor chunks, so that
// the end of its connection is its end.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed
}

// refuses reports whether an address refuses connections, as that of a process that has
// ended does.
func refuses(ctx context.Context, address string) bool {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}

// cancel does nothing, because a plain service cannot cancel a call.
func (s *serviceClient) cancel(identifier.Request) {}

// engineClient is the client of a model engine.
type engineClient struct {
	baseURL string
	client  *http.Client
}

// completionRequest is the body of a request to generate text; see docs/platform.md.
type completionRequest struct {
	ID        identifier.Request `json:"request_id"`
	Prompt    string             `json:"prompt"`
	MaxTokens int                `json:"max_tokens"`
	Prefix    identifier.Prefix  `json:"prefix,omitempty"`
	From      int                `json:"from,omitempty"`
	Model     identifier.Model   `json:"model,omitempty"`
	Adapter   identifier.Adapter `json:"adapter,omitempty"`
}

// streamEvent is one event of a stream: a token and its index in the answer. A decoded event
// must be checked.
type streamEvent struct {
	Index *int    `json:"index"`
	Text  *string `json:"text"`
}

// check returns an error if the event is not that of a token.
func (e streamEvent) check() error {
	if e.Index == nil || *e.Index < 0 || e.Text == nil {
		return errors.New("engine event has no index or no text")
	}
	return nil
}

// maxResumes is the maximum number of times that one attempt resumes an incomplete
// stream.
const maxResumes = 3

// run starts a generation and reads its stream. It resumes the stream if it is
// incomplete.
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

// stream reads one server-sent event stream. next is the index of the next token. Tokens
// before it are skipped, and a gap is an error.
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
	sc.Split(scanWholeLines)
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

// scanWholeLines is a bufio.SplitFunc like bufio.ScanLines, but leaves out a last line without
// an end, in which a stream has broken off.
func scanWholeLines(data []byte, atEOF bool) (advance int, line []byte, err error) {
	if atEOF && !bytes.Contains(data, []byte("\n")) {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// doneMarker is the data of the last event of a complete stream.
const doneMarker = "[DONE]"

// handleEvent decodes one event and passes its token to onToken if its index is next. It
// ignores a token before next, and returns errIncomplete for one after it.
func handleEvent(data string, next *int, onToken func(string)) error {
	var event streamEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return errors.Wrap(err, "decode engine event")
	}
	if err := event.check(); err != nil {
		return err
	}
	if *event.Index > *next {
		return fmt.Errorf("%w: engine skipped from token %d to %d", errIncomplete, *next, *event.Index)
	}
	if *event.Index == *next {
		onToken(*event.Text)
	}
	return nil
}

// cancelTimeout is the timeout of the call that cancels a generation.
const cancelTimeout = 2 * time.Second

// cancel cancels a generation. Errors are ignored.
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
