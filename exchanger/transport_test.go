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

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// post sends a request with a body through a Transport and returns the answer's status, its
// header and its body.
func post(rt http.RoundTripper, address, body string) (status int, header http.Header, answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxRefusalTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	resp, err := rt.RoundTrip(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(b), err
}

// Heads that are no answers are none through a Transport, on a new connection and on one that
// carried an answer before.
func TestTransportRefusesBadHeads(t *testing.T) {
	for name, raw := range badHeads() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for sound := range 2 {
				s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
					n := 0
					serveRequests(br, func(*http.Request) bool {
						if n++; n <= sound {
							_, _ = io.WriteString(c, answerText("a", "sound"))
							return false
						}
						_, _ = io.WriteString(c, raw)
						_, _ = io.Copy(io.Discard, br)
						return true
					})
				})
				rt := NewTransport(&http.Transport{})
				for range sound {
					status, _, body, err := post(rt, s.Addr().String(), "x")
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(status).To(Equal(http.StatusOK))
					g.Expect(body).To(Equal("sound"))
				}
				status, header, body, err := post(rt, s.Addr().String(), "x")
				g.Expect(err).To(HaveOccurred(), "status %d, header %q, body %q", status, header, body)
				g.Expect(errors.Is(err, context.DeadlineExceeded)).To(BeFalse(), "it is refused at once")
				g.Expect(s.conns.Load()).To(BeEquivalentTo(1), "it is not sent again")
			}
		})
	}
}

// Sound answers come through a Transport one after another on one connection: interim ones
// before them, bodies that look like heads, bodies in chunks.
func TestTransportReusesConnections(t *testing.T) {
	g := NewWithT(t)
	const body = "HTTP/1.1 000 x\r\nX : y\r\n\r\n"
	s := newTarget(t, func(_ int64, c net.Conn, br *bufio.Reader) {
		n := 0
		serveRequests(br, func(*http.Request) bool {
			if n++; n%2 == 0 {
				_, _ = io.WriteString(c, "HTTP/1.1 103 x\r\nA: b\r\n\r\n")
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
				return false
			}
			_, _ = io.WriteString(c, "HTTP/1.1 100 x\r\n\r\n"+answerText("a", body))
			return false
		})
	})
	rt := NewTransport(&http.Transport{})
	for range 20 {
		_, _, got, err := post(rt, s.Addr().String(), "x")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(body))
	}
	g.Expect(s.conns.Load()).To(BeEquivalentTo(1))
	rt.CloseIdleConnections()
}

// An answer that is reset while its request is being written is not complete through a
// Transport, and one that ends in good order is.
func TestTransportTellsTheEndFromAReset(t *testing.T) {
	for name, resets := range map[string]bool{"reset": true, "end": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newTarget(t, answerEarly("", "body", func(c *net.TCPConn) {
				if resets {
					resetOnClose(c)
					return
				}
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			}))
			rt := NewTransport(&http.Transport{})
			for range 20 {
				_, _, body, err := post(rt, s.Addr().String(), strings.Repeat("x", uploadSize))
				g.Expect(err != nil).To(Equal(resets), "%q, error %v", body, err)
			}
		})
	}
}
