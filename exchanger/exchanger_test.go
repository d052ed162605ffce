package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"buckthorndrum/clocker"
)

// target is a fake target. A script serves each of its connections; it is given the
// number of the connection, counted from 1.
type target struct {
	net.Listener
	conns atomic.Int64
}

func newTarget(t *testing.T, script func(n int64, c net.Conn, br *bufio.Reader)) *target {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &target{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := s.conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				script(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// readRequest reads one request with its body, and reports whether there was a complete
// one.
func readRequest(br *bufio.Reader) (*http.Request, bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err == nil
}

// serveRequests calls handle for each request of a connection until the connection ends
// or handle returns true.
func serveRequests(br *bufio.Reader, handle func(r *http.Request) (last bool)) {
	for {
		r, ok := readRequest(br)
		if !ok || handle(r) {
			return
		}
	}
}

// answerText returns the bytes of an answer to request id.
func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// resetOnClose makes the close of c send a reset (RST).
func resetOnClose(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }

func newPool() *Pool {
	return New(Config{DialTimeout: time.Second, AckTimeout: time.Second, MaxIdle: 4, Identify: func(h http.Header) string { return h.Get("Id") }})
}

// getCall returns a repeatable GET request.
func getCall(address, id string) Call {
	return Call{Address: address, Method: http.MethodGet, ID: id, Repeatable: true,
		Head: []byte("GET /" + id + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n")}
}

func readBody(g *WithT, a *Answer) string {
	b, err := io.ReadAll(a.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return string(b)
}

// mustExchange sends c, returns the body of the answer, and releases the connection.
func mustExchange(g *WithT, p *Pool, c Call) string {
	a, err := p.Do(context.Background(), c)
	g.Expect(err).NotTo(HaveOccurred())
	defer a.Release()
	return readBody(g, a)
}

func TestConnectionsAreReused(t *testing.T) {
	g := NewWithT(t)
	s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		serveRequests(br, func(r *http.Request) bool {
			_, _ = io.WriteString(c, answerText(r.Header.Get("Id"), r.URL.Path))
			return false
		})
	})
	p := newPool()
	for _, id := range []string{"a", "b", "c"} {
		g.Expect(mustExchange(g, p, getCall(s.Addr().String(), id))).To(Equal("/" + id))
	}
	g.Expect(p.Opened()).To(BeEquivalentTo(1))
}

func TestConnectionWithBytesReceivedWhileIdleIsNotReused(t *testing.T) {
	g := NewWithT(t)
	sent := make(chan struct{})
	s := newTarget(t, func(n int64, c net.Conn, br *bufio.Reader) {
		r, ok := readRequest(br)
		if !ok {
			return
		}
		_, _ = io.WriteString(c, answerText(r.Header.Get("Id"), "mine"))
		if n == 1 {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, answerText("b", "stray"))
			close(sent)
			time.Sleep(time.Second)
		}
	})
	p := newPool()
	g.Expect(mustExchange(g, p, getCall(s.Addr().String(), "a"))).To(Equal("mine"))
	<-sent
	time.Sleep(20 * time.Millisecond)
	g.Expect(mustExchange(g, p, getCall(s.Addr().String(), "b"))).To(Equal("mine"))
	g.Expect(p.Opened()).To(BeEquivalentTo(2))
}

func TestLateAnswerToAnotherRequestIsSkipped(t *testing.T) {
	g := NewWithT(t)
	s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		serveRequests(br, func(r *http.Request) bool {
			_, _ = io.WriteString(c, answerText("other", "stray")+answerText(r.Header.Get("Id"), "mine"))
			return false
		})
	})
	g.Expect(mustExchange(g, newPool(), getCall(s.Addr().String(), "a"))).To(Equal("mine"))
}

func TestOnlyAnswersToOtherRequestsFail(t *testing.T) {
	g := NewWithT(t)
	s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		if _, ok := readRequest(br); ok {
			_, _ = io.WriteString(c, answerText("other", "stray"))
		}
	})
	_, err := newPool().Do(context.Background(), getCall(s.Addr().String(), "a"))
	var f *Fault
	g.Expect(errors.As(err, &f)).To(BeTrue())
	g.Expect(f.MaybeSent).To(BeTrue())
}

