package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	leavingServers = 4
	leavingCallers = 12
	// leavingEvents is the number of events of each stream, one each 0.1 s.
	leavingEvents = 60
	// spotNotice is the time from the notice that a server leaves until it is gone.
	spotNotice = 2 * time.Second
)

// playLeaving takes a server away at short notice: its entry says that it is draining, and
// its process ends spotNotice later, while it still answers. Its streams have neither a
// length nor chunks. Without the trouble the server ends once its streams have ended.
func playLeaving(d *deployment, trouble bool) ([]string, error) {
	servers := make([]*process, leavingServers)
	for n := range servers {
		p, err := d.startServer(fmt.Sprintf("i-%d", n+1), "desk", "-unframed")
		if err != nil {
			return nil, err
		}
		servers[n] = p
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
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			results[n] = c.post("/draft/a", leavingEvents, 12*time.Second)
		}()
	}
	time.Sleep(time.Second)
	leaving := d.busiest(servers)
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
