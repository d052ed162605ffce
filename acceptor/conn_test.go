package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/clocker"
)

// port is an HTTP server on a listener.
type port struct {
	*Listener
	t       *testing.T
	tracker *ConnTracker
}

// serve starts a server on a listener of the given configuration.
func serve(t *testing.T, cfg Config, h http.HandlerFunc) port {
	t.Helper()
	cfg.Network, cfg.Address = "tcp4", "127.0.0.1:0"
	l, err := Listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	p := port{l, t, NewConnTracker(0)}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: MaxHeadBytes, ConnState: p.tracker.SetState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return WithConnection(ctx, c, 0) }}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return p
}

// dial opens a connection and sends parts, with a pause after each.
func (p port) dial(parts ...string) net.Conn {
	p.t.Helper()
	c, err := net.Dial("tcp4", p.Addr().String())
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	for _, part := range parts {
		_, _ = io.WriteString(c, part)
		time.Sleep(2 * time.Millisecond)
	}
	return c
}

// received is a response as a caller received it, with what the handler saw in its body.
type received struct {
	status int
	header http.Header
	body   string
	closed bool
}

// responses reads all responses on a connection until it is closed or want were read.
func responses(t *testing.T, c net.Conn, want int) []received {
	t.Helper()
	br := bufio.NewReader(c)
	var all []received
	for len(all) < want {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Logf("response %d: %v", len(all), err)
			return all
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, received{resp.StatusCode, resp.Header, string(body), resp.Close})
	}
	return all
}

// describe answers with what the handler saw of the request.
func describe(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %v %q %d %v", r.Method, r.RequestURI, r.Header, body, len(r.Trailer), err)
}

