package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// addEarlyTarget starts a target that answers each request before it reads the body, and adds
// it to the router's list.
func (f *fleet) addEarlyTarget(id string, answer func(c *net.TCPConn, r *http.Request)) {
	f.addRawTarget(id, func(c *net.TCPConn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			answer(c, r)
		}
	})
}

// resetEarly answers with a part of an answer that has no length, and resets the connection
// while the request is still being written.
func resetEarly(head, part string) func(c *net.TCPConn, r *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\n%s\r\n%s", r.Header.Get("Id"), head, part)
		time.Sleep(10 * time.Millisecond)
		_ = c.SetLinger(0)
	}
}

// A target answers a long upload at once with an answer that has no length, and resets the
// connection in its middle while the upload is still being written: the part must not reach the
// caller as a complete answer.
func TestAnswerThatIsResetDuringTheUploadIsNotPassedOn(t *testing.T) {
	upload := strings.Repeat("x", 4<<20)
	for path, answer := range map[string]func(c *net.TCPConn, r *http.Request){
		"/ticket/1": resetEarly("", "part"),
		"/once/1":   resetEarly("Content-Type: text/event-stream\r\n", numberedEvents(1, 2)),
	} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t)
			f.addEarlyTarget("t0", answer)
			for range 20 {
				a := f.send(f.request(http.MethodPost, path, upload))
				g.Expect(a.status == http.StatusOK && !a.truncated).To(BeFalse(), "%q looks complete", a.body)
				g.Expect(a.status).To(BeElementOf(0, http.StatusOK, http.StatusBadGateway), "it may have run")
			}
		})
	}
}

// raw sends bytes, with the id of the request for ID, and keeps the connection open.
func raw(format string) script {
	return func(w net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(w, strings.ReplaceAll(format, "ID", r.Header.Get("Id")))
		return true
	}
}

// brokenHeads are answers to request ID whose head is none, by its fault. The body of some is
// an answer of its own.
var brokenHeads = map[string]string{
	"status 000":                "HTTP/1.1 000 x\r\nId: ID\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole",
	"status 000, other body":    "HTTP/1.1 000 x\r\nId: ID\r\nSeal: s\r\nContent-Length: 62\r\n\r\nHTTP/1.1 200 x\r\nId: ID\r\nSeal: s\r\nContent-Length: 5\r\n\r\nother",
	"status 999":                "HTTP/1.1 999 x\r\nId: ID\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole",
	"status 000 and not run":    "HTTP/1.1 000 x\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/2.0 and not run":      "HTTP/2.0 503 x\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"control byte in a reason":  "HTTP/1.1 200 \x01\r\nId: ID\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole",
	"blank behind a name":       "HTTP/1.1 200 x\r\nId: ID\r\nSeal: s\r\nX-Load : 1\r\nContent-Length: 5\r\n\r\nwhole",
	"blank in a name":           "HTTP/1.1 200 x\r\nId: ID\r\nSeal: s\r\nX Load: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"blank before a name":       "HTTP/1.1 200 x\r\nId: ID\r\nSeal: s\r\n X-Load: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"blank in the length":       "HTTP/1.1 200 x\r\nId: ID\r\nSeal: s\r\nConnection: close\r\nContent-Length : 5\r\n\r\nwhole and more",
	"blank in the coding":       "HTTP/1.1 200 x\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"blank and not run":         "HTTP/1.1 503 x\r\nId: ID\r\nNot-Run: 1\r\nX : y\r\nContent-Length: 0\r\n\r\n",
	"control byte in a name":    "HTTP/1.1 200 x\r\nId: ID\r\nSeal: s\r\nX-\x01: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"control byte in a value":   "HTTP/1.1 200 x\r\nId: ID\r\nSeal: s\r\nX: \x01\r\nContent-Length: 5\r\n\r\nwhole",
	"chunks in HTTP/1.0":        "HTTP/1.0 200 x\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"chunks and a length":       "HTTP/1.1 200 x\r\nId: ID\r\nSeal: s\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n",
	"status behind interim one": "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 000 x\r\nId: ID\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole",
}

// What is no answer in the protocol reaches no caller, whatever it says: the caller hears at
// once that its request may have run, or gets the answer of another target if it may run twice.
func TestBrokenHeadsAreNotPassedOn(t *testing.T) {
	for name, head := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, raw(head))
			a := f.send(f.request(http.MethodPost, "/ticket/1", "x"))
			g.Expect(a.status).To(Equal(http.StatusBadGateway), "its time limit would be 504")
			g.Expect(a.body).To(ContainSubstring("no whole answer"))
			g.Expect(a.header.Get("Seal")).To(BeEmpty())
			g.Expect(f.requestsSeen()).To(HaveLen(1))

			brokenOnce := firstThen(raw(head), completeAnswer)
			both := newFleet(t, brokenOnce, brokenOnce)
			a = both.send(both.request(http.MethodGet, "/lookup/1", ""))
			g.Expect(a.status).To(Equal(http.StatusOK))
			g.Expect(a.body).To(Equal("whole"))
		})
	}
}

// The statuses 408, 429 and 503 promise a caller that its request has not run. They are passed
// on only from a target that says so itself; without that the request may have run.
func TestPromiseOfNotRunIsPassedOnOnlyIfItIsStated(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for name, header := range map[string]string{"sealed": "Seal: s\r\n", "not sealed": ""} {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				g := NewWithT(t)
				silent := fixedAnswer(status, header, "busy")
				f := newFleet(t, silent, silent)
				a := f.send(f.request(http.MethodPost, "/ticket/1", "x"))
				g.Expect(a.status).To(Equal(http.StatusBadGateway))
				g.Expect(a.header.Get("Seal")).To(BeEmpty())
				g.Expect(f.requestsSeen()).To(HaveLen(1), "it may have run")
				a = f.send(f.request(http.MethodGet, "/lookup/1", ""))
				g.Expect(a.status).To(Equal(http.StatusBadGateway))

				stated := fixedAnswer(status, header+"Not-Run: 1\r\n", "busy")
				f = newFleet(t, stated, stated)
				a = f.send(f.request(http.MethodPost, "/ticket/1", "x"))
				g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
				g.Expect(f.requestsSeen()).To(HaveLen(2))

				silentOnce := firstThen(silent, completeAnswer)
				f = newFleet(t, silentOnce, silentOnce)
				g.Expect(f.send(f.request(http.MethodGet, "/lookup/1", "")).status).To(Equal(http.StatusOK))
			})
		}
	}
}
