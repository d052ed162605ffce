package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
)

// endlessAnswer answers with a header that starts with head, and then with repeated
// without end.
func endlessAnswer(head, repeated string) script {
	return func(w net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\n%s", r.Header.Get("Id"), head)
		block := []byte(strings.Repeat(repeated, 1+4096/len(repeated)))
		for err == nil {
			_, err = w.Write(block)
		}
		return false
	}
}

// Targets that answer with bytes without end use a bounded part of the memory.
func TestEndlessAnswersStayWithinMemoryLimit(t *testing.T) {
	g := NewWithT(t)
	const limit = 8 << 20
	endless := []script{
		endlessAnswer("X: ", "x"),
		endlessAnswer("", "X: y\r\n"),
		endlessAnswer("\r\n", "x"),
		endlessAnswer("Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
		endlessAnswer("Content-Length: 99999999999\r\n\r\n", "x"),
		endlessAnswer("Content-Type: text/event-stream\r\n\r\n", "x"),
		endlessAnswer("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
		endlessAnswer("Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: x\r\n"),
		endlessAnswer("Transfer-Encoding: chunked\r\n\r\n1;", "x"),
		endlessAnswer("Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"),
	}
	f := newFleet(t, endless...)
	f.memory.limit = limit
	healthy := newFleet(t, completeAnswer)
	_ = healthy
	before := heapInUse()
	var highest int64
	var wait sync.WaitGroup
	for i := 0; i < 40; i++ {
		path := []string{"/ticket/1", "/lookup/1", "/once/1", "/stream/1"}[i%4]
		r := f.request(http.MethodPost, path, "x")
		r.Header.Set("Patience", "2000")
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := f.send(r)
			if !a.truncated && a.status < 500 {
				t.Errorf("%s was answered %d", path, a.status)
			}
		}()
	}
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
			highest = max(highest, f.memory.used.Load())
		}
	}
	g.Expect(highest).To(BeNumerically("<=", limit))
	g.Expect(f.memory.used.Load()).To(BeZero(), "all was given back")
	g.Expect(heapInUse() - before).To(BeNumerically("<", 4*limit))
}

// heapInUse returns the size of the heap in use after a collection, in bytes.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}

// The reserved memory never exceeds its limit and is released completely, whatever is
// read.
func TestMemoryBudgetBalances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := &memoryBudget{limit: int64(rapid.IntRange(1, 1<<16).Draw(t, "most"))}
		var open []*reservation
		for i := 0; i < 10; i++ {
			h := &reservation{budget: budget}
			n := rapid.IntRange(0, 1<<16).Draw(t, "bytes")
			length := int64(-1)
			if rapid.Bool().Draw(t, "stated") {
				length = int64(n)
			}
			b, err := h.readAll(strings.NewReader(strings.Repeat("x", n)), length, 1<<15)
			switch {
			case err == nil && (len(b) != n || n > 1<<15):
				t.Fatalf("%d bytes read of %d", len(b), n)
			case budget.used.Load() > budget.limit:
				t.Fatalf("%d bytes held of %d", budget.used.Load(), budget.limit)
			}
			open = append(open, h)
		}
		for _, h := range open {
			h.release()
		}
		if n := budget.used.Load(); n != 0 {
			t.Fatalf("%d bytes were not given back", n)
		}
	})
}

