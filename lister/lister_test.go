package lister

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/mangler"
)

const list = `[{"role":"router","name":"r1","address":"127.0.0.1:1","state":"live"}]`

// listFrom reads the list from a platform that answers with some bytes and then ends the
// connection.
func listFrom(t *testing.T, answer string) ([]Instance, error) {
	t.Helper()
	return New("http://"+mangler.Serve(t, mangler.Send(answer)), 2*time.Second).List(context.Background())
}

func TestListIsRead(t *testing.T) {
	g := NewWithT(t)
	want := []Instance{{Role: Router, Name: "r1", Address: "127.0.0.1:1", State: Live}}
	g.Expect(listFrom(t, fmt.Sprintf("HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s", len(list), list))).To(Equal(want))
	g.Expect(listFrom(t, "HTTP/1.1 200 x\r\n\r\n"+list)).To(Equal(want))
	g.Expect(listFrom(t, "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\n[]")).To(BeEmpty())
}

// A list that breaks off is refused wherever it does, and so is what is no answer.
func TestBrokenListIsRefused(t *testing.T) {
	broken := map[string]string{
		"status 000":          "HTTP/1.1 000 x\r\n\r\n" + list,
		"HTTP/2.0":            "HTTP/2.0 200 x\r\n\r\n" + list,
		"blank behind a name": "HTTP/1.1 200 x\r\nX : y\r\n\r\n" + list,
		"blank before a name": "HTTP/1.1 200 x\r\nX: y\r\n Z: y\r\n\r\n" + list,
		"control byte":        "HTTP/1.1 200 x\r\nX\x01: y\r\n\r\n" + list,
		"chunks in HTTP/1.0":  "HTTP/1.0 200 x\r\nTransfer-Encoding: chunked\r\n\r\n" + list,
	}
	for _, body := range []string{"null", list + list, list + "x", "{}", ""} {
		broken[body] = fmt.Sprintf("HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for length := range len(list) {
		broken[fmt.Sprintf("%d bytes", length)] = "HTTP/1.1 200 x\r\n\r\n" + list[:length]
	}
	for name, answer := range broken {
		got, err := listFrom(t, answer)
		NewWithT(t).Expect(err).To(HaveOccurred(), "%s: %v", name, got)
	}
	_, err := listFrom(t, "HTTP/1.1 200 x\r\nContent-Length: 500\r\n\r\n"+strings.Repeat(" ", 5)+"[]")
	NewWithT(t).Expect(err).To(HaveOccurred(), "the connection ended before the body")
}
