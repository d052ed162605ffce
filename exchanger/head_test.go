package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// wellFormedFields are the rest of an answer's head to request a with five bytes of body.
const wellFormedFields = "Id: a\r\nContent-Length: 5\r\n\r\nwhole"

// badStatusLines are heads that are no answers, by the fault in their first line.
var badStatusLines = map[string]string{
	"status 000":               "HTTP/1.1 000 x\r\n" + wellFormedFields,
	"status 000 and no reason": "HTTP/1.1 000\r\n" + wellFormedFields,
	"status 099":               "HTTP/1.1 099 x\r\n" + wellFormedFields,
	"status 600":               "HTTP/1.1 600 x\r\n" + wellFormedFields,
	"status 999":               "HTTP/1.1 999 x\r\n" + wellFormedFields,
	"a signed status":          "HTTP/1.1 +99 x\r\n" + wellFormedFields,
	"a negative status":        "HTTP/1.1 -00 x\r\n" + wellFormedFields,
	"a status of two digits":   "HTTP/1.1 20 x\r\n" + wellFormedFields,
	"a status of four digits":  "HTTP/1.1 2000 x\r\n" + wellFormedFields,
	"no status":                "HTTP/1.1 OK\r\n" + wellFormedFields,
	"two blanks":               "HTTP/1.1  200 x\r\n" + wellFormedFields,
	"a tab":                    "HTTP/1.1 200\tx\r\n" + wellFormedFields,
	"a blank before it":        " HTTP/1.1 200 x\r\n" + wellFormedFields,
	"an empty line before it":  "\r\nHTTP/1.1 200 x\r\n" + wellFormedFields,
	"a control byte":           "HTTP/1.1 200 x\x01\r\n" + wellFormedFields,
	"a carriage return":        "HTTP/1.1 200 x\rId: a\r\n" + wellFormedFields,
	"another protocol":         "SSH-2.0 200 x\r\n" + wellFormedFields,
	"HTTP/2.0":                 "HTTP/2.0 200 x\r\n" + wellFormedFields,
	"HTTP/0.9":                 "HTTP/0.9 200 x\r\n" + wellFormedFields,
	"a lower-case protocol":    "http/1.1 200 x\r\n" + wellFormedFields,
}

// badHeads returns heads that are no answers, by their fault.
func badHeads() map[string]string {
	all := maps.Clone(badStatusLines)
	maps.Copy(all, badFields)
	maps.Copy(all, badFramings)
	return all
}

// sendOnly returns a script that answers each request with raw and keeps the connection open
// until the pool closes it.
func sendOnly(raw string) func(int64, net.Conn, *bufio.Reader) {
	return func(_ int64, c net.Conn, br *bufio.Reader) {
		if _, ok := readRequest(br); ok {
			_, _ = io.WriteString(c, raw)
			_, _ = io.Copy(io.Discard, br)
		}
	}
}

// maxRefusalTime bounds the time that a broken answer is waited for, and is not the bound at which
// it is refused.
const maxRefusalTime = 10 * time.Second

// expectNoAnswer checks that raw is refused at once, though the connection stays open, that
// the request counts as sent, and that no answer that follows raw is taken for its own.
func expectNoAnswer(t *testing.T, raw string) {
	t.Helper()
	g := NewWithT(t)
	for _, tail := range []string{"", answerText("a", "not the target's answer")} {
		s := newTarget(t, sendOnly(raw+tail))
		p := newPool()
		ctx, cancel := context.WithTimeout(context.Background(), maxRefusalTime)
		a, err := p.Do(ctx, getCall(s.Addr().String(), "a"))
		if err == nil {
			body, _ := io.ReadAll(a.Body)
			a.Abort()
			t.Errorf("%q is taken for an answer of status %d, header %q, body %q", raw+tail, a.Status, a.Header, body)
		}
		g.Expect(ctx.Err()).NotTo(HaveOccurred(), "%q is refused at once", raw+tail)
		cancel()
		var f *Fault
		g.Expect(err == nil || errors.As(err, &f) && f.MaybeSent).To(BeTrue())
		g.Expect(p.idle).To(BeEmpty())
	}
}

// A head whose first line is no status line of HTTP/1 is no answer, and no interim answer.
func TestBadStatusLineIsNoAnswer(t *testing.T) {
	for name, raw := range badStatusLines {
		t.Run(name, func(t *testing.T) { expectNoAnswer(t, raw) })
	}
	t.Run("behind an interim answer", func(t *testing.T) {
		expectNoAnswer(t, "HTTP/1.1 103 x\r\nA: b\r\n\r\n"+badStatusLines["status 000"])
	})
	t.Run("behind an answer to another request", func(t *testing.T) {
		expectNoAnswer(t, answerText("b", "stray")+badStatusLines["status 000"])
	})
}

