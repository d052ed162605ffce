package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// cases holds the cases by name. A case returns what rule was broken, empty if it held.
var cases = map[string]func(f *fleet, trouble bool) (string, error){
	"case6":  payoutTwice,
	"case7":  truncatedAfterFreeze,
	"case8":  cutBeforeTheEndOfGrace,
	"case9":  rejectedAndNotAnswered,
	"case10": truncatedAtFullPool,
}

// wholeStream returns the events of a whole stream of a request.
func wholeStream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(streamEvent(id, n))
	}
	return b.String()
}

// startServers starts n servers of a service.
func (f *fleet) startServers(service string, n, slots int, more ...string) ([]*target, error) {
	var list []*target
	for i := range n {
		t, err := f.startServer(fmt.Sprintf("i-%s-%d", service, i), service, "", slots, more...)
		if err != nil {
			return nil, err
		}
		list = append(list, t)
	}
	return list, nil
}

// results counts what clients have got.
type results struct {
	mu     sync.Mutex
	counts map[string]int
	bad    []string
}

func (r *results) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[name]++
}

func (r *results) breach(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bad = append(r.bad, text)
}

// verdict returns what was broken, with the first few breaches.
func (r *results) verdict(f *fleet, rule string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.note("results: %v", r.counts)
	fmt.Println("results:", r.counts)
	if len(r.bad) == 0 {
		return ""
	}
	for _, text := range r.bad {
		f.note("%s: %s", rule, text)
	}
	return fmt.Sprintf("%s %d times, first: %s", rule, len(r.bad), r.bad[0])
}

// payoutTwice sends payouts whose bodies arrive in two parts. Between the parts, the operator
// removes the route of payouts, so that a shorter prefix matches their path; three of the five
// ledgers lose two of five answers.
func payoutTwice(f *fleet, trouble bool) (string, error) {
	// TROUBLE=config and TROUBLE=answers bring about one of the two disruptions alone.
	mode := os.Getenv("TROUBLE")
	changes, loses := trouble && mode != "answers", trouble && mode != "config"
	f.store.put("op/config", deskConfig(1, true))
	if _, err := f.startServers("status-app", 3, 6); err != nil {
		return "", err
	}
	for i := range 5 {
		lose := "0"
		if loses && i < 3 {
			lose = "2"
		}
		if _, err := f.startServer(fmt.Sprintf("i-ledger-app-%d", i), "ledger-app", "", 6, "-lose", lose); err != nil {
			return "", err
		}
	}
	r, err := f.startRouter(1, nil)
	if err != nil {
		return "", err
	}
	// The machine is in touch before the payouts.
	time.Sleep(4 * time.Second)
	const payouts, half = 40, 1800
	var res results
	var wg sync.WaitGroup
	for i := range payouts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("payout-%d", i)
			a := f.sendInParts(r.front, id, "/desk/pay/plain/15", time.Second, strings.Repeat("p", 2*half), half, 400*time.Millisecond)
			res.count(fmt.Sprintf("status %d", a.status))
		}()
		time.Sleep(5 * time.Millisecond)
	}
	if changes {
		f.store.put("op/config", deskConfig(2, false))
		f.note("operator: version 2, without the route of payouts, is acknowledged")
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	f.mu.Lock()
	for id, runs := range f.runs {
		if len(runs) > 1 {
			text := id + " ran at"
			for _, x := range runs {
				text += " " + x.server
			}
			res.breach(text)
		}
	}
	f.mu.Unlock()
	return res.verdict(f, "TWICE"), nil
}

// deskConfig returns a configuration in which paths under /desk/ are look-ups, and, if pay is
// set, those under /desk/pay/ payouts, which run at most once.
func deskConfig(version int, pay bool) map[string]any {
	c := config(version)
	routes := []any{route("r-status", "/desk/", "idempotent", "status-app", 1000, 100, 2, nil)}
	if pay {
		routes = append(routes, route("r-pay", "/desk/pay/", "non_idempotent", "ledger-app", 1000, 100, 1, nil))
	}
	c["routes"] = routes
	c["services"] = []any{plainService("status-app"), plainService("ledger-app")}
	return c
}

