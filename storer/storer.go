package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/exchanger"
)

// Version orders the writes of one key. Zero stands for an absent key.
type Version uint64

// Entry is a value with its version.
type Entry struct {
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
}

// The classes of failure. Test for them with errors.Is.
var (
	// ErrAbsent means that the key does not exist.
	ErrAbsent = errors.New("key does not exist")
	// ErrConflict means that the key was not at the expected version.
	ErrConflict = errors.New("key is at another version")
	// ErrRefused means that the service did not take the call; it had no effect.
	ErrRefused = errors.New("key-value service refused the call")
	// ErrLost means that no answer came; a write may have taken effect.
	ErrLost = errors.New("answer of the key-value service was lost")
)

// Client calls the service over HTTP with JSON.
type Client struct {
	base string
	http *http.Client
}

// Config sets up a client.
type Config struct {
	// Address is the service's base URL.
	Address string
	// Timeout bounds one call that is no watch.
	Timeout time.Duration
}

// New returns a client.
func New(cfg Config) *Client {
	return &Client{base: cfg.Address, http: exchanger.NewClient(cfg.Timeout)}
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	return c.call(ctx, http.MethodGet, key, nil, nil)
}

// Swap writes a key if it is at version v, zero for create-if-absent. A ttl
// above zero removes the key after that time. It returns the entry as written,
// or on ErrConflict the entry that stands.
func (c *Client) Swap(ctx context.Context, key string, value []byte, v Version, ttl time.Duration) (Entry, error) {
	q := url.Values{"version": {strconv.FormatUint(uint64(v), 10)}}
	if ttl > 0 {
		q.Set("ttl_ms", strconv.FormatInt(ttl.Milliseconds(), 10))
	}
	e, err := c.call(ctx, http.MethodPut, key, q, value)
	switch {
	case err == nil && !bytes.Equal(e.Value, value):
		return Entry{}, fmt.Errorf("%s %q: answer has another value than the one written: %w", http.MethodPut, key, ErrLost)
	case errors.Is(err, ErrConflict) && e.Version == v:
		return Entry{}, fmt.Errorf("%s %q: answer has a conflict at the expected version %d: %w", http.MethodPut, key, v, ErrLost)
	}
	return e, err
}

// Watch waits until the key is past version v, for at most wait, and returns
// the entry that stands then.
func (c *Client) Watch(ctx context.Context, key string, v Version, wait time.Duration) (Entry, error) {
	q := url.Values{
		"after":   {strconv.FormatUint(uint64(v), 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.call(ctx, http.MethodGet, key, q, nil)
}

func (c *Client) call(ctx context.Context, method, key string, q url.Values, value []byte) (Entry, error) {
	u := c.base + "/v1/kv/" + url.PathEscape(key)
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(value))
	if err != nil {
		return Entry{}, errors.Wrapf(err, "%s %q", method, key)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return Entry{}, fmt.Errorf("%s %q: %w: %w", method, key, failure(err), err)
	}
	defer func() { _ = resp.Body.Close() }()
	return read(method, key, resp)
}

// failure classifies an error before any answer: only a connection that was
// never made proves that the call had no effect.
func failure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrRefused
	}
	return ErrLost
}

// maxReply bounds one answer, in bytes; values hold up to a megabyte.
const maxReply = 4 << 20

func read(method, key string, resp *http.Response) (Entry, error) {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return Entry{}, fmt.Errorf("%s %q: %w: %w", method, key, ErrLost, err)
	}
	var e Entry
	switch resp.StatusCode {
	case http.StatusOK, http.StatusPreconditionFailed:
		if err := json.Unmarshal(raw, &e); err != nil {
			return Entry{}, fmt.Errorf("%s %q: %w: %w", method, key, ErrLost, err)
		}
		if resp.StatusCode == http.StatusPreconditionFailed {
			return e, fmt.Errorf("%s %q: %w", method, key, ErrConflict)
		}
		if e.Version == 0 {
			return Entry{}, fmt.Errorf("%s %q: answer has no entry: %w", method, key, ErrLost)
		}
		return e, nil
	case http.StatusNotFound:
		return Entry{}, fmt.Errorf("%s %q: %w", method, key, ErrAbsent)
	}
	return Entry{}, fmt.Errorf("%s %q: status %d: %w", method, key, resp.StatusCode, ErrRefused)
}