// A status that is none must not make what follows the head an answer, as behind an interim
// answer, if the body looks like one.
func TestBodyOfBadHeadIsNoAnswer(t *testing.T) {
	inner := answerText("a", "not the target's answer")
	for _, status := range []string{"000", "099", "-00", "+99"} {
		expectNoAnswer(t, fmt.Sprintf("HTTP/1.1 %s x\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", status, len(inner), inner))
	}
}

// A fault that arrives by itself, behind sound lines, ends the reading, too.
func TestFaultThatArrivesLaterIsFound(t *testing.T) {
	for name, raw := range badHeads() {
		var taken []int
		for size := 1; size < len(raw); size++ {
			if _, complete := readAnswer([]byte(raw+answerText("a", "x")), size); complete {
				taken = append(taken, size)
			}
		}
		if len(taken) > 0 {
			t.Errorf("a head with %s is taken for an answer if it is written in pieces of %d bytes", name, taken)
		}
	}
}

// Forms of a head that are unusual but sound.
func TestUnusualHeadsAreAnswers(t *testing.T) {
	for name, head := range map[string]string{
		"no reason":               "HTTP/1.1 200 \r\nId: a\r\nContent-Length: 5\r\n\r\n",
		"no blank and no reason":  "HTTP/1.1 200\r\nId: a\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.0":                "HTTP/1.0 200 x\r\nId: a\r\nContent-Length: 5\r\n\r\n",
		"status 599":              "HTTP/1.1 599 x\r\nId: a\r\nContent-Length: 5\r\n\r\n",
		"lines without return":    "HTTP/1.1 200 x\nId: a\nContent-Length: 5\n\n",
		"no blank behind a colon": "HTTP/1.1 200 x\r\nId:a\r\nContent-Length:5\r\n\r\n",
		"blanks around a value":   "HTTP/1.1 200 x\r\nId: \t a\t \r\nContent-Length: 5 \r\n\r\n",
		"an empty value":          "HTTP/1.1 200 x\r\nId: a\r\nX:\r\nContent-Length: 5\r\n\r\n",
		"letters beyond ASCII":    "HTTP/1.1 200 \xc3\xa4\r\nId: a\r\nX: \xc3\xa4\xff\r\nContent-Length: 5\r\n\r\n",
		"a name of all marks":     "HTTP/1.1 200 x\r\nId: a\r\n!#$%&'*+-.^_`|~9: \"(x)\", {y}\r\nContent-Length: 5\r\n\r\n",
		"interim answers":         "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 200 x\r\nId: a\r\nContent-Length: 5\r\n\r\n",
		"a long line":             "HTTP/1.1 200 x\r\nId: a\r\nX: " + strings.Repeat("x", 2*readBuffer) + "\r\nContent-Length: 5\r\n\r\n",
		"the same length twice":   "HTTP/1.1 200 x\r\nId: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
		"no length":               "HTTP/1.1 200 x\r\nId: a\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
				if _, ok := readRequest(br); ok {
					_, _ = io.WriteString(c, head+"who")
					_, _ = io.WriteString(c, "le")
				}
			})
			g.Expect(mustExchange(g, newPool(), getCall(s.Addr().String(), "a"))).To(Equal("whole"))
		})
	}
}

