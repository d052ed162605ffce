package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/admitter"
)

const (
	// slowBudget is the memory budget of routers with slow readers, in bytes. Four of their
	// answers of slowAnswer bytes, or two of their bodies of slowBody bytes, use it up.
	slowBudget = 16 << 20
	slowAnswer = 3 << 20
	slowBody   = 6 << 20
	// slowHeap bounds the growth of the heap, in bytes. The copies that the test itself makes
	// count, too.
	slowHeap = 2 * slowBudget
	// slowEvent is the size of a large event of a stream, in bytes.
	slowEvent = 900 << 10
	// smallKernelBuffer is the receive buffer of a peer that does not read, in bytes. The
	// kernel rounds it up.
	smallKernelBuffer = 4 << 10
	// slowTimeLimit is the time limit of requests of slow readers.
	slowTimeLimit = time.Second
	// slowServedWithin is how long others may wait until they are served: the time limit of
	// the slow ones, and some time for a busy machine.
	slowServedWithin = slowTimeLimit + 5*time.Second
	// slowOrdinaryPath is the path of an ordinary request.
	slowOrdinaryPath = "/open/1"
)

// limitReceiveBuffer makes the kernel receive little for a socket whose owner does not read.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallKernelBuffer)
	})
	if err != nil {
		return err
	}
	return sockErr
}

// slowCaller is a caller that has sent a request and does not read the answer yet.
type slowCaller struct {
	net.Conn
	id string
}

// newSlowCaller sends a request on a connection of its own. All callers share their body, so
// that a blocked write takes up no memory of the test.
func (f *fleet) newSlowCaller(g Gomega, n int, path string, body []byte) slowCaller {
	d := net.Dialer{Control: limitReceiveBuffer}
	c, err := d.Dial("tcp4", f.address)
	g.Expect(err).NotTo(HaveOccurred())
	f.t.Cleanup(func() { _ = c.Close() })
	k := slowCaller{Conn: c, id: fmt.Sprintf("slow%d", n)}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: desk\r\nId: %s\r\nKey: k\r\nPatience: %d\r\nContent-Length: %d\r\n\r\n",
		path, k.id, slowTimeLimit.Milliseconds(), len(body))
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _, _ = c.Write(body) }()
	return k
}

// saysNotRun reads the head of the answer, and reports whether it says that the request has not
// run. A connection that has ended says nothing.
func (k slowCaller) saysNotRun() bool {
	_ = k.SetReadDeadline(time.Now().Add(slowServedWithin))
	resp, err := http.ReadResponse(bufio.NewReader(k), nil)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// ordinaryStatus sends an ordinary request and returns the status of its answer, zero for none.
func (f *fleet) ordinaryStatus() int {
	return f.send(f.request(http.MethodGet, slowOrdinaryPath, "")).status
}

// newSlowFleet starts a router with the budget slowBudget and one target with enough slots.
func newSlowFleet(t *testing.T, s script) *fleet {
	t.Helper()
	cfg := testConfig(t)
	cfg.MaxBufferedBytes = slowBudget
	f := newFleetWith(t, cfg, s)
	f.targets[0].Slots = 1000
	f.SetTargets(f.targets)
	return f
}

// exceptOrdinary answers ordinary requests with a small answer, and others as s does.
func exceptOrdinary(s script) script {
	return func(w net.Conn, r *http.Request) bool {
		if r.RequestURI == slowOrdinaryPath {
			return completeAnswer(w, r)
		}
		return s(w, r)
	}
}

// endlessEvents streams events of a size until the router closes the connection. All
// connections share their data, so that a blocked write takes up no memory of the test.
func endlessEvents(size int) script {
	data := []byte("data: " + strings.Repeat("x", size) + "\n\n")
	return func(w net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for n := 1; err == nil; n++ {
			id := fmt.Sprintf("id: %d\n", n)
			_, err = fmt.Fprintf(w, "%x\r\n%s", len(id)+len(data), id)
			if err == nil {
				_, err = w.Write(data)
			}
			if err == nil {
				_, err = io.WriteString(w, "\r\n")
			}
		}
		return false
	}
}

// checkMemory checks that what the router holds for slow readers stays within its budget, and
// that what it holds counts.
func (f *fleet) checkMemory(g Gomega, heapBefore int64) {
	g.Consistently(f.memory.used.Load, "300ms").Should(BeNumerically("<=", slowBudget))
	g.Expect(heapInUse()-heapBefore).To(BeNumerically("<", slowHeap), "what is held counts")
}

// checkOthersServed checks that an ordinary request is answered.
func (f *fleet) checkOthersServed(g Gomega) {
	g.Eventually(f.ordinaryStatus, slowServedWithin, "50ms").Should(Equal(http.StatusOK), "others are served")
}

// checkEnd lets slow callers read the heads of their answers and leave. A request that ran must
// not be reported as not run, all memory must be given back, and others must be served.
func (f *fleet) checkEnd(g Gomega, slow []slowCaller) {
	for _, k := range slow {
		if f.runsOf(k.id) > 0 {
			g.Expect(k.saysNotRun()).To(BeFalse(), "request %s ran", k.id)
		}
		_ = k.Close()
	}
	g.Eventually(f.memory.used.Load, slowServedWithin).Should(BeZero(), "all was given back")
	f.checkOthersServed(g)
}

// unreadAnswers are answers that their callers do not read.
type unreadAnswers struct {
	answer  script
	callers int
	path    string
}

// unreadWithin and unreadBeyond return answers that use up a part of the budget, and all of it.
func unreadWithin() map[string]unreadAnswers {
	return map[string]unreadAnswers{
		"answers within the budget": {exceptOrdinary(wholeSlowAnswer()), 3, "/ticket/1"},
		"small events":              {exceptOrdinary(endlessEvents(100)), 40, "/once/1"},
	}
}

func unreadBeyond() map[string]unreadAnswers {
	return map[string]unreadAnswers{
		"answers":                 {exceptOrdinary(wholeSlowAnswer()), 12, "/ticket/1"},
		"repeatable answers":      {exceptOrdinary(wholeSlowAnswer()), 12, "/lookup/1"},
		"large events":            {exceptOrdinary(endlessEvents(slowEvent)), 40, "/once/1"},
		"large events, resumable": {exceptOrdinary(endlessEvents(slowEvent)), 40, "/stream/1"},
	}
}

// wholeSlowAnswer answers with slowAnswer bytes.
func wholeSlowAnswer() script {
	return fixedAnswer(http.StatusOK, "Seal: s\r\n", strings.Repeat("x", slowAnswer))
}

// startUnread starts a router and the callers of u, and waits until their requests have come.
func startUnread(t *testing.T, u unreadAnswers) (f *fleet, heapBefore int64, slow []slowCaller) {
	t.Helper()
	f = newSlowFleet(t, u.answer)
	heapBefore = heapInUse()
	for n := range u.callers {
		slow = append(slow, f.newSlowCaller(NewWithT(t), n, u.path, nil))
	}
	eventually(t, "requests arrive", func() bool { return len(f.requestsSeen()) >= u.callers })
	return f, heapBefore, slow
}

// Guards against callers that do not read their answers, which fit in the budget, and keep
// others from being served, or take up more memory than what counts.
func TestCallersThatReadNothingWithinBudget(t *testing.T) {
	for name, u := range unreadWithin() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, heap, slow := startUnread(t, u)
			f.checkMemory(g, heap)
			f.checkOthersServed(g)
			f.checkEnd(g, slow)
		})
	}
}