// A stream yields the same events however its bytes are divided into reads.
func TestEventsDoNotDependOnChunking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw, want := "", []string{}
		for i, n := 0, rapid.IntRange(0, 6).Draw(t, "events"); i < n; i++ {
			end := rapid.SampledFrom([]string{"\n\n", "\n\r\n"}).Draw(t, "end")
			want = append(want, fmt.Sprintf("id: %d\ndata: %s", i, rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "data"))+end)
			raw += want[i]
		}
		raw += "rest"
		p := &eventBuffer{memory: &reservation{budget: &memoryBudget{}}}
		got := []string{}
		for len(raw) > 0 {
			n := rapid.IntRange(1, len(raw)).Draw(t, "piece")
			if err := p.add([]byte(raw[:n])); err != nil {
				t.Fatal(err)
			}
			raw = raw[n:]
			for e := p.next(); e != nil; e = p.next() {
				got = append(got, string(e))
			}
			p.compact()
		}
		if strings.Join(got, "|") != strings.Join(want, "|") || string(p.data) != "rest" {
			t.Fatalf("got %q and %q, want %q", got, p.data, want)
		}
	})
}

// trickle sends the events up to last, and then piece, which is no event, every 20 ms
// until the router closes the connection.
func trickle(last int, piece string, closed chan struct{}) script {
	return func(w net.Conn, r *http.Request) bool {
		events(last, true, "")(dropFinalChunk{w}, r)
		for {
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				close(closed)
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// dropFinalChunk is a connection that leaves out the final chunk of a chunked body.
type dropFinalChunk struct{ net.Conn }

// Write implements io.Writer.
func (d dropFinalChunk) Write(b []byte) (int, error) {
	if string(b) == "0\r\n\r\n" {
		return len(b), nil
	}
	return d.Conn.Write(b)
}

// A stream is resumed on another target if its own sends no more events, but a byte, a
// comment or an empty event now and then.
func TestStalledStreamResumesOnAnotherTarget(t *testing.T) {
	for name, piece := range map[string]string{"bytes": "x", "comments": ": still here\n\n", "empty events": "\n\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			closed := make(chan struct{})
			stallOnce := firstThen(trickle(3, piece, closed), events(6, true, ""))
			f := newFleet(t, stallOnce, stallOnce)
			f.shortenObjectives()
			a := f.send(f.request(http.MethodPost, "/stream/1", "x"))
			g.Expect(a.truncated).To(BeFalse())
			g.Expect(withoutComments(a.body)).To(Equal(numberedEvents(1, 6)))
			g.Eventually(closed, "2s").Should(BeClosed())
		})
	}
}

// withoutComments drops everything from a stream but its events.
func withoutComments(body string) string {
	kept := ""
	for _, e := range strings.SplitAfter(body, "\n\n") {
		if strings.HasPrefix(e, "id:") {
			kept += e
		}
	}
	return kept
}

// shortenObjectives sets latency objectives so short that streams soon count as
// stalled.
func (f *fleet) shortenObjectives() {
	routes := testRoutes()
	for i := range routes {
		routes[i].LatencyObjective = 100 * time.Millisecond
	}
	f.SetSnapshot(NewSnapshot(2, Limits{}, routes, []Pool{{ID: testPool}}, []Workspace{{ID: "w", Keys: []string{"k"}}}))
}

// A stalled stream that no other target can resume ends at its time limit, and not
// before.
func TestStalledNonResumableStreamEndsAtTimeLimit(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	f := newFleet(t, trickle(2, "x", closed))
	f.shortenObjectives()
	r := f.request(http.MethodPost, "/once/1", "x")
	r.Header.Set("Patience", "1600")
	began := time.Now()
	a := f.send(r)
	g.Expect(a.truncated).To(BeTrue())
	g.Expect(a.body).To(Equal(numberedEvents(1, 2)))
	g.Expect(time.Since(began)).To(BeNumerically(">", 1500*time.Millisecond))
	g.Eventually(closed, "2s").Should(BeClosed())
}

// A stream that is slow but makes progress is not aborted, however long it lasts.
func TestSlowStreamIsNotAborted(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, func(w net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := 1; i <= 4; i++ {
			time.Sleep(700 * time.Millisecond)
			writeChunk(w, fmt.Sprintf("id: %d\ndata: d%d\n\n", i, i))
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}, completeAnswer)
	f.SetTargets(f.targets[:1])
	f.shortenObjectives()
	a := f.send(f.request(http.MethodPost, "/stream/1", "x"))
	g.Expect(a.truncated).To(BeFalse())
	g.Expect(a.body).To(Equal(numberedEvents(1, 4)))
	g.Expect(f.requestsSeen()).To(HaveLen(1))
}

// A closed connection ends an answer of HTTP/1.0. A stream that is interrupted must not
// look complete to such callers either.
func TestTruncatedStreamResetsHTTP10Connection(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, events(3, false, ""))
	c, err := net.Dial("tcp4", f.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /once/1 HTTP/1.0\r\nHost: desk\r\nId: id1\r\nKey: k\r\nContent-Length: 1\r\n\r\nx")
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	_, err = io.ReadAll(c)
	g.Expect(err).To(MatchError(ContainSubstring("reset")))
}

// The router waits for a body that never comes no longer than the request's time limit.
func TestMissingBodyTimesOut(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 10\r\n\r\nx", "chunks": "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, completeAnswer)
			c, err := net.Dial("tcp4", f.address)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, "POST /ticket/1 HTTP/1.1\r\nHost: desk\r\nId: id1\r\nKey: k\r\nPatience: 200\r\n"+head)
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			g.Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
			g.Expect(resp.Close).To(BeTrue())
			g.Expect(f.requestsSeen()).To(BeEmpty())
		})
	}
}