// badFields are heads that are no answers, by the fault in a line behind the first.
var badFields = map[string]string{
	"a blank behind a name":             "HTTP/1.1 200 x\r\nId: a\r\nContent-Length : 5\r\n\r\nwhole",
	"a blank in a name":                 "HTTP/1.1 200 x\r\nId: a\r\nX Y: z\r\nContent-Length: 5\r\n\r\nwhole",
	"a blank before the first name":     "HTTP/1.1 200 x\r\n X: y\r\n" + wellFormedFields,
	"a blank before a name":             "HTTP/1.1 200 x\r\nId: a\r\n Content-Length: 5\r\n\r\nwhole",
	"a tab before a name":               "HTTP/1.1 200 x\r\nId: a\r\n\tX: y\r\nContent-Length: 5\r\n\r\nwhole",
	"a tab behind a name":               "HTTP/1.1 200 x\r\nX\t: y\r\n" + wellFormedFields,
	"a folded value":                    "HTTP/1.1 200 x\r\nX: y\r\n z\r\n" + wellFormedFields,
	"a line of blanks":                  "HTTP/1.1 200 x\r\nX: y\r\n  \r\n" + wellFormedFields,
	"a control byte in a name":          "HTTP/1.1 200 x\r\nX\x01Y: z\r\n" + wellFormedFields,
	"a zero byte in a name":             "HTTP/1.1 200 x\r\nX\x00: z\r\n" + wellFormedFields,
	"a delete byte in a name":           "HTTP/1.1 200 x\r\nX\x7f: z\r\n" + wellFormedFields,
	"a carriage return in a name":       "HTTP/1.1 200 x\r\nX\rY: z\r\n" + wellFormedFields,
	"a letter beyond ASCII in a name":   "HTTP/1.1 200 x\r\n\xc3\xa4: z\r\n" + wellFormedFields,
	"a bracket in a name":               "HTTP/1.1 200 x\r\nX(Y): z\r\n" + wellFormedFields,
	"no name":                           "HTTP/1.1 200 x\r\n: z\r\n" + wellFormedFields,
	"no colon":                          "HTTP/1.1 200 x\r\nXY\r\n" + wellFormedFields,
	"a control byte in a value":         "HTTP/1.1 200 x\r\nX: \x01\r\n" + wellFormedFields,
	"a zero byte in a value":            "HTTP/1.1 200 x\r\nX: y\x00\r\n" + wellFormedFields,
	"a delete byte in a value":          "HTTP/1.1 200 x\r\nX: y\x7f\r\n" + wellFormedFields,
	"a carriage return in a value":      "HTTP/1.1 200 x\r\nX: y\rId: a\r\n" + wellFormedFields,
	"a second carriage return":          "HTTP/1.1 200 x\r\nX: y\r\r\n" + wellFormedFields,
	"a carriage return as the end":      "HTTP/1.1 200 x\r\nId: a\r\nContent-Length: 5\r\n\r\r\nwhole",
	"a blank in a name behind sound":    "HTTP/1.1 200 x\r\nId: a\r\nContent-Length: 5\r\nX : y\r\n\r\nwhole",
	"a blank in a name of interim ones": "HTTP/1.1 103 x\r\nX : y\r\n\r\nHTTP/1.1 200 x\r\n" + wellFormedFields,
	"two lengths":                       "HTTP/1.1 200 x\r\nContent-Length: 4\r\n" + wellFormedFields,
	"a signed length":                   "HTTP/1.1 200 x\r\nId: a\r\nContent-Length: +5\r\n\r\nwhole",
	"a negative length":                 "HTTP/1.1 200 x\r\nId: a\r\nContent-Length: -5\r\n\r\nwhole",
	"an empty length":                   "HTTP/1.1 200 x\r\nId: a\r\nContent-Length:\r\n\r\nwhole",
	"a list of lengths":                 "HTTP/1.1 200 x\r\nId: a\r\nContent-Length: 5, 5\r\n\r\nwhole",
	"an unknown coding":                 "HTTP/1.1 200 x\r\nId: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"two codings":                       "HTTP/1.1 200 x\r\nId: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
}

// A head with a line that is no field is no answer, wherever in the head it stands.
func TestBadFieldIsNoAnswer(t *testing.T) {
	for name, raw := range badFields {
		t.Run(name, func(t *testing.T) { expectNoAnswer(t, raw) })
	}
}

// badFramings are heads that are no answers, as they don't say where the body ends.
var badFramings = map[string]string{
	"a coding in HTTP/1.0":           "HTTP/1.0 200 x\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"a coding and then a length":     "HTTP/1.1 200 x\r\nId: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 15\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"a length and then a coding":     "HTTP/1.1 200 x\r\nId: a\r\ncontent-length: 5\r\nX: y\r\ntransfer-encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"both behind an interim answer":  "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 x\r\nId: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"a coding in HTTP/1.0, a length": "HTTP/1.0 200 x\r\nId: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nwhole",
}

// A head whose fields contradict each other about where the body ends is no answer.
func TestBadFramingIsNoAnswer(t *testing.T) {
	for name, raw := range badFramings {
		t.Run(name, func(t *testing.T) { expectNoAnswer(t, raw) })
	}
}

// An interim answer says nothing about the framing of the answer behind it.
func TestFramingOfInterimAnswerIsItsOwn(t *testing.T) {
	g := NewWithT(t)
	body, complete := readAnswer([]byte("HTTP/1.1 103 x\r\nContent-Length: 3\r\n\r\nHTTP/1.1 200 x\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"), 10)
	g.Expect(complete).To(BeTrue())
	g.Expect(body).To(Equal("whole"))
}

// A trailer with a line that is no field is no part of an answer: the answer has broken off.
func TestBadTrailerBreaksTheAnswerOff(t *testing.T) {
	for trailer, complete := range map[string]bool{
		"": true, "X: y\r\n": true, "X: y\r\nZ:\r\n": true,
		"X : y\r\n": false, "X Y: z\r\n": false, " X: y\r\n": false, "X\x01: y\r\n": false, "X: \x01\r\n": false, "XY\r\n": false, ": y\r\n": false,
	} {
		raw := "HTTP/1.1 200 x\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + trailer + "\r\n"
		for _, size := range []int{1, 7, len(raw)} {
			body, got := readAnswer([]byte(raw), size)
			if got != complete || complete && body != "whole" {
				t.Errorf("with the trailer %q, in pieces of %d bytes, it is complete: %v", trailer, size, got)
			}
		}
	}
}
