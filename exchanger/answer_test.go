package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"buckthorndrum/validator"
)

// endlessAnswer returns a script that answers a request with start and then writes
// repeated until the pool closes the connection.
func endlessAnswer(start, repeated string) func(int64, net.Conn, *bufio.Reader) {
	return func(_ int64, c net.Conn, br *bufio.Reader) {
		if _, ok := readRequest(br); !ok {
			return
		}
		_, err := io.WriteString(c, start)
		chunk := []byte(strings.Repeat(repeated, 1+4096/len(repeated)))
		for err == nil {
			_, err = c.Write(chunk)
		}
	}
}

// An answer head that never ends, or an endless run of answers that are skipped, is
// aborted at a size limit, and the connection is closed. The request may have run.
func TestEndlessAnswersAreAborted(t *testing.T) {
	for name, script := range map[string]func(int64, net.Conn, *bufio.Reader){
		"one line":                         endlessAnswer("HTTP/1.1 200 OK\r\nId: a\r\nX: ", "x"),
		"lines":                            endlessAnswer("HTTP/1.1 200 OK\r\nId: a\r\n", "X: y\r\n"),
		"a status line":                    endlessAnswer("HTTP/1.1 200 ", "O"),
		"no answer":                        endlessAnswer("", "\x00\x01"),
		"interim answers":                  endlessAnswer("", "HTTP/1.1 100 Continue\r\n\r\n"),
		"answers to other requests":        endlessAnswer("", answerText("other", "stray")),
		"a long answer to another request": endlessAnswer("HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newTarget(t, script)
			p := newPool()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			before := heapInUse()
			_, err := p.Do(ctx, getCall(s.Addr().String(), "a"))
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "it is aborted at a size limit, not at the time limit")
			var f *Fault
			g.Expect(errors.As(err, &f)).To(BeTrue())
			g.Expect(f.MaybeSent).To(BeTrue())
			g.Expect(heapInUse() - before).To(BeNumerically("<", 16*maxHead))
			g.Expect(p.idle).To(BeEmpty())
		})
	}
}

// The head of an answer with very many short lines is given up at a limit of lines: its parsed
// form takes up many times its bytes. A body with as many lines is not counted.
func TestHeadOfManyLinesIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	for body, head := range map[string]string{
		"":                               strings.Repeat("X:\r\n", 3*maxHeadLines),
		strings.Repeat("\n", readBuffer): "X: y\r\n",
	} {
		s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
			if r, ok := readRequest(br); ok {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n%s\r\n%s", r.Header.Get("Id"), len(body), head, body)
			}
		})
		if body != "" {
			g.Expect(mustExchange(g, newPool(), getCall(s.Addr().String(), "a"))).To(Equal(body))
			continue
		}
		_, err := newPool().Do(context.Background(), getCall(s.Addr().String(), "a"))
		g.Expect(err).To(HaveOccurred())
	}
}

// heapInUse returns the bytes of allocated heap objects after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// An answer without an id belongs to a request only if it is the first answer on its
// connection.
func TestAnswerWithoutIDOnReusedConnectionIsSkipped(t *testing.T) {
	g := NewWithT(t)
	s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		first := true
		serveRequests(br, func(r *http.Request) bool {
			id := r.Header.Get("Id")
			if !first {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
			}
			_, _ = io.WriteString(c, answerText(id, "mine"))
			first = false
			return false
		})
	})
	p := newPool()
	g.Expect(mustExchange(g, p, getCall(s.Addr().String(), "a"))).To(Equal("mine"))
	g.Expect(mustExchange(g, p, getCall(s.Addr().String(), "b"))).To(Equal("mine"))
	g.Expect(p.Opened()).To(BeEquivalentTo(1))
}

// An answer without an id on a new connection belongs to the request sent on it.
func TestAnswerWithoutIDOnNewConnectionIsAccepted(t *testing.T) {
	g := NewWithT(t)
	s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		if _, ok := readRequest(br); ok {
			_, _ = io.WriteString(c, "HTTP/1.1 503 x\r\nContent-Length: 4\r\n\r\nfull")
		}
	})
	g.Expect(mustExchange(g, newPool(), getCall(s.Addr().String(), "a"))).To(Equal("full"))
}