func TestRefusedDialSendsNothing(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	_, err = newPool().Do(context.Background(), getCall(address, "a"))
	var f *Fault
	g.Expect(errors.As(err, &f)).To(BeTrue())
	g.Expect(f.MaybeSent).To(BeFalse())
	g.Expect(f.Step).To(Equal(StepDial))
}

func TestUnwantedRequestIsNotSent(t *testing.T) {
	g := NewWithT(t)
	s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		if r, ok := readRequest(br); ok {
			t.Errorf("%s was sent", r.URL.Path)
		}
	})
	c := getCall(s.Addr().String(), "a")
	c.Wanted = func() bool { return false }
	_, err := newPool().Do(context.Background(), c)
	var f *Fault
	g.Expect(errors.As(err, &f)).To(BeTrue())
	g.Expect(f.MaybeSent).To(BeFalse())
	g.Expect(errors.Is(err, ErrUnwanted)).To(BeTrue())
	time.Sleep(20 * time.Millisecond)
}

// http.Transport retries a GET by itself when a kept-alive connection ends. The pool
// must not.
func TestRequestIsNotRetriedImplicitly(t *testing.T) {
	g := NewWithT(t)
	var requests atomic.Int64
	s := newTarget(t, func(n int64, c net.Conn, br *bufio.Reader) {
		serveRequests(br, func(r *http.Request) bool {
			if requests.Add(1) == 2 {
				resetOnClose(c)
				return true
			}
			_, _ = io.WriteString(c, answerText(r.Header.Get("Id"), "x"))
			return false
		})
	})
	p := newPool()
	g.Expect(mustExchange(g, p, getCall(s.Addr().String(), "a"))).To(Equal("x"))
	_, err := p.Do(context.Background(), getCall(s.Addr().String(), "b"))
	var f *Fault
	g.Expect(errors.As(err, &f)).To(BeTrue())
	g.Expect(f.MaybeSent).To(BeTrue())
	g.Expect(requests.Load()).To(BeEquivalentTo(2))
}

func TestAnswerBeforeALongBodyIsRead(t *testing.T) {
	g := NewWithT(t)
	s := newTarget(t, func(n int64, c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answerText(r.Header.Get("Id"), "early"))
		time.Sleep(200 * time.Millisecond)
	})
	const size = 8 << 20
	c := getCall(s.Addr().String(), "a")
	c.Method = http.MethodPost
	c.Head = []byte(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: %d\r\n\r\n", size))
	c.Body = []byte(strings.Repeat("x", size))
	p := newPool()
	g.Expect(mustExchange(g, p, c)).To(Equal("early"))
	g.Expect(p.idle).To(BeEmpty(), "the target still waits for the rest of the body")
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	s := newTarget(t, func(_ int64, _ net.Conn, br *bufio.Reader) {
		if _, ok := readRequest(br); ok {
			_, _ = br.ReadByte()
			close(closed)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := newPool().Do(ctx, getCall(s.Addr().String(), "a"))
	g.Expect(err).To(HaveOccurred())
	g.Eventually(closed, "2s").Should(BeClosed())
}

func TestAnswerWithoutLength(t *testing.T) {
	for _, resets := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %v", resets), func(t *testing.T) {
			g := NewWithT(t)
			s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
				if _, ok := readRequest(br); !ok {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
				time.Sleep(50 * time.Millisecond)
				if resets {
					resetOnClose(c)
				}
			})
			a, err := newPool().Do(context.Background(), getCall(s.Addr().String(), "a"))
			g.Expect(err).NotTo(HaveOccurred())
			defer a.Abort()
			_, err = io.ReadAll(a.Body)
			g.Expect(err != nil).To(Equal(resets))
		})
	}
}

