package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	spoiledServers = 4
	spoiledCallers = 80
	// spoiledStreams is how many streams each caller reads, one after the other, and
	// spoiledEvents how many events each has, two each 0.2 s.
	spoiledStreams = 10
	spoiledEvents  = 30
	spoiledBurst   = 2
	// spoilEach is that one of so many streams of a server is spoiled: x = 0.02.
	spoilEach = "50"
)

// playSpoiled has half of the servers spoil one in fifty of their streams: one event has a
// wrong id. Another server can go on with the stream.
func playSpoiled(d *deployment, trouble bool) ([]string, error) {
	for n := 1; n <= spoiledServers; n++ {
		args := []string{"-burst", fmt.Sprint(spoiledBurst)}
		if trouble && n%2 == 0 {
			args = append(args, "-spoil-each", spoilEach)
		}
		if _, err := d.startServer(fmt.Sprintf("i-%d", n), "desk", args...); err != nil {
			return nil, err
		}
	}
	d.setConfig(resumableRoute)
	r, err := d.startRouter("front-a-1", d.store.address())
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var breaks []string
	var wg sync.WaitGroup
	for n := 1; n <= spoiledCallers; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 25 * time.Millisecond)
			for range spoiledStreams {
				c, err := d.dial(fmt.Sprintf("caller-%d", n), r.front)
				if err != nil {
					return
				}
				c.part = n
				res := c.post("/draft/a", spoiledEvents, 12*time.Second)
				c.close()
				mu.Lock()
				breaks = append(breaks, checkOrder(d, res)...)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return breaks, nil
}

// checkOrder returns what breaks the rule ORDER in a stream that looks complete: it lacks an
// event, or has one twice.
func checkOrder(d *deployment, res result) []string {
	if res.status != 200 || !res.whole() {
		return nil
	}
	var breaks []string
	for n := 1; n <= spoiledEvents; n++ {
		text := fmt.Sprintf("data: event %d of %d for ", n, spoiledEvents)
		if count := strings.Count(res.body, text); count != 1 {
			breaks = append(breaks, fmt.Sprintf("ORDER: %s was run by %v and looks complete, but has event %d %d times", res.id, d.runsOf(res.id), n, count))
		}
	}
	return breaks
}
