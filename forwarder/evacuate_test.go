package forwarder

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// setZones puts target i into the data centre zones[i].
func (f *fleet) setZones(zones ...identifier.DataCentre) {
	for i, z := range zones {
		f.targets[i].DataCentre = z
	}
	f.SetTargets(f.targets)
}

// requestsAt returns the number of requests that a target has received.
func (f *fleet) requestsAt(target string) int {
	n := 0
	for _, r := range f.requestsSeen() {
		if r.target == target {
			n++
		}
	}
	return n
}

// Guards against requests that reach an evacuated target after its router has learned of the
// evacuation: new ones, and those that were under way to it then.
func TestEvacuatedTargetGetsNoRequests(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer, completeAnswer)
	f.setZones("a", "b")
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for range 8 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					if status := f.send(f.request(http.MethodGet, "/lookup/1", "")).status; status != http.StatusOK {
						t.Errorf("status %d", status)
					}
				}
			}
		})
	}
	g.Eventually(func() int { return f.requestsAt("t0") }, "5s").Should(BeNumerically(">", 20))
	f.SetEvacuated(map[identifier.DataCentre]bool{"a": true})
	time.Sleep(50 * time.Millisecond) // What had been written before is received within this time.
	before, others := f.requestsAt("t0"), f.requestsAt("t1")
	g.Eventually(func() int { return f.requestsAt("t1") }, "5s").Should(BeNumerically(">", others+50))
	g.Expect(f.requestsAt("t0")).To(Equal(before))
	f.SetEvacuated(nil)
	g.Eventually(func() int { return f.requestsAt("t0") }, "5s").Should(BeNumerically(">", before), "the evacuation has ended")
	close(stop)
	callers.Wait()
}

// Guards against a retry, or a stream that is resumed, at an evacuated target.
func TestRetriesAvoidEvacuatedTargets(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		first script
		want  string
	}{
		"not run":          {"/lookup/1", notRun, "whole"},
		"connection reset": {"/lookup/1", resetConn, "whole"},
		"failure":          {"/lookup/1", fixedAnswer(http.StatusInternalServerError, "Seal: s\r\n", ""), "whole"},
		"stream broke off": {"/stream/1", events(2, false, ""), numberedEvents(1, 4)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rest := completeAnswer
			if c.path == "/stream/1" {
				rest = events(4, true, "")
			}
			f := newFleet(t)
			evacuate := func(w net.Conn, r *http.Request) bool {
				f.SetEvacuated(map[identifier.DataCentre]bool{"b": true})
				return c.first(w, r)
			}
			f.addTarget("t0", evacuate)
			f.addTarget("t1", rest)
			f.addTarget("t2", rest)
			f.setZones("a", "b", "c")
			f.SetEvacuated(map[identifier.DataCentre]bool{"b": true, "c": true}) // The first choice is t0.
			var answer callerAnswer
			done := make(chan struct{})
			go func() {
				defer close(done)
				answer = f.send(f.request(http.MethodGet, c.path, ""))
			}()
			g.Eventually(done, "5s").Should(BeClosed())
			g.Expect(answer.body).To(Equal(c.want))
			g.Expect(f.requestsAt("t1")).To(BeZero())
		})
	}
}

// Guards against a request that waits, or takes from the retry budget, while no target can
// take it, and against a refusal that doesn't name the cause.
func TestAllTargetsEvacuated(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer, completeAnswer)
	f.setZones("a", "b")
	f.SetEvacuated(map[identifier.DataCentre]bool{"a": true, "b": true})
	answer := f.send(f.request(http.MethodGet, "/lookup/1", ""))
	g.Expect(answer.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(answer.body).To(Equal("The data centres of all targets are evacuated.\n"))
	g.Expect(answer.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(f.requestsSeen()).To(BeEmpty())
	g.Expect(f.Ready(clocker.Now())).To(BeTrue(), "a router in an evacuated data centre still serves callers")
	g.Expect(f.EvacuatedDataCentres()).To(ConsistOf(identifier.DataCentre("a"), identifier.DataCentre("b")))
}

// Guards against a request in progress that is cut off by an evacuation.
func TestRequestInProgressAtEvacuatedTargetCompletes(t *testing.T) {
	g := NewWithT(t)
	received, answer := make(chan struct{}), make(chan struct{})
	f := newFleet(t, func(w net.Conn, r *http.Request) bool {
		close(received)
		<-answer
		return completeAnswer(w, r)
	})
	f.setZones("a")
	result := make(chan callerAnswer, 1)
	go func() { result <- f.send(f.request(http.MethodGet, "/lookup/1", "")) }()
	<-received
	f.SetEvacuated(map[identifier.DataCentre]bool{"a": true})
	close(answer)
	var got callerAnswer
	g.Eventually(result, "3s").Should(Receive(&got))
	g.Expect(got.body).To(Equal("whole"))
}

// Guards against workspaces that are promised the rate of engines that are evacuated, and
// against a rate that isn't restored.
func TestEvacuationReducesSharedRate(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer, completeAnswer)
	f.setZones("a", "b")
	f.SetSnapshot(NewSnapshot(2, Limits{TokensPerSecond: 1000}, testRoutes(), []Pool{{ID: testPool, Engine: true}}, nil))
	capacity := func() float64 {
		f.state.mu.Lock()
		defer f.state.mu.Unlock()
		return f.state.sharer.Capacity()
	}
	g.Expect(capacity()).To(Equal(1000.0))
	f.SetEvacuated(map[identifier.DataCentre]bool{"a": true})
	g.Expect(capacity()).To(Equal(500.0))
	f.SetSnapshot(NewSnapshot(3, Limits{TokensPerSecond: 2000}, testRoutes(), []Pool{{ID: testPool, Engine: true}}, nil))
	g.Expect(capacity()).To(Equal(1000.0), "a new configuration keeps to the evacuation")
	f.SetEvacuated(map[identifier.DataCentre]bool{"a": true, "b": true})
	g.Expect(capacity()).To(Equal(2000.0), "zero would be no limit")
	f.SetEvacuated(nil)
	g.Expect(capacity()).To(Equal(2000.0))
}
