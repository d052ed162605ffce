package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	sigtermCallers = 12
	// firstEvents and secondEvents are the numbers of events of the two streams of each
	// caller, one each 0.1 s.
	firstEvents, secondEvents = 50, 50
	// grace is the router's grace_s.
	grace = 8 * time.Second
)

// playSigterm stops a router. Each caller has a stream under way then, and sends its next
// request on the same connection when the stream has ended, as the answer allows.
func playSigterm(d *deployment, trouble bool) ([]string, error) {
	for n := 1; n <= 4; n++ {
		if _, err := d.startServer(fmt.Sprintf("i-%d", n), "desk"); err != nil {
			return nil, err
		}
	}
	d.setConfig(draftRoute)
	r, err := d.startRouter("front-a-1", d.store.address())
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var second []result
	var wg sync.WaitGroup
	for n := 1; n <= sigtermCallers; n++ {
		c, err := d.dial(fmt.Sprintf("caller-%d", n), r.front)
		if err != nil {
			return nil, err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			if first := c.post("/draft/a", firstEvents, 15*time.Second); !first.keepsOpen() {
				return
			}
			res := c.post("/draft/b", secondEvents, 15*time.Second)
			mu.Lock()
			defer mu.Unlock()
			second = append(second, res)
		}()
	}
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		r.signal(syscall.SIGTERM)
		d.rec.logf(r.name, "gets SIGTERM")
	}
	wg.Wait()
	return checkLost(d, second, stopped), nil
}

// checkLost returns the requests that were run and ended without a complete answer within
// the time that the rule LOST names, and that its excuses do not cover: none was sent later
// than the grace period, and none within 3 s of the SIGTERM.
func checkLost(d *deployment, results []result, stopped time.Time) []string {
	var breaks []string
	for _, res := range results {
		sent, ended := res.sentAt.Sub(stopped), res.endAt.Sub(stopped)
		if res.whole() || len(d.runsOf(res.id)) == 0 || ended > grace+time.Second || sent <= 3*time.Second {
			continue
		}
		breaks = append(breaks, fmt.Sprintf("LOST: %s was sent %.2f s after the SIGTERM on a kept connection, was run by %v, and its connection ended %.2f s after the SIGTERM without a complete answer", res.id, sent.Seconds(), d.runsOf(res.id), ended.Seconds()))
	}
	return breaks
}
