package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// pacedEvents answers a stream with as many events as the request's Length header says, one
// every pause, and all other requests at once.
func pacedEvents(pause time.Duration) script {
	return func(w net.Conn, r *http.Request) bool {
		n, err := strconv.Atoi(r.Header.Get("Length"))
		if err != nil {
			return completeAnswer(w, r)
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := 1; i <= n; i++ {
			time.Sleep(pause)
			writeChunk(w, numberedEvents(i, i))
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
}

// keptConn is a caller's connection that is used for more than one request.
type keptConn struct {
	net.Conn
	br *bufio.Reader
}

func (f *fleet) keep() *keptConn {
	f.t.Helper()
	c, err := net.Dial("tcp4", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	return &keptConn{Conn: c, br: bufio.NewReader(c)}
}

// send sends a request with additional header fields, each ended by a line break, and
// returns its answer.
func (k *keptConn) send(method, path, header string) callerAnswer {
	_, _ = fmt.Fprintf(k, "%s %s HTTP/1.1\r\nHost: desk\r\nId: id1\r\nKey: k\r\n%s\r\n", method, path, header)
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return callerAnswer{truncated: true}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return callerAnswer{status: resp.StatusCode, header: resp.Header, body: string(body), truncated: err != nil, closing: resp.Close}
}

// stopLimit is the time that routers have to stop in these tests.
const stopLimit = 5500 * time.Millisecond

// startDrain begins to stop the router.
func (f *fleet) startDrain() (drained chan error) {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	f.t.Cleanup(cancel)
	drained = make(chan error, 1)
	go func() { drained <- f.Drain(ctx) }()
	return drained
}

// The log of a stopped router tells when it stopped, when each request had been read, and
// how many the stop ended.
func TestStopIsLoggedWithTheRequestsThatItEnds(t *testing.T) {
	g := NewWithT(t)
	core, logs := observer.New(zapcore.InfoLevel)
	cfg := testConfig(t)
	cfg.Log = zap.New(core)
	f := newFleetWith(t, cfg, hang(make(chan struct{})))
	answers := make(chan callerAnswer, 1)
	go func() { answers <- f.keep().send(http.MethodPost, "/ticket/1", "") }()
	eventually(t, "request arrives", func() bool { return len(f.requestsSeen()) == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	g.Expect(f.Drain(ctx)).NotTo(Succeed())
	g.Expect((<-answers).status).To(Equal(http.StatusGatewayTimeout))
	stopping, stopped := logs.FilterMessage("stopping").All(), logs.FilterMessage("stopped").All()
	g.Expect(stopping).To(HaveLen(1))
	g.Expect(stopping[0].ContextMap()["limit"]).To(BeNumerically("~", 100*time.Millisecond, 50*time.Millisecond))
	g.Expect(stopped).To(HaveLen(1))
	g.Expect(stopped[0].ContextMap()["requests_ended"]).To(BeEquivalentTo(1))
	ended := logs.FilterMessage("request ended").All()
	g.Expect(ended).To(HaveLen(1))
	g.Expect(ended[0].ContextMap()["read_since_stop"]).To(BeNumerically("<", 0))
}
