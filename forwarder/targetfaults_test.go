package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/clocker"
)

// runsOf returns how often targets have received the request with an id.
func (f *fleet) runsOf(id string) int {
	n := 0
	for _, r := range f.requestsSeen() {
		if r.header.Get("Id") == id {
			n++
		}
	}
	return n
}

// sendAs sends a request with an id of its own and returns the status of its answer, zero for
// none.
func (f *fleet) sendAs(id, path string) int {
	r := f.request(http.MethodPost, path, "x")
	r.Header.Set("Id", id)
	return f.send(r).status
}

// failWhile takes a moment and then answers as bad does while failing is set, and well
// otherwise.
func failWhile(failing *atomic.Bool, bad script) script {
	return func(w net.Conn, r *http.Request) bool {
		time.Sleep(5 * time.Millisecond)
		if failing.Load() {
			return bad(w, r)
		}
		return completeAnswer(w, r)
	}
}

const (
	// faultyTargetCallers is the number of callers that send at the same time, so that each
	// target is needed, and faultyTargetRequests how many requests of a kind each sends.
	faultyTargetCallers  = 12
	faultyTargetRequests = 4
)

// sendBeside sends requests of several callers at the same time. Those that may run twice must
// be answered, and the others must run once and not be reported as not run.
func (f *fleet) sendBeside(t *testing.T, round string) {
	var wait sync.WaitGroup
	for caller := range faultyTargetCallers {
		wait.Go(func() {
			for i := range faultyTargetRequests {
				id := fmt.Sprintf("%s-%d-%d", round, caller, i)
				if status := f.sendAs(id+"-lookup", "/lookup/1"); status != http.StatusOK {
					t.Errorf("request %s-lookup was answered %d", id, status)
				}
				status := f.sendAs(id+"-ticket", "/ticket/1")
				if runs := f.runsOf(id + "-ticket"); runs != 1 || status == http.StatusServiceUnavailable {
					t.Errorf("request %s-ticket ran %d times and was answered %d", id, runs, status)
				}
			}
		})
	}
	wait.Wait()
}

// Guards against a target that is listed as ready and accepts connections, but fails requests:
// callers whose requests may run twice see the failures, others hear that their request has not
// run, a router that the target does not fail stops using it, or a target that is needed stays
// unused once it answers again.
func TestTargetThatFailsWhileListedAsReady(t *testing.T) {
	for name, bad := range map[string]script{"failure": failure, "cut": resetConn, "half": truncatedAnswer, "unsealed": unsealed, "garbage": garbage} {
		for _, forAll := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, for all routers: %t", name, forAll), func(t *testing.T) {
				g := NewWithT(t)
				var failsA, failsB, never atomic.Bool
				failsA.Store(true)
				failsB.Store(forAll)
				a := newFleet(t, failWhile(&failsA, bad), failWhile(&never, bad))
				b := newFleet(t, failWhile(&failsB, bad), failWhile(&never, bad))
				a.ReceivePeerSummary(clocker.Now(), NewSummary(), 1) // A fleet of two has enough retries.
				a.sendBeside(t, "1")
				b.ReceivePeerSummary(clocker.Now(), a.Summary(clocker.Now()), 1)
				before := b.requestsAtFirst()
				b.sendBeside(t, "1")
				g.Expect(b.requestsAtFirst()).To(BeNumerically(">", before), "what it does to another router does not rule it out")
				failsA.Store(false)
				failsB.Store(false)
				for _, f := range []*fleet{a, b} {
					before := f.requestsAtFirst()
					g.Eventually(func() int {
						f.sendBeside(t, fmt.Sprint("later", len(f.requestsSeen())))
						return f.requestsAtFirst()
					}, "10s").Should(BeNumerically(">", before), "it answers again")
				}
			})
		}
	}
}

// dropsIdle answers the first request on each connection and forgets the connection then, so
// that what is sent next on it is reset.
func dropsIdle() script {
	var used sync.Map
	return func(w net.Conn, r *http.Request) bool {
		if _, again := used.LoadOrStore(w, true); again {
			return resetConn(w, r)
		}
		return completeAnswer(w, r)
	}
}

// Guards against targets that drop idle connections without notice: a request that may run twice
// is not sent again, and one that may not is sent again or reported as not run, although the
// router cannot know that.
func TestDroppedIdleConnections(t *testing.T) {
	for name, others := range map[string]script{"one target": completeAnswer, "all targets": nil} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			second := others
			if second == nil {
				second = dropsIdle()
			}
			f := newFleet(t, dropsIdle(), second)
			resets := 0
			for i := range 30 {
				lookup, ticket := fmt.Sprintf("lookup%d", i), fmt.Sprintf("ticket%d", i)
				status := f.sendAs(lookup, "/lookup/1")
				if f.runsOf(lookup) < 2 {
					g.Expect(status).To(Equal(http.StatusOK), "it was not reset, or it was not sent again")
				}
				g.Expect(others == nil || status == http.StatusOK).To(BeTrue(), "the other target answers")
				status = f.sendAs(ticket, "/ticket/1")
				g.Expect(f.runsOf(ticket)).To(Equal(1))
				g.Expect(status).To(BeElementOf(http.StatusOK, http.StatusBadGateway))
				if status == http.StatusBadGateway || f.runsOf(lookup) == 2 {
					resets++
				}
			}
			g.Expect(resets).To(BeNumerically(">", 0), "dropped connections were used")
		})
	}
}