// truncatedAtFullPool kills servers while the router has as many connections to servers as it
// may have and more requests press. One of 20 streams of half of the servers has no length.
func truncatedAtFullPool(f *fleet, trouble bool) (string, error) {
	f.brief = true
	f.store.put("op/config", config(1))
	servers := map[string]*target{}
	for i := range 57 {
		var more []string
		// With about 16 streams for each server, these are 22 of some 450 streams of 28 servers.
		if i%2 == 1 && i < 44 {
			more = []string{"-unframed", "20"}
		}
		t, err := f.startServer(fmt.Sprintf("i-llm-%d", i), "llm", "", 48, more...)
		if err != nil {
			return "", err
		}
		servers[t.id] = t
	}
	r, err := f.startRouter(1, nil)
	if err != nil {
		return "", err
	}
	const clients, events, pause = 1580, 60, 150
	var res results
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var atOnce atomic.Bool
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for try := 0; ; try++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("draft-%d-%d", i, try)
				header := map[string]string{"X-Model": "m", "X-Token-Usage": "50,360", "X-Prompt-Prefix": fmt.Sprintf("%x:10,%x:40", i%300, 1000+i)}
				a := f.request(r.front, id, "POST", fmt.Sprintf("/chat/%d/%d", events, pause), header, "x", 15*time.Second)
				if a.status != 503 {
					f.judgeStream(&res, id, a, events)
					continue
				}
				// Three of ten clients repeat three times at once, the others wait as they are told.
				if i%10 >= 3 || try%4 == 3 || !atOnce.Load() {
					time.Sleep(200 * time.Millisecond)
				}
			}
		}()
		time.Sleep(2 * time.Millisecond)
	}
	atOnce.Store(true)
	// With nine kills 0.5 s apart, clients repeat at once for 5.3 s.
	time.Sleep(800 * time.Millisecond)
	for range 9 {
		if trouble {
			if t := f.runsUnframed(servers); t != nil {
				f.signal(t.process, syscall.SIGKILL)
				delete(servers, t.id)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	f.note("%d requests were refused with 503", f.refused.Load())
	return res.verdict(f, "MIXED"), nil
}

// runsUnframed returns one of the servers that runs a stream without a length, nil if none does.
func (f *fleet) runsUnframed(servers map[string]*target) *target {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.unframed {
		if t := servers[id]; t != nil {
			return t
		}
	}
	return nil
}

// judgeStream counts an answer, and a breach if it looks like a complete success and is not the
// whole stream.
func (f *fleet) judgeStream(res *results, id string, a answer, events int) {
	want := wholeStream(id, events)
	switch {
	case a.status == 200 && a.whole && a.body == want:
		res.count("200, whole stream")
	case a.status == 200 && a.whole:
		res.count("200, looks complete and is not")
		res.breach(fmt.Sprintf("%s: 200 with seal %q ends as complete after %d of %d bytes", id, a.seal, len(a.body), len(want)))
	case a.status == 200:
		res.count("200, broken off visibly")
	default:
		res.count(fmt.Sprintf("status %d", a.status))
	}
}

// truncatedAfterFreeze stops a router for 1.5 s; meanwhile a server is killed and started again
// under its id and address. One of 20 of its streams has no length and ends with its connection.
func truncatedAfterFreeze(f *fleet, trouble bool) (string, error) {
	// TROUBLE=freeze and TROUBLE=crash bring about one of the two disruptions alone.
	mode := os.Getenv("TROUBLE")
	freezes, crashes := trouble && mode != "crash", trouble && mode != "freeze"
	f.store.put("op/config", config(1))
	servers, err := f.startServers("llm", 2, 128, "-unframed", "20")
	if err != nil {
		return "", err
	}
	for i := 2; i < 4; i++ {
		if _, err := f.startServer(fmt.Sprintf("i-llm-%d", i), "llm", "", 128); err != nil {
			return "", err
		}
	}
	r, err := f.startRouter(1, nil)
	if err != nil {
		return "", err
	}
	for n := 2; n <= 10; n++ {
		if _, err := f.startRouter(n, nil); err != nil {
			return "", err
		}
	}
	const streams, events, pause = 340, 40, 80
	var res results
	var wg sync.WaitGroup
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("draft-%d", i)
			header := map[string]string{"X-Model": "m", "X-Token-Usage": "50,240", "X-Prompt-Prefix": fmt.Sprintf("%x:10,%x:40", i%61, 1000+i)}
			a := f.request(r.front, id, "POST", fmt.Sprintf("/chat/%d/%d", events, pause), header, "x", 15*time.Second)
			f.judgeStream(&res, id, a, events)
		}()
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if freezes {
		f.signal(r.process, syscall.SIGSTOP)
	}
	time.Sleep(300 * time.Millisecond)
	if crashes {
		f.signal(servers[0].process, syscall.SIGKILL)
		<-servers[0].done
	}
	time.Sleep(500 * time.Millisecond)
	if crashes {
		if _, err := f.startServer(servers[0].id, "llm", servers[0].address, 128, "-unframed", "20"); err != nil {
			return "", err
		}
	}
	time.Sleep(700 * time.Millisecond)
	if freezes {
		f.signal(r.process, syscall.SIGCONT)
	}
	wg.Wait()
	return res.verdict(f, "MIXED"), nil
}

// rejectedAndNotAnswered sends requests whose bodies take longer than their route's time limit,
// with a key that the operator has taken away.
func rejectedAndNotAnswered(f *fleet, trouble bool) (string, error) {
	f.store.put("op/config", config(1))
	if _, err := f.startServers("llm", 2, 128); err != nil {
		return "", err
	}
	r, err := f.startRouter(1, nil)
	if err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if trouble {
		f.store.put("op/config", withoutKey(config(2), "key-1"))
		f.note("operator: version 2, without key-1, is acknowledged")
	}
	// All routers are in touch and the new version has been in force for long.
	time.Sleep(4 * time.Second)
	const requests, part, parts = 20, 200, 60
	limit := 3000 * time.Millisecond
	var res results
	var wg sync.WaitGroup
	unanswered, late := 0, 0
	var mu sync.Mutex
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("note-%d", i)
			a := f.sendInParts(r.front, id, "/note/4/20", 15*time.Second, strings.Repeat("n", part*parts), part, 100*time.Millisecond)
			res.count(fmt.Sprintf("status %d", a.status))
			mu.Lock()
			defer mu.Unlock()
			// An answer within 20 ms of the limit counts as one at the limit.
			if a.status == 0 || a.took > limit-20*time.Millisecond {
				unanswered++
			}
			if a.status == 0 || a.took > limit+500*time.Millisecond {
				late++
				res.breach(fmt.Sprintf("%s: status %d after %.1f s, error %v", id, a.status, a.took.Seconds(), a.err))
			}
		}()
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	f.note("unanswered at timeout_ms: %d, half a second later: %d", unanswered, late)
	if 2*late <= unanswered {
		res.bad = nil
	}
	return res.verdict(f, "CONFIG"), nil
}