// Duplicates of an answer, with or without framing, are never delivered to the next
// request.
func TestDuplicateAnswersAreNotDelivered(t *testing.T) {
	for name, duplicate := range map[string]string{
		"complete":       answerText("a", "first"),
		"without id":     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
		"without length": "HTTP/1.1 200 OK\r\nId: a\r\n\r\nfirst",
		"truncated":      "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 50\r\n\r\nfirst",
		"bytes":          "first",
	} {
		for _, when := range []string{"immediately", "while idle", "with the next request"} {
			t.Run(name+" "+when, func(t *testing.T) {
				g := NewWithT(t)
				s := newTarget(t, func(n int64, c net.Conn, br *bufio.Reader) {
					served := 0
					serveRequests(br, func(r *http.Request) bool {
						id := r.Header.Get("Id")
						if served == 1 && when == "with the next request" && n == 1 {
							_, _ = io.WriteString(c, duplicate)
						}
						_, _ = io.WriteString(c, answerText(id, "of "+id))
						if served == 0 && when == "immediately" && n == 1 {
							_, _ = io.WriteString(c, duplicate)
						}
						if served == 0 && when == "while idle" && n == 1 {
							time.Sleep(10 * time.Millisecond)
							_, _ = io.WriteString(c, duplicate)
						}
						served++
						return false
					})
				})
				p := newPool()
				g.Expect(mustExchange(g, p, getCall(s.Addr().String(), "a"))).To(Equal("of a"))
				time.Sleep(30 * time.Millisecond)
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				a, err := p.Do(ctx, getCall(s.Addr().String(), "b"))
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

// Whatever bytes a target sends, an answer that is read completely is the first complete
// answer to the request, and only complete answers to other requests and interim answers
// precede it.
func TestAnswersAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent bytes.Buffer
		want, wantComplete := "", false
		for i, n := 0, rapid.IntRange(1, 5).Draw(t, "pieces"); i < n; i++ {
			switch rapid.SampledFrom([]string{"own", "other", "interim", "bytes", "half"}).Draw(t, "piece") {
			case "own":
				body := fmt.Sprintf("own%d", i)
				sent.WriteString(answerText("a", body))
				want, wantComplete = body, true
			case "other":
				sent.WriteString(answerText("b", "stray"))
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
		got, complete := readAnswer(sent.Bytes(), rapid.IntRange(1, 100).Draw(t, "size of a write"))
		if complete != wantComplete || got != want {
			t.Fatalf("%q is read as %q, complete %v; want %q, complete %v", sent.String(), got, complete, want, wantComplete)
		}
	})
}

// readAnswer reads the answer to request a from raw, which is written size bytes at a time and
// after which the connection ends.
func readAnswer(raw []byte, size int) (body string, complete bool) {
	r := tryAnswer(raw, size)
	return r.body, r.complete
}

// readResult is what became of an answer that was read.
type readResult struct {
	// protoMajor, status and header are those of its head, zero if none was read.
	protoMajor int
	status     int
	header     http.Header
	// body is its body if complete is set.
	body     string
	complete bool
}

// tryAnswer is like readAnswer, and returns the head, too.
func tryAnswer(raw []byte, size int) readResult {
	poolEnd, targetEnd := net.Pipe()
	defer func() { _ = poolEnd.Close() }()
	go func() {
		for part := range slices.Chunk(raw, size) {
			if _, err := targetEnd.Write(part); err != nil {
				break
			}
		}
		_ = targetEnd.Close()
	}()
	k := newConn(poolEnd)
	resp, err := k.read(Call{Method: http.MethodGet, ID: "a"}, func(h http.Header) string { return h.Get("Id") })
	if err != nil {
		return readResult{}
	}
	defer func() { _ = resp.Body.Close() }()
	r := readResult{protoMajor: resp.ProtoMajor, status: resp.StatusCode, header: resp.Header}
	if b, err := io.ReadAll(io.LimitReader(resp.Body, maxSkippedBody)); err == nil {
		r.body, r.complete = string(b), true
	}
	return r
}

// FuzzAnswer checks that arbitrary bytes neither crash the reader nor yield a complete body
// longer than the bytes received, that an answer's head keeps the rule of heads, and that it
// makes no difference in which pieces the bytes arrive.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(answerText("a", "x")), byte(0))
	f.Add([]byte(answerText("b", "x")+answerText("a", "y")), byte(7))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"+answerText("a", "y")), byte(1))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\nx\r\n0\r\nT: v\r\n\r\n"), byte(2))
	f.Add([]byte("HTTP/1.0 200 OK\r\n\r\nx"), byte(3))
	for _, raw := range badHeads() {
		f.Add([]byte(raw), byte(5))
	}
	f.Fuzz(func(t *testing.T, raw []byte, size byte) {
		r := tryAnswer(raw, max(1, len(raw)))
		if len(r.body) > len(raw) {
			t.Fatalf("%d bytes of body from %d", len(r.body), len(raw))
		}
		if r.status != 0 {
			checkHead(t, r)
		}
		if again := tryAnswer(raw, 1+int(size)); !reflect.DeepEqual(r, again) {
			t.Fatalf("%q yields %+v in one piece, and %+v in pieces", raw, r, again)
		}
	})
}

// checkHead fails the test if a head that was taken for that of an answer breaks the rule.
func checkHead(t *testing.T, r readResult) {
	t.Helper()
	if r.status < minStatus || r.status > maxStatus || r.protoMajor != 1 {
		t.Fatalf("HTTP/%d with status %d is an answer", r.protoMajor, r.status)
	}
	for name, values := range r.header {
		for _, v := range values {
			if !validator.IsFieldName([]byte(name)) || !validator.IsFieldValue([]byte(v)) {
				t.Fatalf("a head with the field %q: %q is that of an answer", name, v)
			}
		}
	}
}
