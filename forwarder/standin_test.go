package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"buckthorndrum/admitter"
	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// testDialect has headers of its own.
type testDialect struct{}

func (testDialect) ReadRequest(h http.Header) RequestInfo {
	f := RequestInfo{ID: identifier.Request(h.Get("Id")), Key: h.Get("Key"), LastEventID: h.Get("After"), Model: h.Get("Model")}
	if ms, err := strconv.Atoi(h.Get("Patience")); err == nil {
		f.Timeout = time.Duration(ms) * time.Millisecond
	}
	f.MaxReadDelay, _ = time.ParseDuration(h.Get("Unread"))
	if f.Model != "" {
		f.PromptTokens, f.MaxOutputTokens = 100, 10
		f.PromptPrefix = []admitter.Part{{ID: 1, Tokens: 50}, {ID: 2, Tokens: 50}}
	}
	return f
}

func (testDialect) WriteRequest(h http.Header, s Attempt) {
	h.Del("Key")
	h.Set("To", string(s.Target))
	h.Set("Workspace", string(s.Workspace))
	h.Set("Left", strconv.FormatInt(s.Remaining.Milliseconds(), 10))
	if s.LastEventID != "" {
		h.Set("After", s.LastEventID)
	}
}

func (testDialect) ReadAnswer(status int, h http.Header) AnswerInfo {
	return AnswerInfo{NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest, Genuine: h.Get("Seal") != "",
		Leaving: h.Get("Leaving") != "", Pause: permitter.ReadPause(h["Pause"])}
}

// arrival is a request as a target has seen it.
type arrival struct {
	target string
	header http.Header
	uri    string
	body   string
}

// fleet is a router with scripted targets.
type fleet struct {
	*Forwarder
	t        testing.TB
	address  string
	mu       sync.Mutex
	arrivals []arrival
	// open counts the connections to each target.
	open map[string]int
	list []admitter.Target
}

// script answers one request on its connection. The connection is closed when it
// returns false.
type script func(w net.Conn, r *http.Request) bool

const testPool = identifier.Pool("pool")

// newFleet starts a router and a target for each script.
func newFleet(t testing.TB, scripts ...script) *fleet {
	t.Helper()
	return newFleetOf(t, testConfig(t), scripts...)
}

// testConfig returns the settings of a router on a free port.
func testConfig(t testing.TB) Config {
	t.Helper()
	return Config{
		Listen: freeAddress(t), Name: "router", Dialect: testDialect{}, Log: zap.NewNop(), MaxCallers: 1000,
		Identify: func(h http.Header) string { return h.Get("Id") },
		Tunables: Tunables{MaxProofAge: time.Minute, RetryBudget: RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Extra: 100}},
	}
}

// newFleetOf starts a router with some settings, and its targets.
func newFleetOf(t testing.TB, cfg Config, scripts ...script) *fleet {
	t.Helper()
	f := &fleet{t: t, address: cfg.Listen, open: map[string]int{}}
	router, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	f.Forwarder = router
	t.Cleanup(router.Stop)
	for i, s := range scripts {
		f.addTarget(fmt.Sprintf("t%d", i), s)
	}
	f.configure(1)
	f.ConfirmFreshness(clocker.Now(), 1)
	return f
}

func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// testRoutes has a route of each sort under its own prefix.
func testRoutes() []Route {
	split := []PoolWeight{{Pool: testPool, Weight: 1}}
	base := Route{Host: "desk", Timeout: 5 * time.Second, LatencyObjective: time.Second, MaxRuns: 2, Split: split}
	routes := make([]Route, 0, 5)
	for _, r := range []Route{
		{Prefix: "/ticket/"},
		{Prefix: "/lookup/", Repeatable: true},
		{Prefix: "/stream/", Stream: true, Resumable: true},
		{Prefix: "/once/", Stream: true},
		{Prefix: "/open/", Public: true, Repeatable: true},
		{Prefix: "/short/", Timeout: 200 * time.Millisecond},
	} {
		to := base
		to.Prefix, to.Kind = r.Prefix, identifier.Kind(r.Prefix)
		to.Repeatable, to.Stream, to.Resumable, to.Public = r.Repeatable, r.Stream, r.Resumable, r.Public
		if r.Timeout > 0 {
			to.Timeout = r.Timeout
		}
		routes = append(routes, to)
	}
	return routes
}

