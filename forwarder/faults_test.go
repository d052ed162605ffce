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

// pours answers with a head and then bytes without end.
func pours(head, again string) script {
	return func(w net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\n%s", r.Header.Get("Id"), head)
		more := []byte(strings.Repeat(again, 1+4096/len(again)))
		for err == nil {
			_, err = w.Write(more)
		}
		return false
	}
}

// Targets that answer with bytes without end cost a bounded part of the memory, and
// callers of sound targets are served meanwhile.
func TestAnswersWithoutEndKeepTheMemoryBound(t *testing.T) {
	g := NewWithT(t)
	const most = 8 << 20
	endless := []script{
		pours("X: ", "x"),
		pours("", "X: y\r\n"),
		pours("\r\n", "x"),
		pours("Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
		pours("Content-Length: 99999999999\r\n\r\n", "x"),
		pours("Content-Type: text/event-stream\r\n\r\n", "x"),
		pours("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
		pours("Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: x\r\n"),
		pours("Transfer-Encoding: chunked\r\n\r\n1;", "x"),
		pours("Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"),
	}
	f := newFleet(t, endless...)
	f.memory.limit = most
	sound := newFleet(t, whole)
	_ = sound
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
			if !a.broken && a.status < 500 {
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
	g.Expect(highest).To(BeNumerically("<=", most))
	g.Expect(f.memory.used.Load()).To(BeZero(), "all was given back")
	g.Expect(heapInUse() - before).To(BeNumerically("<", 4*most))
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}

// The memory that is held never passes its bound and is given back, whatever is
// read.
func TestLedgerAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &memoryBudget{limit: int64(rapid.IntRange(1, 1<<16).Draw(t, "most"))}
		var open []*reservation
		for i := 0; i < 10; i++ {
			h := &reservation{budget: l}
			n := rapid.IntRange(0, 1<<16).Draw(t, "bytes")
			length := int64(-1)
			if rapid.Bool().Draw(t, "stated") {
				length = int64(n)
			}
			b, err := h.readAll(strings.NewReader(strings.Repeat("x", n)), length, 1<<15)
			switch {
			case err == nil && (len(b) != n || n > 1<<15):
				t.Fatalf("%d bytes read of %d", len(b), n)
			case l.used.Load() > l.limit:
				t.Fatalf("%d bytes held of %d", l.used.Load(), l.limit)
			}
			open = append(open, h)
		}
		for _, h := range open {
			h.release()
		}
		if n := l.used.Load(); n != 0 {
			t.Fatalf("%d bytes were not given back", n)
		}
	})
}

