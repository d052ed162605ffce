package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// uploadSize is the size of a body that is still being written when the answer to it comes,
// in bytes.
const uploadSize = 8 << 20

// uploadCall returns a request with a body of uploadSize bytes.
func uploadCall(address string) Call {
	return Call{Address: address, Method: http.MethodPost, ID: "a", Body: []byte(strings.Repeat("x", uploadSize)),
		Head: fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: %d\r\n\r\n", uploadSize)}
}

// answerEarly answers an upload before it is read, with head and body, and then ends the
// connection as end does.
func answerEarly(head, body string, end func(c *net.TCPConn)) func(int64, net.Conn, *bufio.Reader) {
	return func(_ int64, c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n"+head+"\r\n"+body)
		time.Sleep(10 * time.Millisecond) // The write of the upload waits for room by now.
		end(c.(*net.TCPConn))
	}
}

// A target resets the connection in the middle of its answer while the upload is still being
// written. The write may meet the reset before the read does, which then sees the end of the
// connection and nothing else. The answer must not look complete.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	for name, head := range map[string]string{"without a length": "", "with a length": "Content-Length: 100\r\n", "in chunks": "Transfer-Encoding: chunked\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newTarget(t, answerEarly(head, "4\r\npart\r\n", func(c *net.TCPConn) { resetOnClose(c) }))
			for range 20 {
				a, err := newPool().Do(context.Background(), uploadCall(s.Addr().String()))
				g.Expect(err).NotTo(HaveOccurred())
				body, err := io.ReadAll(a.Body)
				g.Expect(err).To(HaveOccurred(), "%q is a part of an answer", body)
				a.Abort()
			}
		})
	}
}

// An answer that ends in good order before the upload does is complete, whether the target
// goes on reading, does not read, or is gone.
func TestAnswerThatEndsBeforeTheUploadIsComplete(t *testing.T) {
	const wait = 100 * time.Millisecond
	ends := map[string]func(c *net.TCPConn){
		"reads on": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		},
		"does not read": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(wait)
		},
		"resets later": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(wait)
			resetOnClose(c)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newTarget(t, answerEarly("", "whole", end))
			for _, pause := range []time.Duration{0, 2 * wait} {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				a, err := newPool().Do(ctx, uploadCall(s.Addr().String()))
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(pause)
				g.Expect(readBody(g, a)).To(Equal("whole"))
				a.Release()
				cancel()
			}
		})
	}
}
