package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"buckthorndrum/exchanger"
)

// client calls a router.
type client struct {
	url   string
	token string
	http  *http.Client
}

func newClient(url, token string) *client {
	return &client{strings.TrimSuffix(url, "/"), token, exchanger.NewClient(0)}
}

// do makes a call and returns the response if its status is below 300.
func (c *client) do(ctx context.Context, method, path string, body []byte, header map[string]string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	return nil, errors.Errorf("%s %s: status %d: %s", method, path, resp.StatusCode, strings.TrimSpace(string(raw)))
}

// copy submits a request and copies its answer to out as it comes.
func (c *client) copy(ctx context.Context, body, key string, out io.Writer) error {
	h := map[string]string{}
	if key != "" {
		h["Idempotency-Key"] = key
	} else {
		h["Accept"] = "text/event-stream"
	}
	resp, err := c.do(ctx, http.MethodPost, "/v1/requests", []byte(body), h)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(out, resp.Body)
	return errors.Wrap(err, "read answer")
}

// mint reserves a key.
func (c *client) mint(ctx context.Context, kind string) (string, error) {
	resp, err := c.do(ctx, http.MethodPost, "/v1/keys", []byte(`{"kind":"`+kind+`"}`), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var v struct {
		Key string `json:"key"`
	}
	err = json.NewDecoder(resp.Body).Decode(&v)
	return v.Key, errors.Wrap(err, "decode key")
}