// A request whose body comes slowly but in time is served. The read deadline of its
// body does not apply to the next request on the connection, which comes after that
// deadline.
func TestSlowBodyIsServed(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	c, err := net.Dial("tcp4", f.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for i := 0; i < 2; i++ {
		_, _ = io.WriteString(c, "POST /ticket/1 HTTP/1.1\r\nHost: desk\r\nId: id1\r\nKey: k\r\nPatience: 300\r\nContent-Length: 2\r\n\r\nx")
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, "y")
		resp, err := http.ReadResponse(br, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		_, _ = io.Copy(io.Discard, resp.Body)
		g.Expect(resp.Body.Close()).To(Succeed())
		time.Sleep(350 * time.Millisecond)
	}
}

// When a stop closes the port, connections that wait in the kernel's accept queue, and
// those just accepted, are still served.
func TestStopServesQueuedConnections(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	f.configure(1)
	stop := make(chan struct{})
	var n, truncated atomic.Int64
	var wait sync.WaitGroup
	for i := 0; i < 8; i++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.Dial("tcp4", f.address)
				if err != nil {
					return
				}
				n.Add(1)
				if sendOn(c).truncated {
					truncated.Add(1)
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	g.Expect(f.Drain(ctx)).To(Succeed())
	close(stop)
	wait.Wait()
	g.Expect(n.Load()).To(BeNumerically(">", 100))
	g.Expect(truncated.Load()).To(BeZero(), "of %d", n.Load())
}

// sendOn sends a request on a new connection and closes it.
func sendOn(c net.Conn) callerAnswer {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, "GET /lookup/1 HTTP/1.1\r\nHost: desk\r\nId: id1\r\nKey: k\r\n\r\n"); err != nil {
		return callerAnswer{truncated: true}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return callerAnswer{truncated: true}
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return callerAnswer{status: resp.StatusCode, truncated: err != nil}
}

// A check for a stall that runs just as its stream ends neither takes a retry from the
// budget nor sets the timer again.
func TestEndedStreamIsNotReportedStalled(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, completeAnswer)
	watch := &stallWatch{timeout: time.Millisecond, timer: time.NewTimer(time.Hour)}
	watch.lastEventAt.Store(int64(clocker.Now().Add(-time.Second)))
	watch.stop()
	f.checkStall(watch, testPool, admitter.Request{Pool: testPool}, nil)
	g.Expect(watch.stalled.Load()).To(BeFalse())
	g.Expect(watch.timer.Stop()).To(BeFalse(), "it is not set again")
}
