package forwarder

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// Guards against metrics that do not say how old the loads of other routers are when a target
// is chosen: uneven load then can't be told from late reports.
func TestAgeOfPeerLoadsIsMeasuredAtChoice(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	page := func() string {
		recorder := httptest.NewRecorder()
		f.Metrics().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		body, err := io.ReadAll(recorder.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return string(body)
	}
	f.send(f.request(http.MethodGet, "/lookup/1", ""))
	g.Expect(page()).To(ContainSubstring("buckthorndrum_forwarder_load_age_seconds_count 0"), "no report yet")
	f.SetPeerSummaryDelay(100 * time.Millisecond)
	f.ReceivePeerSummary(clocker.Now(), Summary{Loads: map[identifier.Target]admitter.Load{"t0": {Running: 1}}}, 1)
	f.send(f.request(http.MethodGet, "/lookup/1", ""))
	g.Expect(page()).To(And(
		ContainSubstring("buckthorndrum_forwarder_load_age_seconds_count 1"),
		ContainSubstring("buckthorndrum_forwarder_load_age_seconds_bucket{le=\"0.08\"} 0"),
		ContainSubstring("buckthorndrum_forwarder_longest_queue_seconds"),
	))
}
