package forwarder

import (
	"bufio"
	"fmt"
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
