package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"buckthorndrum/identifier"
)

// eventsWithGap streams two events with a gap between them.
func eventsWithGap(gap time.Duration) script {
	return func(w net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		writeChunk(w, "id: 1\ndata: d1\n\n")
		time.Sleep(gap)
		writeChunk(w, "id: 2\ndata: d2\n\n")
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
}

// An operator must see whether answers are late by their first event or by a gap, as the
// two have different causes.
func TestLateAnswersAreCountedByCause(t *testing.T) {
	g := NewWithT(t)
	core, logs := observer.New(zapcore.InfoLevel)
	cfg := testConfig(t)
	cfg.Log = zap.New(core)
	f := newFleetWith(t, cfg, eventsWithGap(60*time.Millisecond))
	routes := testRoutes()
	for i := range routes {
		routes[i].GapObjective = 20 * time.Millisecond
	}
	f.SetSnapshot(NewSnapshot(2, Limits{}, routes, []Pool{{ID: testPool}}, []Workspace{{ID: "w", Keys: []string{"k"}}}))
	g.Expect(f.send(f.request("POST", "/once/", "")).body).To(Equal(numberedEvents(1, 2)))
	eventually(t, "the request has ended", func() bool { return logs.FilterMessage("request ended").Len() == 1 })
	scrape := httptest.NewRecorder()
	f.Metrics().ServeHTTP(scrape, httptest.NewRequest("GET", "/metrics", nil))
	g.Expect(scrape.Body.String()).To(ContainSubstring(`buckthorndrum_forwarder_late_total{cause="gap"} 1`))
	g.Expect(scrape.Body.String()).NotTo(ContainSubstring(`cause="first_event"`))
	g.Expect(logs.FilterMessage("request ended").All()[0].ContextMap()["longest_gap"]).To(BeNumerically(">=", 50*time.Millisecond))
}

// The streams of a pool share its engines, so that the strictest gap objective of its
// routes binds all of them.
func TestPoolHasShortestGapObjectiveOfItsRoutes(t *testing.T) {
	g := NewWithT(t)
	route := func(pool identifier.Pool, weight int, gap time.Duration) Route {
		return Route{Host: "desk", Prefix: "/", GapObjective: gap, Split: []PoolWeight{{Pool: pool, Weight: weight}}}
	}
	s := NewSnapshot(1, Limits{}, []Route{
		route("a", 1, 400*time.Millisecond), route("a", 1, 300*time.Millisecond), route("a", 0, 100*time.Millisecond), route("b", 1, 0), route("none", 1, time.Millisecond),
	}, []Pool{{ID: "a"}, {ID: "b"}}, nil)
	g.Expect(s.pools["a"].GapObjective).To(Equal(300 * time.Millisecond))
	g.Expect(s.pools["b"].GapObjective).To(BeZero())
}

// The mean of a few events must not depend on which of them arrive in one read.
func TestEventTimeIsTakenOverBatch(t *testing.T) {
	g := NewWithT(t)
	var timer eventTimer
	now := identifier.Instant(time.Second)
	for i := range eventBatch {
		_, ok := timer.add(now.Add(time.Duration(i) * 10 * time.Millisecond))
		g.Expect(ok).To(BeFalse())
	}
	mean, ok := timer.add(now.Add(120 * time.Millisecond))
	g.Expect(ok).To(BeTrue())
	g.Expect(mean).To(Equal(20 * time.Millisecond))
}