// exchanges are the bytes that a caller sends, with the number of responses.
var exchanges = map[string]struct {
	sent  string
	count int
}{
	"get":               {"GET /a HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n", 1},
	"pipelined":         {"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\nGET /c HTTP/1.1\r\nHost: h\r\n\r\n", 3},
	"length":            {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhelloGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 2},
	"same length twice": {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\ncontent-length: 5\r\n\r\nhelloGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 2},
	"chunks":            {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\nA\r\n0123456789\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 2},
	"trailers":          {"POST /a HTTP/1.1\r\nHost: h\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nT: u\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 2},
	"empty line first":  {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 2},
	"newlines":          {"GET /a HTTP/1.1\nHost: h\nA: b\n\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 2},
	"folded":            {"GET /a HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 2},
	"many lines":        {"GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 2000) + "\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 2},
	"old keep-alive":    {"POST /a HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nhelloGET /b HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", 2},
	"continue":          {"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhelloGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 3},
	"large body":        {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("b", 20000) + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n", 2},
}

// Requests are the same as net/http alone reads them, in whatever parts they arrive, also on
// pipelined and kept connections. A reader that finds another end of a request would lose
// or mix requests.
func TestRequestsAreReadAsByServer(t *testing.T) {
	for name, e := range exchanges {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			budget := NewHeadBudget(1 << 20)
			p := serve(t, Config{Budget: budget}, describe)
			plain := &http.Server{Handler: http.HandlerFunc(describe), ReadHeaderTimeout: time.Second}
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			go func() { _ = plain.Serve(l) }()
			defer func() { _ = plain.Close() }()
			c, err := net.Dial("tcp4", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			_, _ = io.WriteString(c, e.sent)
			want := responses(t, c, e.count)
			g.Expect(want).To(HaveLen(e.count))
			for _, size := range []int{len(e.sent), 4096, 1000, 37, 3, 1} {
				if len(e.sent)/size > 2000 {
					continue
				}
				var parts []string
				for rest := e.sent; rest != ""; {
					n := min(size, len(rest))
					parts, rest = append(parts, rest[:n]), rest[n:]
				}
				got := responses(t, p.dial(parts...), e.count)
				g.Expect(got).To(HaveLen(e.count), "in parts of %d bytes", size)
				for i := range got {
					g.Expect(got[i].status).To(Equal(want[i].status))
					g.Expect(got[i].body).To(Equal(want[i].body), "response %d, parts of %d bytes", i, size)
				}
			}
			g.Eventually(budget.AcceptedBytes, "2s").Should(BeZero(), "all reservations are released")
			g.Expect(budget.PartialBytes()).To(BeZero())
		})
	}
}

// Each request that is not accepted gets a complete response that says so and closes the
// connection, and is counted under its reason.
func TestRejectedRequestsGetCompleteResponses(t *testing.T) {
	for name, c := range map[string]struct {
		sent   []string
		status int
		reason Rejection
	}{
		"too many bytes":      {[]string{"GET / HTTP/1.1\r\n", strings.Repeat("A: b\r\n", 1000)}, 431, HeadTooLarge},
		"too many at once":    {[]string{"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 400) + "\r\n"}, 431, HeadTooLarge},
		"long request line":   {[]string{"GET /" + strings.Repeat("a", 5000)}, 431, HeadTooLarge},
		"no colon":            {[]string{"GET / HTTP/1.1\r\nHost\r\n"}, 400, HeadMalformed},
		"space in name":       {[]string{"GET / HTTP/1.1\r\nHost : h\r\n"}, 400, HeadMalformed},
		"folded first line":   {[]string{"GET / HTTP/1.1\r\n Host: h\r\n"}, 400, HeadMalformed},
		"two lengths":         {[]string{"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n"}, 400, HeadMalformed},
		"folded length":       {[]string{"GET / HTTP/1.1\r\nContent-Length: 1\r\n 2\r\n"}, 400, HeadMalformed},
		"empty lines":         {[]string{strings.Repeat("\r\n", 100)}, 400, HeadMalformed},
		"trickled lines":      {strings.Split("\r\n\r\n\r\n\r\n\r\n", ""), 400, HeadMalformed},
		"does not end":        {[]string{"GET / HTTP/1.1\r\n"}, 408, HeadTooLate},
		"costs more than all": {[]string{"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A:\r\n", 300) + "\r\n"}, 503, NoHeadMemory},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			budget := NewHeadBudget(64 << 10)
			wait := make(chan struct{})
			p := serve(t, Config{Budget: budget, Heads: HeadLimits{MaxBytes: 2000, Timeout: 200 * time.Millisecond}}, func(http.ResponseWriter, *http.Request) { <-wait })
			defer close(wait)
			_ = p.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			g.Eventually(budget.AcceptedBytes, "2s").Should(BeNumerically(">", 0))
			conn := p.dial(c.sent...)
			got := responses(t, conn, 2)
			g.Expect(got).To(HaveLen(1))
			g.Expect(got[0].status).To(Equal(c.status))
			g.Expect(got[0].closed).To(BeTrue())
			g.Expect(got[0].body).NotTo(BeEmpty())
			g.Expect(got[0].header.Get("Retry-After") != "").To(Equal(c.status == 503))
			g.Expect(budget.Rejected(c.reason)).To(BeEquivalentTo(1))
			g.Expect(budget.PartialBytes()).To(BeZero())
		})
	}
}

// A single request with as many header lines as fit in its limit is served.
func TestRequestOfManyLinesIsServed(t *testing.T) {
	g := NewWithT(t)
	p := serve(t, Config{Budget: NewHeadBudget(1 << 10), Heads: HeadLimits{MaxBytes: 20 << 10}}, describe)
	got := responses(t, p.dial("GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A:\r\n", 4000)+"\r\n"), 1)
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].status).To(Equal(http.StatusOK))
}

