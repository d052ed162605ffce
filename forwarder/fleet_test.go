package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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

// testDialect is a Dialect with header names of its own.
type testDialect struct{}

func (testDialect) ReadRequest(h http.Header) RequestInfo {
	f := RequestInfo{ID: identifier.Request(h.Get("Id")), Key: h.Get("Key"), LastEventID: h.Get("After"), Resumes: identifier.Request(h.Get("Resumes")), Model: h.Get("Model")}
	if ms, err := strconv.Atoi(h.Get("Patience")); err == nil {
		f.Timeout = time.Duration(ms) * time.Millisecond
	}
	f.MaxReadDelay, _ = time.ParseDuration(h.Get("Unread"))
	if f.Model != "" {
		f.PromptTokens, f.MaxOutputTokens = 100, 10
		f.PromptPrefix = []admitter.PromptSegment{{ID: 1, Tokens: 50}, {ID: 2, Tokens: 50}}
		if parts := h.Get("Parts"); parts != "" {
			f.PromptPrefix = testParts(parts)
		}
	}
	return f
}

// testParts returns prompt segments with the given ids, separated by commas.
func testParts(ids string) []admitter.PromptSegment {
	var list []admitter.PromptSegment
	for _, v := range strings.Split(ids, ",") {
		id, _ := strconv.ParseUint(v, 10, 64)
		list = append(list, admitter.PromptSegment{ID: id, Tokens: 20})
	}
	return list
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
		Leaving: h.Get("Leaving") != "", Pause: permitter.ParsePause(h["Pause"]), Limit: permitter.ParseLimit(h["Limit"]), Cold: permitter.ParseCold(h["Cold"])}
}

// receivedRequest is a request as a target received it.
type receivedRequest struct {
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
	received []receivedRequest
	// openConns counts the open connections to each target.
	openConns map[string]int
	targets   []admitter.Target
}

// script answers one request on its connection. If it returns false, the connection is
// closed.
type script func(w net.Conn, r *http.Request) bool

const testPool = identifier.Pool("pool")

// newFleet starts a router and a target for each script.
func newFleet(t testing.TB, scripts ...script) *fleet {
	t.Helper()
	return newFleetWith(t, testConfig(t), scripts...)
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

// newFleetWith starts a router with the settings cfg, and a target for each script.
func newFleetWith(t testing.TB, cfg Config, scripts ...script) *fleet {
	t.Helper()
	f := &fleet{t: t, address: cfg.Listen, openConns: map[string]int{}}
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
	f.ConfirmFreshness(clocker.Now(), identifier.StorePosition{Revision: 1})
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

// testRoutes returns a route of each kind, each under a path prefix of its own.
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

// configure puts a configuration in force in which key "k" belongs to workspace "w".
func (f *fleet) configure(r identifier.Revision) {
	f.SetSnapshot(NewSnapshot(r, Limits{}, testRoutes(), []Pool{{ID: testPool}}, []Workspace{{ID: "w", Keys: []string{"k"}}}))
}

// addTarget starts a target and adds it to the router's list.
func (f *fleet) addTarget(id string, s script) {
	f.addListeningTarget(id, func(net.Listener) script { return s })
}

// addListeningTarget starts a target whose script is made for its listener, and adds it
// to the router's list.
func (f *fleet) addListeningTarget(id string, newScript func(net.Listener) script) {
	l := listenForTarget(f.t)
	s := newScript(l)
	f.listTarget(id, l, func(c net.Conn) { f.serveTarget(id, c, s) })
}

// addRawTarget starts a target that serves each connection itself, and adds it to the
// router's list.
func (f *fleet) addRawTarget(id string, serve func(c *net.TCPConn)) {
	l := listenForTarget(f.t)
	f.listTarget(id, l, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		serve(c.(*net.TCPConn))
	})
}

// listenForTarget returns a listener that is closed at the end of the test.
func listenForTarget(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// listTarget serves the connections of a listener and adds it to the router's list as a
// target.
func (f *fleet) listTarget(id string, l net.Listener, serve func(c net.Conn)) {
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	f.targets = append(f.targets, admitter.Target{ID: identifier.Target(id), Pool: testPool, Slots: 8, Incarnation: 1, Address: l.Addr().String()})
	f.SetTargets(f.targets)
}

// serveTarget answers the requests on one connection to a target.
func (f *fleet) serveTarget(id string, c net.Conn, s script) {
	f.addConns(id, 1)
	defer func() {
		_ = c.Close()
		f.addConns(id, -1)
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.received = append(f.received, receivedRequest{target: id, header: r.Header, uri: r.RequestURI, body: string(body)})
		f.mu.Unlock()
		if !s(c, r) {
			return
		}
	}
}

// addConns adds n to the number of open connections to a target.
func (f *fleet) addConns(id string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openConns[id] += n
}

// requestsSeen returns the requests that the targets have received so far.
func (f *fleet) requestsSeen() []receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]receivedRequest(nil), f.received...)
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

