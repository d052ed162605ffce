package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	engines       = 9
	denyTenants   = 4
	denyClients   = 48
	denyPause     = 800 * time.Millisecond
	crashAfter    = time.Second
	downFor       = 4500 * time.Millisecond
	entryLifetime = 3600 * time.Millisecond
	denyLength    = 25 * time.Second
	// systemPrompt is the part of all prompts, in the first place.
	systemPrompt = "5c1e07a2:512"
	streamLimit  = 12 * time.Second
)

// denyCounts counts the tries by their status, 0 for none.
type denyCounts struct {
	mu    sync.Mutex
	tries map[int]int
	// late counts those that were sent a second or more after the engines were back.
	late map[int]int
	back time.Time
}

func (c *denyCounts) add(sent time.Time, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries[status]++
	if !c.back.IsZero() && sent.After(c.back.Add(time.Second)) {
		c.late[status]++
	}
}

// playDeny has all engines crash at once, one second after the traffic began, and start again 4.5 s
// later. It checks DENIED: no more than 5 + one in 500 of all requests are ended with a 4xx of the
// routers' own, though they are proper.
func playDeny(rec *record, dir string, trouble bool) int {
	st, err := startStore(rec)
	if err != nil {
		return fail(err)
	}
	const service = "models"
	running, err := startEngines(rec, st, service, 0)
	if err != nil {
		return fail(err)
	}
	var tenants []any
	for i := range denyTenants {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "api_keys": []string{fmt.Sprintf("key-%d", i)}, "priority": 1})
	}
	st.set("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "grower-query", "host": "desk.example", "prefix": "/query/", "kind": "streaming", "timeout_ms": streamLimit.Milliseconds(),
			"target_latency_ms": 400, "gap_aim_ms": 400, "priority": 1, "service": service, "attempts": 2, "public": false, "sticky": true, "resumable": true}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 1240, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": engineSlots, "kv_capacity": 635000, "stride": 6, "models": []any{map[string]any{"name": "m"}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 410000},
		"tenants": tenants,
	})
	routers, err := startRouters(dir, 3, st.address)
	if err != nil {
		return fail(err)
	}
	counts := &denyCounts{tries: map[int]int{}, late: map[int]int{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range denyClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			consume(rec, counts, routers[i%len(routers)], i, stop)
		}()
	}
	started := time.Now()
	if trouble {
		time.Sleep(crashAfter)
		for _, e := range running {
			e.crash()
		}
		time.Sleep(entryLifetime)
		for _, e := range running {
			st.remove("servers/" + e.id)
		}
		time.Sleep(downFor - entryLifetime)
		if _, err := startEngines(rec, st, service, engines); err != nil {
			return fail(err)
		}
		rec.printf("engines: %d are back", engines)
	}
	counts.mu.Lock()
	counts.back = time.Now()
	counts.mu.Unlock()
	time.Sleep(denyLength - time.Since(started))
	close(stop)
	wg.Wait()
	total := 0
	for _, n := range counts.tries {
		total += n
	}
	denied, bound := counts.tries[http.StatusBadRequest]+counts.tries[http.StatusUnauthorized]+counts.tries[http.StatusNotFound], 5+total/500
	summary := fmt.Sprintf("%d tries by status %v; from 1 s after the engines were back %v; %d proper requests ended with a 4xx, %d allowed", total, counts.tries, counts.late, denied, bound)
	rec.printf("%s", summary)
	fmt.Println(summary)
	switch {
	case denied > bound:
		return broken
	case counts.tries[http.StatusOK] == 0:
		return fail(fmt.Errorf("nothing was served"))
	}
	return held
}

// startEngines starts engines and registers them in the store. first is the number of the first.
func startEngines(rec *record, st *store, service string, first int) ([]*engine, error) {
	var list []*engine
	for i := range engines {
		e, err := startEngine(rec, fmt.Sprintf("i-%04d", first+i+1), service)
		if err != nil {
			return nil, err
		}
		st.set("servers/"+e.id, e.entry())
		list = append(list, e)
	}
	return list, nil
}

// consume sends one request after the other until stop is closed. A request that is refused as not
// run comes back once, when the router says so.
func consume(rec *record, counts *denyCounts, rt *router, number int, stop <-chan struct{}) {
	h := &http.Client{Timeout: streamLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for session := 0; ; session++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.Int64N(int64(denyPause)))):
		}
		part := number + 1
		again := sendStream(rec, counts, h, rt, number, part, session)
		if again > 0 && again < streamLimit/3 {
			time.Sleep(again)
			sendStream(rec, counts, h, rt, number, part, session)
		}
	}
}

// sendStream sends one request and returns when it is to come back, zero if it isn't.
func sendStream(rec *record, counts *denyCounts, h *http.Client, rt *router, number, part, session int) time.Duration {
	id := fmt.Sprintf("%016x", rand.Uint64())
	r, err := http.NewRequest(http.MethodPost, "http://"+rt.front+"/query/1", nil)
	if err != nil {
		return 0
	}
	r.Host = "desk.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Usage", "900,240")
	r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%s,%x:238,%x:150", systemPrompt, 0x91bd3000+part%12, 0xe4400000+part*1000+session))
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(streamLimit.Milliseconds(), 10))
	r.Header.Set("Authorization", fmt.Sprintf("Bearer key-%d", number%denyTenants))
	sent := time.Now()
	rec.printf("consumer %d: request %s sent to %s", number, id, rt.name)
	resp, err := h.Do(r)
	if err != nil {
		counts.add(sent, 0)
		rec.printf("consumer %d: request %s: %v", number, id, err)
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	counts.add(sent, resp.StatusCode)
	text := ""
	if resp.StatusCode != http.StatusOK {
		text = string(body)
	}
	rec.printf("consumer %d: request %s answered %d, %d bytes, whole %v, seal %q %q", number, id, resp.StatusCode, len(body), err == nil, resp.Header.Get("X-Response-Seal"), text)
	if resp.StatusCode == http.StatusServiceUnavailable {
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return time.Duration(s * float64(time.Second))
	}
	return 0
}