func TestOnlyRepeatableRequestsUseLongIdleConnections(t *testing.T) {
	g := NewWithT(t)
	s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		serveRequests(br, func(r *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n")
			return false
		})
	})
	p := newPool()
	c := getCall(s.Addr().String(), "a")
	mustExchange(g, p, c)
	for _, k := range p.idle[c.Address] {
		k.idleSince = clocker.Now().Add(-time.Second)
	}
	c.Repeatable = false
	mustExchange(g, p, c)
	g.Expect(p.Opened()).To(BeEquivalentTo(2))
}

func TestCloseExpiredClosesLongIdleConnections(t *testing.T) {
	g := NewWithT(t)
	s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		r, ok := readRequest(br)
		if ok {
			_, _ = io.WriteString(c, answerText(r.Header.Get("Id"), ""))
			_, _ = br.ReadByte()
		}
	})
	p := newPool()
	mustExchange(g, p, getCall(s.Addr().String(), "a"))
	p.CloseExpired(clocker.Now())
	g.Expect(p.idle).To(HaveLen(1))
	p.CloseExpired(clocker.Now().Add(defaultIdleTimeout + time.Second))
	g.Expect(p.idle).To(BeEmpty())
}

// A port without a listener refuses; one that accepts does not, and the connection that
// shows it carries the next request.
func TestProbeFindsListener(t *testing.T) {
	g := NewWithT(t)
	s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		serveRequests(br, func(r *http.Request) bool {
			_, _ = io.WriteString(c, answerText(r.Header.Get("Id"), "whole"))
			return false
		})
	})
	p := newPool()
	address := s.Addr().String()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	g.Expect(p.Probe(ctx, address)).To(Succeed())
	g.Expect(p.Probe(ctx, address)).To(Succeed())
	g.Expect(mustExchange(g, p, getCall(address, "a"))).NotTo(BeEmpty())
	g.Expect(p.Opened()).To(BeEquivalentTo(1))
	_ = s.Close()
	p.CloseIdle(address)
	g.Expect(p.Probe(ctx, address)).To(MatchError(ErrRefused))
	done, stop := context.WithCancel(ctx)
	stop()
	g.Expect(p.Probe(done, address)).To(And(HaveOccurred(), Not(MatchError(ErrRefused))), "neither is known")
}

// The connections to all targets are bounded. Without a bound, each request in flight may
// take up a descriptor besides that of its caller. Beyond it, an idle connection makes room,
// and a request fails before it is sent if none is idle.
func TestConnectionsToAllTargetsAreBounded(t *testing.T) {
	g := NewWithT(t)
	answer := func(_ int64, c net.Conn, br *bufio.Reader) {
		serveRequests(br, func(r *http.Request) bool {
			_, _ = io.WriteString(c, answerText(r.Header.Get("Id"), "x"))
			return false
		})
	}
	first, second := newTarget(t, answer), newTarget(t, answer)
	p := newPool()
	p.cfg.MaxConns = 1
	g.Expect(mustExchange(g, p, getCall(first.Addr().String(), "a"))).To(Equal("x"))
	a, err := p.Do(context.Background(), getCall(second.Addr().String(), "b"))
	g.Expect(err).NotTo(HaveOccurred(), "the idle connection makes room")
	_, err = p.Do(context.Background(), getCall(first.Addr().String(), "c"))
	g.Expect(errors.Is(err, ErrTooManyConnections)).To(BeTrue())
	var fault *Fault
	g.Expect(errors.As(err, &fault)).To(BeTrue())
	g.Expect(fault.MaybeSent).To(BeFalse())
	a.Abort()
	g.Expect(mustExchange(g, p, getCall(first.Addr().String(), "d"))).To(Equal("x"))
	p.CloseIdle(first.Addr().String())
	g.Eventually(func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.open
	}, "2s").Should(BeZero())
}