// Guards against callers whose answers use up the budget: the router's memory grows beyond it,
// a request that ran is reported as not run as its answer has no room, or the budget stays used
// up after the callers have left.
func TestCallersThatReadNothingKeepMemoryBudget(t *testing.T) {
	for name, u := range unreadBeyond() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, heap, slow := startUnread(t, u)
			f.checkMemory(g, heap)
			f.checkEnd(g, slow)
		})
	}
}

// maxSlowCallers bounds the callers that are started until the budget is used up.
const maxSlowCallers = 100

// Guards against callers whose answers use up the budget for as long as they stay, so that
// nobody else is served even after the time limit of their requests.
func TestOthersAreServedBesideCallersThatReadNothing(t *testing.T) {
	for name, u := range unreadBeyond() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, heap, _ := startUnread(t, u)
			f.checkMemory(g, heap)
			for n := u.callers; n < maxSlowCallers && f.ordinaryStatus() == http.StatusOK; n++ {
				f.newSlowCaller(g, n, u.path, nil)
				time.Sleep(20 * time.Millisecond)
			}
			f.checkOthersServed(g)
		})
	}
}

// addUnreadingTarget adds a target that runs requests, reads bodies only if they fit in its
// kernel's buffer, and answers only requests that it has read.
func (f *fleet) addUnreadingTarget(g Gomega) {
	lc := net.ListenConfig{Control: limitReceiveBuffer}
	l, err := lc.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	stop := make(chan struct{})
	f.t.Cleanup(func() {
		close(stop)
		_ = l.Close()
	})
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for br := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			f.mu.Lock()
			f.received = append(f.received, receivedRequest{target: "unreading", header: r.Header, uri: r.RequestURI})
			f.mu.Unlock()
			if r.ContentLength > smallKernelBuffer {
				<-stop
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			completeAnswer(c, r)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	f.targets = []admitter.Target{{ID: "unreading", Pool: testPool, Slots: 1000, Incarnation: 1, Address: l.Addr().String()}}
	f.SetTargets(f.targets)
}

// Guards against targets that do not read request bodies: the bodies use up the memory, or the
// budget even after the requests' time limit, or a request that a target has is reported as not
// run.
func TestTargetsThatDoNotReadBodies(t *testing.T) {
	for name, c := range map[string]struct {
		callers int
		path    string
	}{
		"within the budget":            {1, "/ticket/1"},
		"beyond the budget":            {8, "/ticket/1"},
		"repeatable beyond the budget": {8, "/lookup/1"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newSlowFleet(t, completeAnswer)
			f.addUnreadingTarget(g)
			body := bytes.Repeat([]byte("x"), slowBody)
			heap := heapInUse()
			var slow []slowCaller
			for n := range c.callers {
				slow = append(slow, f.newSlowCaller(g, n, c.path, body))
			}
			eventually(t, "a request arrives", func() bool { return len(f.requestsSeen()) > 0 })
			f.checkMemory(g, heap)
			f.checkOthersServed(g)
			f.checkEnd(g, slow)
		})
	}
}

// Guards against a lack of memory at the router that counts as a failure of the target, which
// would then be avoided by all others.
func TestLackOfMemoryIsNoFailureOfTarget(t *testing.T) {
	g := NewWithT(t)
	cfg := testConfig(t)
	cfg.MaxBufferedBytes = initialBodySize
	f := newFleetWith(t, cfg, exceptOrdinary(wholeSlowAnswer()))
	a := f.send(f.request(http.MethodGet, "/lookup/1", ""))
	g.Expect(a.status).To(Equal(http.StatusBadGateway))
	g.Expect(f.requestsSeen()).To(HaveLen(1), "it is not sent again")
	scrape := httptest.NewRecorder()
	f.Metrics().ServeHTTP(scrape, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	g.Expect(scrape.Body.String()).To(ContainSubstring(`buckthorndrum_forwarder_sendings_total{result="left"} 1`))
}