// withoutKey takes a key away from a configuration.
func withoutKey(c map[string]any, key string) map[string]any {
	for _, t := range c["tenants"].([]any) {
		tenant := t.(map[string]any)
		var keys []string
		for _, k := range tenant["api_keys"].([]string) {
			if k != key {
				keys = append(keys, k)
			}
		}
		tenant["api_keys"] = keys
	}
	return c
}

// sendInParts sends one request whose body follows in parts with pauses between them, as over
// a slow link. It reads the answer meanwhile and stops sending when it has one.
func (f *fleet) sendInParts(addr, id, path string, limit time.Duration, body string, part int, pause time.Duration) answer {
	began := time.Now()
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(limit + time.Second))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n", path, id, limit.Milliseconds(), len(body))
	f.note("client: %s sends: POST %s, body of %d bytes in parts of %d each %s", id, path, len(body), part, pause)
	answered := make(chan answer, 1)
	go func() { answered <- readAnswer(bufio.NewReader(c), "POST") }()
	if _, err := io.WriteString(c, head+body[:part]); err != nil {
		return answer{err: err}
	}
	var a answer
	for at := part; ; at += part {
		next := time.After(pause)
		if at >= len(body) {
			next = nil
		}
		select {
		case a = <-answered:
		case <-next:
			_, _ = io.WriteString(c, body[at:min(len(body), at+part)])
			continue
		}
		break
	}
	a.took = time.Since(began)
	f.note("client: %s got status %d, seal %q, after %.3f s, error %v", id, a.status, a.seal, a.took.Seconds(), a.err)
	return a
}

