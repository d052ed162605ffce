// Package mangler is a stand-in of a server that sends any bytes as its answer, for the tests
// of all that read answers.
package mangler

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Script answers a request, of which only the head was read. The connection is closed when it
// returns.
type Script func(c *net.TCPConn, r *http.Request)

// Serve starts a server that answers the first request on each connection by a script. It
// returns the server's address, as host:port, and ends the server with the test.
func Serve(t testing.TB, answer Script) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn), answer)
		}
	}()
	return l.Addr().String()
}

func serve(c *net.TCPConn, answer Script) {
	defer func() { _ = c.Close() }()
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		answer(c, r)
	}
}

// Send returns a script that reads a request to its end and sends some bytes.
func Send(raw string) Script {
	return func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, raw)
	}
}

// SendAndHold returns a script that sends some bytes and keeps the connection open until the
// other side closes it.
func SendAndHold(raw string) Script {
	return func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, raw)
		_, _ = io.Copy(io.Discard, c)
	}
}
