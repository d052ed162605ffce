package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Overhead compares requests through a router with calls to the stand-in
// itself, taken in turn in one run.
type Overhead struct {
	Pairs int
	// Request is the ratio of the medians for an answer of one token.
	Request float64
	// Token is the ratio of the medians of the time for each further token.
	Token       float64
	DirectFirst time.Duration
	RouterFirst time.Duration
	DirectToken time.Duration
	RouterToken time.Duration
}

const (
	// overheadPairs is how many pairs are taken.
	overheadPairs = 40
	// overheadTokens is the length of the long answer, in tokens.
	overheadTokens = 100
)

func measureOverhead(ctx context.Context, cfg Config, client *http.Client) (*Overhead, error) {
	var direct, routed [2][]time.Duration
	for i := range overheadPairs {
		for j, n := range []int{1, overheadTokens} {
			prompt := fmt.Sprintf("overhead %d %d tokens=%d", i, time.Now().UnixNano(), n)
			d, err := timeDirect(ctx, cfg, client, prompt, n)
			if err != nil {
				return nil, err
			}
			r, err := timeRouted(ctx, cfg, client, prompt)
			if err != nil {
				return nil, err
			}
			direct[j] = append(direct[j], d)
			routed[j] = append(routed[j], r)
		}
	}
	o := &Overhead{Pairs: overheadPairs, DirectFirst: median(direct[0]), RouterFirst: median(routed[0])}
	o.DirectToken = (median(direct[1]) - o.DirectFirst) / (overheadTokens - 1)
	o.RouterToken = (median(routed[1]) - o.RouterFirst) / (overheadTokens - 1)
	o.Request = float64(o.RouterFirst) / float64(o.DirectFirst)
	o.Token = float64(o.RouterToken) / float64(o.DirectToken)
	return o, nil
}

func (o *Overhead) print(p func(string, ...any)) {
	p("overhead over %d pairs: one-token answer %s direct, %s routed, ratio %.3f", o.Pairs, o.DirectFirst, o.RouterFirst, o.Request)
	p("overhead for each further token: %s direct, %s routed, ratio %.3f", o.DirectToken, o.RouterToken, o.Token)
}

func median(ds []time.Duration) time.Duration {
	sort.Slice(ds, func(i, j int) bool { return ds[i] < ds[j] })
	return ds[len(ds)/2]
}

func timeDirect(ctx context.Context, cfg Config, client *http.Client, prompt string, n int) (time.Duration, error) {
	raw, err := json.Marshal(map[string]any{"request_id": prompt, "prompt": prompt, "max_tokens": n})
	if err != nil {
		return 0, errors.Wrap(err, "encode completion")
	}
	return timeCall(ctx, client, cfg.Engine+"/v1/completions", raw, "", "[DONE]")
}

func timeRouted(ctx context.Context, cfg Config, client *http.Client, prompt string) (time.Duration, error) {
	raw, err := json.Marshal(map[string]any{"kind": "answer", "prompt": prompt})
	if err != nil {
		return 0, errors.Wrap(err, "encode submission")
	}
	return timeCall(ctx, client, cfg.Routers[0]+"/v1/requests", raw, cfg.Token(cfg.Workspaces[0]), "event: end")
}

// timeCall times a streamed call until its mark.
func timeCall(ctx context.Context, client *http.Client, url string, body []byte, token, mark string) (time.Duration, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "prepare call")
	}
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set("Authorization", "Bearer "+token)
	begin := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		return 0, errors.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if strings.Contains(sc.Text(), mark) {
			d := time.Since(begin)
			_, _ = io.Copy(io.Discard, resp.Body)
			return d, nil
		}
	}
	return 0, errors.Errorf("answer of %s has no mark %q", url, mark)
}
