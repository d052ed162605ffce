package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// benchRequest is a request as the callers of streams send it.
const benchRequest = "POST /once/x HTTP/1.1\r\nHost: desk\r\nId: id1\r\nKey: k\r\nModel: m\r\nPatience: 5000\r\nX-Token-Usage: 1460,80\r\n" +
	"X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nContent-Length: 12\r\n\r\nhello, there"

// exchangeOnce sends benchRequest on a connection, reads the answer and returns its
// status.
func exchangeOnce(b *testing.B, c net.Conn, br *bufio.Reader) int {
	if _, err := io.WriteString(c, benchRequest); err != nil {
		b.Fatal(err)
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// BenchmarkRefusal measures a request that is shed for lack of processor time, each on
// a connection of its own.
func BenchmarkRefusal(b *testing.B) {
	f := newFleet(b, completeAnswer)
	f.overload.shedPermille.Store(1000)
	f.overload.overloadedSince.Store(1)
	f.overload.admission.addRequest("w")
	f.overload.admission.update(0)
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		f.overload.shedPermille.Store(1000)
		c, err := net.Dial("tcp4", f.address)
		if err != nil {
			b.Fatal(err)
		}
		exchangeOnce(b, c, bufio.NewReader(c))
		_ = c.Close()
	}
}

// BenchmarkStream measures a stream of 20 events on a kept connection.
func BenchmarkStream(b *testing.B) {
	for _, targets := range []int{4, 180} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			f := newFleet(b)
			for i := 0; i < targets; i++ {
				f.addTarget(fmt.Sprintf("t%d", i), events(20, true, ""))
			}
			c, err := net.Dial("tcp4", f.address)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				if s := exchangeOnce(b, c, br); s != http.StatusOK {
					b.Fatal(s)
				}
			}
		})
	}
}
