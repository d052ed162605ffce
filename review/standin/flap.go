package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	flapServers = 7
	flapCallers = 300
	// flapEvents is the number of events of each stream, one each 0.1 s.
	flapEvents = 50
	// flapArrival is the time over which the callers begin, one after the other.
	flapArrival = 10 * time.Second
	// flapAt is when the server begins to go down and up, flapFor for how long it does, and
	// flapPeriod how long it takes to go down and up once.
	flapAt     = 6 * time.Second
	flapFor    = 6500 * time.Millisecond
	flapPeriod = 1400 * time.Millisecond
	// flapEnd is when callers stop.
	flapEnd = 50 * time.Second
	// flapPause is the time between two requests of a caller.
	flapPause = time.Second
)

// flapCounts counts how requests were ended.
type flapCounts struct {
	mu     sync.Mutex
	status map[int]int
	// denied holds the requests that were denied, by the part of their prompts.
	denied map[int][]string
	total  int
}

// playFlap has one server of seven go down and up for some seconds. Each caller works on a
// part of its own, with one request after the other.
func playFlap(d *deployment, trouble bool) ([]string, error) {
	var servers []*process
	for n := 1; n <= flapServers; n++ {
		p, err := d.startServer(fmt.Sprintf("i-%d", n), "desk")
		if err != nil {
			return nil, err
		}
		servers = append(servers, p)
	}
	d.setConfig(resumableRoute)
	r, err := d.startRouter("front-a-1", d.store.address())
	if err != nil {
		return nil, err
	}
	start := time.Now()
	counts := &flapCounts{status: map[int]int{}, denied: map[int][]string{}}
	rng := rand.New(rand.NewPCG(1, 1))
	var wg sync.WaitGroup
	for n := range flapCallers {
		part := int(rng.Uint32())
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(flapArrival * time.Duration(n) / flapCallers)
			d.workOn(part, fmt.Sprintf("caller-%d", n+1), r.front, start.Add(flapEnd), counts)
		}()
	}
	time.Sleep(flapAt)
	if trouble {
		if err := d.flap(servers[0]); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	return counts.check(d.rec), nil
}

// flap has a server go down and up under its id, until it stays up.
func (d *deployment) flap(p *process) error {
	for end := time.Now().Add(flapFor); time.Now().Before(end); {
		p.kill()
		d.rec.logf(p.name, "is down")
		time.Sleep(flapPeriod / 2)
		up, err := d.startServer(p.name, "desk", "-listen", p.address)
		if err != nil {
			return err
		}
		p = up
		time.Sleep(flapPeriod / 2)
	}
	return nil
}

// workOn sends one request after the other whose prompts share a part, until end.
func (d *deployment) workOn(part int, name, address string, end time.Time, counts *flapCounts) {
	for time.Now().Before(end) {
		c, err := d.dial(name, address)
		if err != nil {
			return
		}
		c.part = part
		res := c.post("/draft/a", flapEvents, 12*time.Second)
		c.close()
		counts.add(part, res)
		time.Sleep(flapPause)
	}
}

func (c *flapCounts) add(part int, res result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	c.status[res.status]++
	if res.status >= 300 && res.status < 500 && res.status != 408 && res.status != 421 && res.status != 429 {
		c.denied[part] = append(c.denied[part], res.id)
	}
}

// check applies the rule DENIED: no more than 5 and one in 500 of all requests.
func (c *flapCounts) check(rec *record) []string {
	denied := 0
	for part, list := range c.denied {
		denied += len(list)
		rec.logf("case", "%d requests with the part %x were denied", len(list), part)
	}
	rec.logf("case", "%d requests, by status (0: none): %v", c.total, c.status)
	if float64(denied) <= 5+float64(c.total)/500 {
		return nil
	}
	return []string{fmt.Sprintf("DENIED: %d of %d requests that the only config allows were ended with a 4xx of the router", denied, c.total)}
}