// configure adopts a configuration with key "k" of workspace "w".
func (f *fleet) configure(r identifier.Revision) {
	f.SetSnapshot(NewSnapshot(r, Limits{}, testRoutes(), []Pool{{ID: testPool}}, []Workspace{{ID: "w", Keys: []string{"k"}}}))
}

func (f *fleet) addTarget(id string, s script) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serveTarget(id, c, s)
		}
	}()
	f.list = append(f.list, admitter.Target{ID: identifier.Target(id), Pool: testPool, Slots: 8, Start: 1, Address: l.Addr().String()})
	f.SetTargets(f.list)
}

func (f *fleet) serveTarget(id string, c net.Conn, s script) {
	f.opened(id, 1)
	defer func() {
		_ = c.Close()
		f.opened(id, -1)
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.arrivals = append(f.arrivals, arrival{target: id, header: r.Header, uri: r.RequestURI, body: string(body)})
		f.mu.Unlock()
		if !s(c, r) {
			return
		}
	}
}

func (f *fleet) opened(id string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[id] += n
}

func (f *fleet) seen() []arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]arrival(nil), f.arrivals...)
}

// request returns a caller's request with a key.
func (f *fleet) request(method, path, body string) *http.Request {
	r, err := http.NewRequest(method, "http://"+f.address+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	if body != "" {
		r, _ = http.NewRequest(method, "http://"+f.address+path, stringBody(body))
	}
	r.Host = "desk"
	r.Header.Set("Key", "k")
	r.Header.Set("Id", "id1")
	return r
}

// got is what a caller has got.
type got struct {
	status int
	header http.Header
	body   string
	// broken tells that the answer broke off.
	broken bool
	// closing tells that the router asked to close the connection.
	closing bool
}

func (f *fleet) send(r *http.Request) got {
	f.t.Helper()
	resp, err := (&http.Transport{DisableCompression: true, IdleConnTimeout: time.Millisecond}).RoundTrip(r)
	if err != nil {
		return got{broken: true}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return got{status: resp.StatusCode, header: resp.Header, body: string(body), broken: err != nil, closing: resp.Close}
}

func reply(w io.Writer, r *http.Request, status int, header, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d x\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), header, len(body), body)
}

// replies answers each request alike.
func replies(status int, header, body string) script {
	return func(w net.Conn, r *http.Request) bool {
		reply(w, r, status, header, body)
		return true
	}
}

// hangs answers nothing, and closes gone when the router has closed the connection.
func hangs(gone chan struct{}) script {
	return func(w net.Conn, _ *http.Request) bool {
		_, _ = w.Read(make([]byte, 1))
		close(gone)
		return false
	}
}

var (
	whole  = replies(http.StatusOK, "Seal: s\r\n", "whole")
	notRun = replies(http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")
)

func cut(w net.Conn, _ *http.Request) bool {
	_ = w.(*net.TCPConn).SetLinger(0)
	return false
}

func half(w net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("Id"))
	return false
}

// events streams the events up to a last one, from where the caller is, and ends the stream if
// it is complete.
func events(to int, complete bool, tail string) script {
	return func(w net.Conn, r *http.Request) bool {
		from := 1
		if n, err := strconv.Atoi(r.Header.Get("After")); err == nil {
			from = n + 1
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := from; i <= to; i++ {
			chunk(w, fmt.Sprintf("id: %d\ndata: d%d\n\n", i, i))
		}
		if tail != "" {
			chunk(w, tail)
		}
		if complete {
			_, _ = io.WriteString(w, "0\r\n\r\n")
		}
		return complete
	}
}

// firstThen plays one script at the first arrival, at whichever target that is,
// and another at all others.
func firstThen(first, rest script) script {
	var turns atomic.Int64
	return func(w net.Conn, r *http.Request) bool {
		if turns.Add(1) == 1 {
			return first(w, r)
		}
		return rest(w, r)
	}
}

func chunk(w io.Writer, s string) { _, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(s), s) }

// numbered returns the events that a caller has to get.
func numbered(from, to int) string {
	s := ""
	for i := from; i <= to; i++ {
		s += fmt.Sprintf("id: %d\ndata: d%d\n\n", i, i)
	}
	return s
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	gomega.NewWithT(t).Eventually(ok, "3s", "5ms").Should(gomega.BeTrue(), what)
}