// callerAnswer is an answer as the caller received it.
type callerAnswer struct {
	status int
	header http.Header
	body   string
	// truncated is set if there was no answer or it broke off.
	truncated bool
	// closing is set if the router asked to close the connection.
	closing bool
}

// send sends a request to the router on a new connection and returns the answer.
func (f *fleet) send(r *http.Request) callerAnswer {
	f.t.Helper()
	resp, err := (&http.Transport{DisableCompression: true, IdleConnTimeout: time.Millisecond}).RoundTrip(r)
	if err != nil {
		return callerAnswer{truncated: true}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return callerAnswer{status: resp.StatusCode, header: resp.Header, body: string(body), truncated: err != nil, closing: resp.Close}
}

func reply(w io.Writer, r *http.Request, status int, header, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d x\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), header, len(body), body)
}

// fixedAnswer answers each request alike.
func fixedAnswer(status int, header, body string) script {
	return func(w net.Conn, r *http.Request) bool {
		reply(w, r, status, header, body)
		return true
	}
}

// hang sends no answer, and closes the channel when the router has closed the
// connection.
func hang(closed chan struct{}) script {
	return func(w net.Conn, _ *http.Request) bool {
		_, _ = w.Read(make([]byte, 1))
		close(closed)
		return false
	}
}

var (
	completeAnswer = fixedAnswer(http.StatusOK, "Seal: s\r\n", "whole")
	notRun         = fixedAnswer(http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")
)

// resetConn closes the connection with a reset.
func resetConn(w net.Conn, _ *http.Request) bool {
	_ = w.(*net.TCPConn).SetLinger(0)
	return false
}

// truncatedAnswer sends a part of an answer and closes the connection.
func truncatedAnswer(w net.Conn, r *http.Request) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("Id"))
	return false
}

// events streams the events up to last, starting after the one in the After header, and
// then tail. It ends the stream properly if complete is set, and closes the connection
// otherwise.
func events(last int, complete bool, tail string) script {
	return func(w net.Conn, r *http.Request) bool {
		from := 1
		if n, err := strconv.Atoi(r.Header.Get("After")); err == nil {
			from = n + 1
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := from; i <= last; i++ {
			writeChunk(w, fmt.Sprintf("id: %d\ndata: d%d\n\n", i, i))
		}
		if tail != "" {
			writeChunk(w, tail)
		}
		if complete {
			_, _ = io.WriteString(w, "0\r\n\r\n")
		}
		return complete
	}
}

// firstThen runs the script first for the first request, at whichever target that
// arrives, and rest for all others.
func firstThen(first, rest script) script {
	var requests atomic.Int64
	return func(w net.Conn, r *http.Request) bool {
		if requests.Add(1) == 1 {
			return first(w, r)
		}
		return rest(w, r)
	}
}

// writeChunk writes s as one chunk of a chunked body.
func writeChunk(w io.Writer, s string) { _, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(s), s) }

// numberedEvents returns the events that a caller must receive, from one number to
// another.
func numberedEvents(from, to int) string {
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
