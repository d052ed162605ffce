package forwarder

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

// largeAnswer answers once release is closed, with more than the callers' kernels take in at
// once.
func largeAnswer(size int, release chan struct{}) script {
	body := strings.Repeat("x", size)
	return func(w net.Conn, r *http.Request) bool {
		<-release
		reply(w, r, http.StatusOK, "Seal: s\r\n", body)
		return true
	}
}

// The end of an answer was lost to a reset where its caller had sent more than the request:
// a stopping router closes the connection with those bytes unread.
func TestStoppingRouterEndsAnswersBeforeUnreadInput(t *testing.T) {
	for name, input := range map[string]string{"empty line": "\r\n", "next request": "GET /lookup/2 HTTP/1.1\r\nHost: desk\r\nId: id2\r\nKey: k\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			release := make(chan struct{})
			const size = 2 << 20
			f := newFleet(t, largeAnswer(size, release))
			k := f.keep()
			_, _ = io.WriteString(k, "POST /ticket/1 HTTP/1.1\r\nHost: desk\r\nId: id1\r\nKey: k\r\n\r\n")
			eventually(t, "request arrives", func() bool { return len(f.requestsSeen()) == 1 })
			drained := f.startDrain(time.Second)
			eventually(t, "router stops", func() bool { return !f.Ready(clocker.Now()) })
			_, _ = io.WriteString(k, input)
			time.Sleep(50 * time.Millisecond)
			close(release)
			time.Sleep(200 * time.Millisecond)
			a := k.read()
			g.Expect(a.truncated).To(BeFalse())
			g.Expect(a.body).To(HaveLen(size))
			g.Expect(a.closing).To(BeTrue())
			g.Eventually(drained, "3s").Should(Receive())
		})
	}
}

// A stream that a stopping router cuts off while its HTTP/1.0 caller reads slowly looked
// complete: the connection ended as if the stream had.
func TestStopResetsHTTP10StreamOfSlowCaller(t *testing.T) {
	g := NewWithT(t)
	const size = 8 << 20
	f := newFleet(t, func(w net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 x\r\nId: "+r.Header.Get("Id")+"\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		event := "data: " + strings.Repeat("x", 1<<10) + "\n\n"
		for range size >> 10 {
			writeChunk(w, event)
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	})
	k := f.keep()
	_, _ = io.WriteString(k, "POST /once/1 HTTP/1.0\r\nHost: desk\r\nId: id1\r\nKey: k\r\n\r\n")
	eventually(t, "request arrives", func() bool { return len(f.requestsSeen()) == 1 })
	g.Eventually(f.startDrain(300*time.Millisecond), "3s").Should(Receive())
	n, err := io.Copy(io.Discard, k)
	g.Expect(n).To(BeNumerically("<", size), "the stream is not whole")
	g.Expect(err).To(MatchError(ContainSubstring("reset")))
}

// answeredOften has the estimate know short answers of a kind.
func (f *fleet) answeredOften(kind identifier.Kind) {
	for range 30 {
		f.durations.record(clocker.Now(), kind, answerTimeOf(50*time.Millisecond, 200*time.Millisecond, 0))
	}
}

// afterPortClosed sends a request behind a stream that lasts until the port is closed, on a
// stopping router, and returns the connection with the request's answer still to be read.
func (f *fleet) afterPortClosed(g Gomega, method, path, header string) (k *keptConn, drained chan error) {
	k = f.keep()
	k.write(http.MethodPost, "/stream/1", "Length: 38\r\n")
	k.write(method, path, header)
	eventually(f.t.(*testing.T), "stream has begun", func() bool { return len(f.requestsSeen()) == 1 })
	time.Sleep(150 * time.Millisecond)
	drained = f.startDrain(stopLimit)
	g.Expect(k.read().body).To(Equal(numberedEvents(1, 38)))
	return k, drained
}

// A late answer of a route that is not marked as a stream was cut off, as its target answers
// with one.
func TestStoppingRouterPassesOnUnmarkedStreamsWhole(t *testing.T) {
	for _, path := range []string{"/open/2", "/lookup/2"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := newFleet(t, pacedEvents(100*time.Millisecond))
			f.answeredOften("/open/")
			f.answeredOften("/lookup/")
			k, drained := f.afterPortClosed(g, http.MethodPost, path, "Length: 38\r\n")
			a := k.read()
			g.Expect(a.truncated).To(BeFalse())
			g.Expect(a.status).To(Equal(http.StatusGatewayTimeout))
			g.Eventually(drained, "3s").Should(Receive())
		})
	}
}
