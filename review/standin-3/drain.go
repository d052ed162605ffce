package main

import (
	"fmt"
	"time"
)

const (
	// drainBound is bounds.drain_ms of the settings.
	drainBound = 2000 * time.Millisecond
	// cutBefore is how long before a server's entry is removed the waiting watches are cut.
	cutBefore = 300 * time.Millisecond
	// servesOn is how long a server serves on after its entry was removed, before it exits:
	// drain_ms and a little longer.
	servesOn = drainBound + 200*time.Millisecond
	// between is the time from the exit of a server to the next round.
	between = 3500 * time.Millisecond
	rounds  = 6
	// settle is how long the routers run before the traffic begins.
	settle = 4 * time.Second
	// payoutWork is how long a server works on a payout.
	payoutWork = 60 * time.Millisecond
)

// playDrain has servers leave without a word: the entry of one is removed, and it serves on for
// drain_ms and a little longer, and exits. Shortly before, the store cuts the watches that wait. It
// checks DRAIN: no request reaches a server later than drain_ms after the store has acknowledged
// that it is gone.
func playDrain(rec *record, dir string, trouble bool) int {
	st, err := startStore(rec)
	if err != nil {
		return fail(err)
	}
	const service = "ledger"
	var servers []*server
	for i := range rounds + 3 {
		s, err := startServer(rec, fmt.Sprintf("i-%04d", i+1), service, 50, payoutWork)
		if err != nil {
			return fail(err)
		}
		st.set("servers/"+s.id, s.entry("ready", 1))
		servers = append(servers, s)
	}
	st.set("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "payout-record", "host": "desk.example", "prefix": "/payout/", "kind": "non_idempotent", "timeout_ms": 1000,
			"target_latency_ms": 100, "priority": 2, "service": service, "attempts": 1, "public": false}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 220, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 410000},
		"tenants":  []any{map[string]any{"name": "tenant-1", "api_keys": []string{"key-1"}, "priority": 1}},
	})
	routers, err := startRouters(dir, 3, st.address)
	if err != nil {
		return fail(err)
	}
	time.Sleep(settle)
	c := &clients{routers: routers, host: "desk.example", key: "key-1", record: rec, stop: make(chan struct{})}
	c.run(30, 100*time.Millisecond, "POST", "/payout/1")
	time.Sleep(3 * time.Second)
	acks := map[*server]time.Time{}
	for _, s := range servers[:rounds] {
		if trouble {
			rec.printf("store: %d watches wait and are cut", st.cutWatches())
		}
		time.Sleep(cutBefore)
		acks[s] = st.remove("servers/" + s.id)
		rec.at(acks[s], "store: the entry of server %s is removed; acknowledged", s.id)
		time.Sleep(servesOn)
		s.exit()
		time.Sleep(between)
	}
	close(c.stop)
	c.wg.Wait()
	late := 0
	for _, s := range servers[:rounds] {
		s.mu.Lock()
		for _, a := range s.arrivals {
			if d := a.at.Sub(acks[s]); d > drainBound {
				late++
				rec.at(a.at, "DRAIN: request %s reaches server %s %d ms after the ack", a.id, s.id, d.Milliseconds())
			}
		}
		s.mu.Unlock()
	}
	summary := fmt.Sprintf("%d payouts sent, %d served, %d with an unknown outcome; %d reached a server more than %s after the ack that it is gone", c.sent.Load(), c.served.Load(), c.unknown.Load(), late, drainBound)
	rec.printf("%s", summary)
	fmt.Println(summary)
	switch {
	case late > 0:
		return broken
	case c.served.Load() < c.sent.Load()*9/10:
		return fail(fmt.Errorf("fewer than nine in ten requests were served"))
	}
	return held
}

// fail says why a case could not run.
func fail(err error) int {
	fmt.Println("could not run:", err)
	return cannot
}