// cutBeforeTheEndOfGrace changes grace_s in the settings file of a router, tells it so with a
// hang-up signal, and stops it while streams run that end within the new grace period.
func cutBeforeTheEndOfGrace(f *fleet, trouble bool) (string, error) {
	f.store.put("op/config", config(1))
	servers, err := f.startServers("llm", 2, 128)
	if err != nil {
		return "", err
	}
	r, err := f.startRouter(1, nil)
	if err != nil {
		return "", err
	}
	if _, err := f.startRouter(2, nil); err != nil {
		return "", err
	}
	grace := 8 * time.Second
	if trouble {
		grace = 20 * time.Second
	}
	if err := f.setField(r, "bounds.grace_s", strconv.Itoa(int(grace/time.Second))); err != nil {
		return "", err
	}
	f.note("settings of %s: bounds.grace_s=%.0f", r.name, grace.Seconds())
	f.signal(r.process, syscall.SIGHUP)
	time.Sleep(4 * time.Second)
	const streams, events, pause = 20, 120, 100
	var res results
	var wg sync.WaitGroup
	var stoppedAt time.Time
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("draft-%d", i)
			header := map[string]string{"X-Model": "m", "X-Token-Usage": "50,720", "X-Prompt-Prefix": fmt.Sprintf("%x:10,%x:40", i%7, 1000+i)}
			a := f.request(r.front, id, "POST", fmt.Sprintf("/chat/%d/%d", events, pause), header, "x", 15*time.Second)
			if a.whole {
				res.count(fmt.Sprintf("status %d, whole", a.status))
				return
			}
			since := time.Since(stoppedAt)
			f.mu.Lock()
			ran := len(f.runs[id]) > 0
			f.mu.Unlock()
			// The rule leaves out what a server was still at work on in the last sixth.
			if ran && since < grace*5/6 {
				res.count("cut, counted")
				res.breach(fmt.Sprintf("%s: its connection ends in the middle of the answer %.1f s after SIGTERM, of %.0f s", id, since.Seconds(), grace.Seconds()))
				return
			}
			res.count("cut in the last sixth of grace_s")
		}()
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(time.Second)
	stoppedAt = time.Now()
	f.signal(r.process, syscall.SIGTERM)
	killed := time.AfterFunc(grace, func() { f.signal(r.process, syscall.SIGKILL) })
	wg.Wait()
	<-r.done
	f.note("router %s has ended %.1f s after SIGTERM", r.name, time.Since(stoppedAt).Seconds())
	killed.Stop()
	for _, s := range servers {
		select {
		case <-s.done:
			return "", fmt.Errorf("%w: a server has ended", errCannotRun)
		default:
		}
	}
	return res.verdict(f, "LOST"), nil
}