// However a stream is cut into pieces, the same events come out.
func TestEventsDoNotDependOnThePieces(t *testing.T) {
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

// trickles sends events, and then a piece now and then that is none, until the
// router closes the connection.
func trickles(to int, piece string, gone chan struct{}) script {
	return func(w net.Conn, r *http.Request) bool {
		events(to, true, "")(discardEnd{w}, r)
		for {
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				close(gone)
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// discardEnd leaves out the last chunk.
type discardEnd struct{ net.Conn }

// Write implements io.Writer.
func (d discardEnd) Write(b []byte) (int, error) {
	if string(b) == "0\r\n\r\n" {
		return len(b), nil
	}
	return d.Conn.Write(b)
}

// A stream whose target sends no event any more, but a byte, a comment or an empty
// event now and then, goes on at another one.
func TestStalledStreamGoesOnElsewhere(t *testing.T) {
	for name, piece := range map[string]string{"bytes": "x", "comments": ": still here\n\n", "empty events": "\n\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			gone := make(chan struct{})
			turn := firstThen(trickles(3, piece, gone), events(6, true, ""))
			f := newFleet(t, turn, turn)
			f.shortAim()
			a := f.send(f.request(http.MethodPost, "/stream/1", "x"))
			g.Expect(a.broken).To(BeFalse())
			g.Expect(withoutComments(a.body)).To(Equal(numbered(1, 6)))
			g.Eventually(gone, "2s").Should(BeClosed())
		})
	}
}

// withoutComments drops what is no event.
func withoutComments(body string) string {
	kept := ""
	for _, e := range strings.SplitAfter(body, "\n\n") {
		if strings.HasPrefix(e, "id:") {
			kept += e
		}
	}
	return kept
}

// shortAim lets streams count as stalled soon.
func (f *fleet) shortAim() {
	routes := testRoutes()
	for i := range routes {
		routes[i].LatencyObjective = 100 * time.Millisecond
	}
	f.SetSnapshot(NewSnapshot(2, Limits{}, routes, []Pool{{ID: testPool}}, []Workspace{{ID: "w", Keys: []string{"k"}}}))
}

// A stalled stream that may not go on elsewhere ends at its time limit, and not
// before.
func TestStalledStreamThatMayNotBeResumedEndsInTime(t *testing.T) {
	g := NewWithT(t)
	gone := make(chan struct{})
	f := newFleet(t, trickles(2, "x", gone))
	f.shortAim()
	r := f.request(http.MethodPost, "/once/1", "x")
	r.Header.Set("Patience", "1600")
	began := time.Now()
	a := f.send(r)
	g.Expect(a.broken).To(BeTrue())
	g.Expect(a.body).To(Equal(numbered(1, 2)))
	g.Expect(time.Since(began)).To(BeNumerically(">", 1500*time.Millisecond))
	g.Eventually(gone, "2s").Should(BeClosed())
}

// A stream that is slow and sound is left alone, however long it lasts.
func TestSlowStreamIsNotCut(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, func(w net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := 1; i <= 4; i++ {
			time.Sleep(700 * time.Millisecond)
			chunk(w, fmt.Sprintf("id: %d\ndata: d%d\n\n", i, i))
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}, whole)
	f.SetTargets(f.list[:1])
	f.shortAim()
	a := f.send(f.request(http.MethodPost, "/stream/1", "x"))
	g.Expect(a.broken).To(BeFalse())
	g.Expect(a.body).To(Equal(numbered(1, 4)))
	g.Expect(f.seen()).To(HaveLen(1))
}

// An answer of a stream that breaks off is no whole one for callers of HTTP/1.0
// either, to whom a closed connection is its end.
func TestBrokenStreamLooksBrokenToOldCallers(t *testing.T) {
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

// A body that never comes is waited for no longer than its request may take.
func TestBodyThatNeverComesEndsInTime(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 10\r\n\r\nx", "chunks": "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, whole)
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
			g.Expect(f.seen()).To(BeEmpty())
		})
	}
}

// A request whose body came slowly, but in time, is served, and so is the next one
// on its connection once more time than that has passed.
func TestSlowBodyIsServed(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, whole)
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

// Connections that wait in the kernel's queue, and those just accepted, are served
// when a stop closes the port.
func TestStopServesWhatWaitsInTheQueue(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, whole)
	f.configure(1)
	stop := make(chan struct{})
	var n, cut atomic.Int64
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
				if askOn(c).broken {
					cut.Add(1)
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
	g.Expect(cut.Load()).To(BeZero(), "of %d", n.Load())
}

// askOn sends a request on a new connection.
func askOn(c net.Conn) got {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, "GET /lookup/1 HTTP/1.1\r\nHost: desk\r\nId: id1\r\nKey: k\r\n\r\n"); err != nil {
		return got{broken: true}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return got{broken: true}
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return got{status: resp.StatusCode, broken: err != nil}
}

// A watch that is just looking as its stream ends neither takes a retry for it nor
// goes on looking.
func TestStreamThatHasEndedIsNotFoundStalled(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, whole)
	s := &stallWatch{timeout: time.Millisecond, timer: time.NewTimer(time.Hour)}
	s.lastEventAt.Store(int64(clocker.Now().Add(-time.Second)))
	s.stop()
	f.checkStall(s, testPool, admitter.Ask{Pool: testPool}, nil)
	g.Expect(s.stalled.Load()).To(BeFalse())
	g.Expect(s.timer.Stop()).To(BeFalse(), "it is not set again")
}
