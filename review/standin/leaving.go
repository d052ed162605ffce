package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	leavingServers = 4
	leavingCallers = 240
	// unframedEach is that one of so many streams of half of the servers has neither a
	// length nor chunks: x = 0.05, share = 0.5.
	unframedEach = "20"
	// leavingEvents is the number of events of each stream, one each 0.1 s.
	leavingEvents = 60
	// spotNotice is the time from the notice that a server leaves until it is gone.
	spotNotice = 2 * time.Second
)

// playLeaving takes a server away at short notice: its entry says that it is draining, and
// its process ends spotNotice later, while it still answers. Half of the servers send one of
// twenty streams with neither a length nor chunks; the one that leaves is of these. Without
// the trouble all streams have chunks, and the server ends once its streams have ended.
func playLeaving(d *deployment, trouble bool) ([]string, error) {
	var garbling []*process
	for n := 1; n <= leavingServers; n++ {
		var args []string
		if trouble && n%2 == 0 {
			args = []string{"-unframed-each", unframedEach}
		}
		p, err := d.startServer(fmt.Sprintf("i-%d", n), "desk", args...)
		if err != nil {
			return nil, err
		}
		if n%2 == 0 {
			garbling = append(garbling, p)
		}
	}
	d.setConfig(draftRoute)
	r, err := d.startRouter("front-a-1", d.store.address())
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	results := make([]result, leavingCallers)
	var wg sync.WaitGroup
	for n := range results {
		c, err := d.dial(fmt.Sprintf("caller-%d", n+1), r.front)
		if err != nil {
			return nil, err
		}
		c.part = n + 1
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			results[n] = c.post("/draft/a", leavingEvents, 12*time.Second)
		}()
	}
	time.Sleep(time.Second)
	leaving := d.busiest(garbling)
	d.setState(leaving, "desk", "draining")
	if trouble {
		time.Sleep(spotNotice)
		leaving.kill()
		d.rec.logf(leaving.name, "is gone, %s after its notice", spotNotice)
	}
	wg.Wait()
	leaving.kill()
	return checkStreams(d, results), nil
}

// busiest returns the server that has run most requests.
func (d *deployment) busiest(list []*process) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := map[string]int{}
	for _, servers := range d.runs {
		for _, id := range servers {
			count[id]++
		}
	}
	best := list[0]
	for _, p := range list {
		if count[p.name] > count[best.name] {
			best = p
		}
	}
	return best
}

// checkStreams returns the streams that look complete and lack their end.
func checkStreams(d *deployment, results []result) []string {
	var breaks []string
	for _, res := range results {
		if res.status == 200 && res.whole() && !strings.Contains(res.body, "(last)") {
			breaks = append(breaks, fmt.Sprintf("MIXED, ORDER: %s was answered 200 by %v with an answer that looks complete and ends with %q", res.id, d.runsOf(res.id), lastEvent(res.body)))
		}
	}
	return breaks
}
