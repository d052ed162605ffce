package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// endless writes a first piece and then another one until the caller closes.
func endless(first, again string) func(int64, net.Conn, *bufio.Reader) {
	return func(_ int64, c net.Conn, br *bufio.Reader) {
		if _, ok := readRequest(br); !ok {
			return
		}
		_, err := io.WriteString(c, first)
		more := []byte(strings.Repeat(again, 1+4096/len(again)))
		for err == nil {
			_, err = c.Write(more)
		}
	}
}

// Heads of answers that never end are given up at a bound, and the connection is
// closed. The request may have run.
func TestHeadsWithoutEndAreGivenUp(t *testing.T) {
	for name, script := range map[string]func(int64, net.Conn, *bufio.Reader){
		"one line":                endless("HTTP/1.1 200 OK\r\nId: a\r\nX: ", "x"),
		"lines":                   endless("HTTP/1.1 200 OK\r\nId: a\r\n", "X: y\r\n"),
		"a status line":           endless("HTTP/1.1 200 ", "O"),
		"no answer":               endless("", "\x00\x01"),
		"interim answers":         endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
		"answers to others":       endless("", answer("other", "stray")),
		"a long answer to others": endless("HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newTarget(t, script)
			p := newPool()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			before := heap()
			_, err := p.Do(ctx, get(s.Addr().String(), "a"))
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "it is given up at a bound, not at the time limit")
			var f *Fault
			g.Expect(errors.As(err, &f)).To(BeTrue())
			g.Expect(f.MaybeSent).To(BeTrue())
			g.Expect(heap() - before).To(BeNumerically("<", 16*maxHead))
			g.Expect(p.idle).To(BeEmpty())
		})
	}
}

// heap returns how many bytes are in use.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// An answer without an id belongs to a request only if it is the first on its
// connection.
func TestAnswerWithoutIDOnAUsedConnectionIsNobodys(t *testing.T) {
	g := NewWithT(t)
	s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		first := true
		serve(br, func(r *http.Request) bool {
			id := r.Header.Get("Id")
			if !first {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
			}
			_, _ = io.WriteString(c, answer(id, "mine"))
			first = false
			return false
		})
	})
	p := newPool()
	g.Expect(exchange(g, p, get(s.Addr().String(), "a"))).To(Equal("mine"))
	g.Expect(exchange(g, p, get(s.Addr().String(), "b"))).To(Equal("mine"))
	g.Expect(p.Opened()).To(BeEquivalentTo(1))
}

// An answer without an id on a new connection is the request's own.
func TestAnswerWithoutIDOnANewConnection(t *testing.T) {
	g := NewWithT(t)
	s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		if _, ok := readRequest(br); ok {
			_, _ = io.WriteString(c, "HTTP/1.1 503 x\r\nContent-Length: 4\r\n\r\nfull")
		}
	})
	g.Expect(exchange(g, newPool(), get(s.Addr().String(), "a"))).To(Equal("full"))
}

// Copies of an answer, with or without framing, never reach the next request.
func TestCopiesOfAnAnswerReachNobody(t *testing.T) {
	for name, copied := range map[string]string{
		"whole":          answer("a", "first"),
		"without id":     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
		"without length": "HTTP/1.1 200 OK\r\nId: a\r\n\r\nfirst",
		"half":           "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 50\r\n\r\nfirst",
		"bytes":          "first",
	} {
		for _, when := range []string{"at once", "while it rests", "with the next request"} {
			t.Run(name+" "+when, func(t *testing.T) {
				g := NewWithT(t)
				s := newTarget(t, func(n int64, c net.Conn, br *bufio.Reader) {
					served := 0
					serve(br, func(r *http.Request) bool {
						id := r.Header.Get("Id")
						if served == 1 && when == "with the next request" && n == 1 {
							_, _ = io.WriteString(c, copied)
						}
						_, _ = io.WriteString(c, answer(id, "of "+id))
						if served == 0 && when == "at once" && n == 1 {
							_, _ = io.WriteString(c, copied)
						}
						if served == 0 && when == "while it rests" && n == 1 {
							time.Sleep(10 * time.Millisecond)
							_, _ = io.WriteString(c, copied)
						}
						served++
						return false
					})
				})
				p := newPool()
				g.Expect(exchange(g, p, get(s.Addr().String(), "a"))).To(Equal("of a"))
				time.Sleep(30 * time.Millisecond)
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				a, err := p.Do(ctx, get(s.Addr().String(), "b"))
				if err != nil {
					var f *Fault
					g.Expect(errors.As(err, &f)).To(BeTrue())
					g.Expect(f.MaybeSent).To(BeTrue())
					return
				}
				defer a.Abort()
				g.Expect(a.Header.Get("Id")).To(Equal("b"))
				b, err := io.ReadAll(a.Body)
				if err == nil {
					g.Expect(string(b)).To(Equal("of b"))
				}
			})
		}
	}
}

// Whatever bytes a target sends, an answer that is read whole is the first whole
// answer to the request, in front of which there are only whole answers to others
// and interim ones.
func TestAnswersAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent bytes.Buffer
		want, ok := "", false
		for i, n := 0, rapid.IntRange(1, 5).Draw(t, "pieces"); i < n; i++ {
			switch rapid.SampledFrom([]string{"own", "other", "interim", "bytes", "half"}).Draw(t, "piece") {
			case "own":
				body := fmt.Sprintf("own%d", i)
				sent.WriteString(answer("a", body))
				want, ok = body, true
			case "other":
				sent.WriteString(answer("b", "stray"))
				continue
			case "interim":
				sent.WriteString("HTTP/1.1 103 Early Hints\r\nId: a\r\n\r\n")
				continue
			case "bytes":
				sent.WriteString("\x00stray\r\n\r\n")
			case "half":
				sent.WriteString("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 500\r\n\r\nhalf")
			}
			break
		}
		got, whole := parse(sent.Bytes())
		if whole != ok || got != want {
			t.Fatalf("%q read as %q, whole %v; it is %q, whole %v", sent.String(), got, whole, want, ok)
		}
	})
}

// parse reads the answer to request a from bytes after which the connection ends.
func parse(raw []byte) (body string, whole bool) {
	ours, theirs := net.Pipe()
	defer func() { _ = ours.Close() }()
	go func() {
		_, _ = theirs.Write(raw)
		_ = theirs.Close()
	}()
	k := newConn(ours)
	resp, err := k.read(Call{Method: http.MethodGet, ID: "a"}, func(h http.Header) string { return h.Get("Id") })
	if err != nil {
		return "", false
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxSkipped))
	if err != nil {
		return "", false
	}
	return string(b), true
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte(answer("a", "x")))
	f.Add([]byte(answer("b", "x") + answer("a", "y")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + answer("a", "y")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\nx\r\n0\r\nT: v\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\r\n\r\nx"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, whole := parse(raw)
		if whole && len(body) > len(raw) {
			t.Fatalf("%d bytes of body from %d", len(body), len(raw))
		}
	})
}
