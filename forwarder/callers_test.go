package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"buckthorndrum/acceptor"
	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// connPair returns the two ends of a connection.
func connPair(t *testing.T) (caller, router net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if caller, err = net.Dial("tcp4", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if router, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = caller.Close(), router.Close() })
	return caller, router
}

// The HTTP server notices only a moment later that a caller has disconnected. Requests
// were sent to targets after their callers had left (load run with seed 871042971214),
// so the connection is checked just before a request is sent.
func TestRequestOfDisconnectedCallerIsNotWanted(t *testing.T) {
	for name, c := range map[string]struct {
		act     func(caller net.Conn)
		arrived time.Duration
		runs    int
		wanted  bool
	}{
		"waits":                            {func(net.Conn) {}, 0, 0, true},
		"has sent another request":         {func(c net.Conn) { _, _ = c.Write([]byte("GET")) }, 0, 0, true},
		"has closed":                       {func(c net.Conn) { _ = c.Close() }, 0, 0, false},
		"has reset":                        {func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }, 0, 0, false},
		"waits, but for too long":          {func(net.Conn) {}, 2 * maxFirstSendDelay, 0, false},
		"waits for the rest of its answer": {func(net.Conn) {}, 2 * maxFirstSendDelay, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			caller, router := connPair(t)
			c.act(caller)
			time.Sleep(10 * time.Millisecond)
			r := &http.Request{}
			req := &call{r: r.WithContext(acceptor.WithConnection(context.Background(), router, 0)), arrived: clocker.Now().Add(-c.arrived), runs: c.runs}
			g.Expect(req.wanted()).To(Equal(c.wanted))
		})
	}
}

// A request that may have waited unread behind others for longer than its caller waits
// is not sent: the caller has given it up without closing its connection at once. In a
// flood of requests, such requests were sent after their callers had given up. Later
// requests on the same connection are served.
func TestRequestReadTooLateIsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		waited, maxReadDelay time.Duration
		status               int
	}{
		"for long":                          {600 * time.Millisecond, 500 * time.Millisecond, http.StatusServiceUnavailable},
		"shortly":                           {0, 500 * time.Millisecond, http.StatusOK},
		"for long, and its caller may wait": {600 * time.Millisecond, 0, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, completeAnswer)
			_, router := connPair(t)
			ctx := acceptor.WithConnection(context.Background(), router, clocker.Now().Add(-c.waited))
			status := func() int {
				w := httptest.NewRecorder()
				r := httptest.NewRequest(http.MethodGet, "/lookup/1", nil).WithContext(ctx)
				r.Host = "desk"
				r.Header = http.Header{"Key": {"k"}, "Id": {"id1"}, "Unread": {c.maxReadDelay.String()}}
				f.ServeHTTP(w, r)
				return w.Code
			}
			g.Expect(status()).To(Equal(c.status))
			if c.status != http.StatusOK {
				g.Expect(f.requestsSeen()).To(BeEmpty())
			}
			g.Expect(status()).To(Equal(http.StatusOK), "the next one on the connection has not waited")
		})
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	caller, err := net.Dial("tcp4", f.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = caller.Close() }()
	g.Eventually(f.callers.Count, "2s").Should(Equal(1))
	g.Eventually(func() int {
		f.callers.CloseIdle(clocker.Now(), 0)
		return f.callers.Count()
	}, "2s").Should(BeZero())
	g.Expect(caller.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	_, err = caller.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
}

// A caller that does not read its answer gives back the memory of the answer some time
// after its deadline. Guards against memory that is held for as long as such a connection is
// open.
func TestAnswerToCallerThatDoesNotReadIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, fixedAnswer(http.StatusOK, "Seal: s\r\n", strings.Repeat("x", maxBufferedAnswer-1)))
	c, err := net.Dial("tcp4", f.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	g.Expect(c.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
	_, err = io.WriteString(c, "GET /lookup/1 HTTP/1.1\r\nHost: desk\r\nId: id1\r\nKey: k\r\nPatience: 2000\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(f.memory.used.Load, "4s").Should(BeNumerically(">=", maxBufferedAnswer))
	g.Eventually(f.memory.used.Load, slowReaderMargin+4*time.Second).Should(BeZero())
	g.Eventually(f.callers.Count, "2s").Should(BeZero())
}

// Text that callers and targets choose is cut off in log lines.
func TestLoggedTextIsBounded(t *testing.T) {
	g := NewWithT(t)
	c := &call{}
	c.info.ID = identifier.Request(strings.Repeat("i", 10*maxLoggedText))
	c.recordConnError(errors.New(strings.Repeat("e", 10*maxLoggedText)))
	g.Expect(c.loggedID()).To(HaveLen(maxLoggedText))
	g.Expect(c.connError).To(HaveLen(maxLoggedText))
}

// The limits of request heads follow the configuration in force, with a margin, so that no
// head within them is rejected. Before the first one, heads of 64 KB are accepted.
func TestHeadLimitsFollowConfiguration(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	status := func(size int) int {
		r := f.request(http.MethodGet, "/lookup/1", "")
		r.Header.Set("Padding", strings.Repeat("p", size))
		return f.send(r).status
	}
	g.Expect(status(60 << 10)).To(Equal(http.StatusOK))
	s := *f.state.snapshot.Load()
	s.Revision, s.Limits.MaxHeadBytes = 2, 16<<10
	g.Expect(f.SetSnapshot(&s)).To(BeTrue())
	g.Expect(status(16 << 10)).To(Equal(http.StatusOK))
	g.Expect(status(16<<10 + headMargin)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
}

// Rejections are logged as counts, at most one line in rejectionLogInterval, so that callers
// cannot fill the log.
func TestRejectionsAreLoggedAsCounts(t *testing.T) {
	g := NewWithT(t)
	core, lines := observer.New(zap.WarnLevel)
	cfg := testConfig(t)
	cfg.Log = zap.New(core)
	f := newFleetWith(t, cfg, completeAnswer)
	for range 5 {
		r := f.request(http.MethodGet, "/lookup/1", "")
		r.Header.Set("Padding", strings.Repeat("p", 80<<10))
		_ = f.send(r)
	}
	g.Expect(f.cfg.Heads.Rejected(acceptor.HeadTooLarge)).To(BeEquivalentTo(5))
	logged := func() int64 {
		sum := int64(0)
		for _, l := range lines.FilterMessage("requests rejected before they were accepted").All() {
			n, _ := l.ContextMap()["head too large"].(int64)
			sum += n
		}
		return sum
	}
	g.Eventually(logged, "2s").Should(BeNumerically(">", 0))
	g.Consistently(func() int { return lines.Len() }, "600ms").Should(Equal(1))
}