// Beyond the budget of incomplete heads, the connection whose head began first is closed. A
// connection whose request was accepted is not.
func TestOldestIncompleteHeadIsClosedFirst(t *testing.T) {
	g := NewWithT(t)
	budget := NewHeadBudget(partialShare * 5000)
	budget.acceptedLimit = 0
	release := make(chan struct{})
	p := serve(t, Config{Budget: budget}, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "served")
	})
	accepted := p.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	first := p.dial("GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 900))
	g.Eventually(budget.PartialBytes, "2s").Should(BeNumerically(">", 900))
	second := p.dial("GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 1900), "a")
	_, err := first.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	g.Expect(err).NotTo(MatchError(ContainSubstring("timeout")))
	g.Expect(budget.Rejected(PartialHeadsTooLarge)).To(BeEquivalentTo(1))
	close(release)
	_, _ = io.WriteString(second, "\r\n\r\n")
	for _, c := range []net.Conn{accepted, second} {
		got := responses(t, c, 1)
		g.Expect(got).To(HaveLen(1))
		g.Expect(got[0].body).To(Equal("served"))
	}
}

// Idle connections make room for new ones beyond the bound, as they would keep others from
// the port, but not one on which a request is arriving.
func TestKeptConnectionsMakeRoom(t *testing.T) {
	g := NewWithT(t)
	budget := NewHeadBudget(0)
	p := serve(t, Config{Budget: budget, MaxConns: 2}, describe)
	idle := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.idle.Len()
	}
	arriving := p.dial("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(responses(t, arriving, 1)).To(HaveLen(1))
	g.Eventually(idle, "2s").Should(Equal(1))
	kept := p.dial("GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(responses(t, kept, 1)).To(HaveLen(1))
	g.Eventually(idle, "2s").Should(Equal(2))
	_, _ = io.WriteString(arriving, "GET /a HT")
	time.Sleep(20 * time.Millisecond)
	fresh := p.dial("GET /c HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(responses(t, fresh, 1)).To(HaveLen(1))
	_, err := kept.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	_, _ = io.WriteString(arriving, "TP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(responses(t, arriving, 1)).To(HaveLen(1))
	g.Expect(budget.Rejected(TooManyConnections)).To(BeEquivalentTo(1))
}

// Beyond the bound on connections, the one that has waited longest for its first complete
// head is closed, and the new one if there is none.
func TestConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	budget, release := NewHeadBudget(0), make(chan struct{})
	p := serve(t, Config{Budget: budget, MaxConns: 2}, func(w http.ResponseWriter, _ *http.Request) { <-release })
	served := p.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	silent := p.dial()
	g.Eventually(p.tracker.Count, "2s").Should(Equal(2))
	alsoServed := p.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := silent.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	g.Eventually(p.tracker.Count, "2s").Should(Equal(2))
	refused := p.dial()
	_, err = refused.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
	g.Expect(budget.Rejected(TooManyConnections)).To(BeEquivalentTo(2))
	close(release)
	g.Expect(responses(t, served, 1)).To(HaveLen(1))
	g.Expect(responses(t, alsoServed, 1)).To(HaveLen(1))
}

// A connection on which a request is arriving is not closed as idle while the router stops.
// Its request would be lost.
func TestDrainServesRequestWhoseHeadIsArriving(t *testing.T) {
	g := NewWithT(t)
	p := serve(t, Config{}, describe)
	kept := p.dial("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(responses(t, kept, 1)).To(HaveLen(1))
	_, _ = io.WriteString(kept, "G")
	fresh := p.dial("GET /2 HT")
	time.Sleep(10 * time.Millisecond)
	p.tracker.CloseIdle(clocker.Now().Add(time.Hour), 0)
	_, _ = io.WriteString(kept, "ET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	_, _ = io.WriteString(fresh, "TP/1.1\r\nHost: h\r\n\r\n")
	for _, c := range []net.Conn{kept, fresh} {
		got := responses(t, c, 1)
		g.Expect(got).To(HaveLen(1))
		g.Expect(got[0].status).To(Equal(http.StatusOK))
	}
	g.Eventually(func() int {
		p.tracker.CloseIdle(clocker.Now().Add(time.Hour), 0)
		return p.tracker.Count()
	}, "2s").Should(BeZero())
}

// The server learns that a caller has disconnected while its request is served, and bytes
// of a next request do not count as the end.
func TestDisconnectIsNoticedWhileServing(t *testing.T) {
	g := NewWithT(t)
	ended, looked := make(chan bool, 1), make(chan bool, 1)
	p := serve(t, Config{}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pipelined" {
			time.Sleep(50 * time.Millisecond)
			looked <- CallerDisconnected(r)
			return
		}
		select {
		case <-r.Context().Done():
			ended <- true
		case <-time.After(2 * time.Second):
			ended <- false
		}
	})
	_ = p.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n").Close()
	g.Expect(<-ended).To(BeTrue())
	pipelined := p.dial("GET /pipelined HTTP/1.1\r\nHost: h\r\n\r\nGET /pipelined HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(<-looked).To(BeFalse())
	g.Expect(responses(t, pipelined, 2)).To(HaveLen(2))
}

// A connection that is taken over by its handler is passed through, as links of WebSocket
// are.
func TestHijackedConnectionIsPassedThrough(t *testing.T) {
	g := NewWithT(t)
	p := serve(t, Config{}, func(w http.ResponseWriter, _ *http.Request) {
		c, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "ready")
		_, _ = io.Copy(c, rw)
	})
	c := p.dial("GET / HTTP/1.1\r\nHost: h\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n")
	ready := make([]byte, 5)
	_, err := io.ReadFull(c, ready)
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = io.WriteString(c, "no head\r\n\r\n")
	echoed := make([]byte, 11)
	_, err = io.ReadFull(c, echoed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(echoed)).To(Equal("no head\r\n\r\n"))
}
