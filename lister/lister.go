// Package lister reads the platform's list of live and leaving instances.
//
// The list lags. It is a hint for drains and dead peers, and never a reason to
// count a request as run or not run.
package lister

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"buckthorndrum/exchanger"
)

// State is what the platform says of an instance.
type State string

// The states of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role is what an instance runs.
type Role string

// The roles.
const (
	Router Role = "router"
	Agent  Role = "agent"
)

// Instance is one entry of the list.
type Instance struct {
	Role Role `json:"role"`
	// Name is the router's or target's name.
	Name    string `json:"name"`
	Address string `json:"address"`
	State   State  `json:"state"`
}

// Client reads the list over HTTP with JSON.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the list at base URL address.
func New(address string, timeout time.Duration) *Client {
	return &Client{url: address + "/v1/instances", http: exchanger.NewClient(timeout)}
}

// maxList bounds the list, in bytes.
const maxList = 4 << 20

// List returns the instances as the platform sees them.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("list instances: status %d from %s", resp.StatusCode, c.url)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	var is []Instance
	if err := json.Unmarshal(raw, &is); err != nil {
		return nil, errors.Wrap(err, "decode instance list")
	}
	if is == nil {
		return nil, errors.New("answer is no instance list")
	}
	return is, nil
}
