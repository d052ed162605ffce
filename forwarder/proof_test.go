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

// proofRounds is how many changes are made while others look.
const proofRounds = 200_000

// while runs change for each round, and look all the time beside it.
func while(change func(n int), look func()) {
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
				look()
			}
		}
	}()
	for n := 1; n <= proofRounds; n++ {
		change(n)
	}
	close(done)
	wait.Wait()
}

// What a router tells others of its proof is never of a later position than it names:
// they would rely on a key that was withdrawn in between.
func TestStatusNamesNoProofBeyondItsPosition(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, whole)
	beyond := 0
	base := clocker.Now()
	while(func(n int) { f.ConfirmFreshness(base.Add(time.Duration(n)*time.Second), int64(n)) }, func() {
		s := f.Status(base)
		if int64(-s.ProofAge/time.Second) > s.Position {
			beyond++
		}
	})
	g.Expect(beyond).To(BeZero())
}

// A request is not admitted by a configuration that is older than the proof it was
// admitted under.
func TestRequestsAreAdmittedByWhatWasProved(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, whole)
	g.Expect(f.SetTunables(Tunables{MaxProofAge: 1000 * time.Hour, RetryBudget: RetryBudget{Ratio: 0.2, Window: time.Second}})).To(Succeed())
	const first = 10
	base := clocker.Now()
	r := f.request(http.MethodGet, "/open/1", "")
	r.RequestURI = "/open/1"
	older := 0
	while(func(n int) {
		f.configure(identifier.Revision(first + n))
		f.ConfirmFreshness(base.Add(time.Duration(n)*time.Second), int64(first+n))
	}, func() {
		c := &call{r: r, info: f.cfg.Dialect.ReadRequest(r.Header)}
		if e := f.authorize(c); e != nil {
			t.Errorf("refused: %s", e.reason)
		}
		proved := clocker.Now().Add(-c.proofAge).Sub(base).Round(time.Second)
		if c.revision < first+identifier.Revision(proved/time.Second) {
			older++
		}
	})
	g.Expect(older).To(BeZero())
}
