package forwarder

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// proofRounds is the number of changes made while another goroutine observes them.
const proofRounds = 200_000

// runConcurrently calls change for each round, and calls observe in a loop in another
// goroutine meanwhile.
func runConcurrently(change func(n int), observe func()) {
	var wait sync.WaitGroup
	done := make(chan struct{})
	wait.Add(1)
	go func() {
		defer wait.Done()
		for {
			select {
			case <-done:
				return
			default:
				observe()
			}
		}
	}()
	for n := 1; n <= proofRounds; n++ {
		change(n)
	}
	close(done)
	wait.Wait()
}

// The proof in a router's status is never newer than the position in it. Otherwise
// peers would accept a key that was revoked between the two.
func TestStatusProofIsNotNewerThanPosition(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	violations := 0
	base := clocker.Now()
	runConcurrently(func(n int) {
		f.ConfirmFreshness(base.Add(time.Duration(n)*time.Second), identifier.StorePosition{Revision: int64(n)})
	}, func() {
		s := f.Status(base)
		if int64(-s.ProofAge/time.Second) > s.Position {
			violations++
		}
	})
	g.Expect(violations).To(BeZero())
}

// The configuration that admits a request is never older than the proof under which the
// request was admitted.
func TestRequestsUseConfigurationAsNewAsProof(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	g.Expect(f.SetTunables(Tunables{MaxProofAge: 1000 * time.Hour, RetryBudget: RetryBudget{Ratio: 0.2, Window: time.Second}})).To(Succeed())
	const first = 10
	base := clocker.Now()
	r := f.request(http.MethodGet, "/open/1", "")
	r.RequestURI = "/open/1"
	violations := 0
	// The observer may run before the first change.
	f.configure(first)
	f.ConfirmFreshness(base, identifier.StorePosition{Revision: first})
	runConcurrently(func(n int) {
		f.configure(identifier.Revision(first + n))
		f.ConfirmFreshness(base.Add(time.Duration(n)*time.Second), identifier.StorePosition{Revision: int64(first + n)})
	}, func() {
		c := &call{r: r, info: f.cfg.Dialect.ReadRequest(r.Header)}
		if e := f.authorize(c); e != nil {
			t.Errorf("refused: %s", e.reason)
		}
		proved := clocker.Now().Add(-c.proofAge).Sub(base).Round(time.Second)
		if c.revision < first+identifier.Revision(proved/time.Second) {
			violations++
		}
	})
	g.Expect(violations).To(BeZero())
}
