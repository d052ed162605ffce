package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"buckthorndrum/mangler"
)

// maxRefusalTime bounds the time that a broken answer is waited for, and is not the bound at
// which it is refused.
const maxRefusalTime = 10 * time.Second

// runAt runs a call at the target of a client and returns the tokens, the status and the
// error.
func runAt(client targetClient, body string) (tokens []string, status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxRefusalTime)
	defer cancel()
	status, err = client.run(ctx, call{request: "r", path: "/x", body: []byte(body), maxTokens: 1}, func(token string) { tokens = append(tokens, token) })
	return tokens, status, err
}

// A service resets the connection in the middle of an answer without a length while the call
// is still being written: the part must not pass for the answer.
func TestAnswerThatIsResetDuringTheCallIsNotWhole(t *testing.T) {
	g := NewWithT(t)
	url := "http://" + mangler.Serve(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(10 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	s := &serviceClient{baseURL: url, client: newTargetClient()}
	for range 20 {
		tokens, _, err := runAt(s, strings.Repeat("x", 8<<20))
		g.Expect(err).To(HaveOccurred(), "%q is a part of an answer", tokens)
		g.Expect(errors.Is(err, errNotRun)).To(BeFalse())
		g.Expect(tokens).To(BeEmpty())
	}
}

// A service that ends its answer in good order before the call has been written is heard out.
func TestAnswerThatEndsBeforeTheCallIsWhole(t *testing.T) {
	g := NewWithT(t)
	url := "http://" + mangler.Serve(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
	s := &serviceClient{baseURL: url, client: newTargetClient()}
	for range 5 {
		tokens, status, err := runAt(s, strings.Repeat("x", 8<<20))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(tokens).To(Equal([]string{"whole"}))
	}
}

// What is no answer in the protocol is none for an agent, from a service or an engine, and
// does not show that the call has not run.
func TestBrokenHeadsAreNoAnswers(t *testing.T) {
	const stream = "data: {\"index\":0,\"text\":\"a\"}\n\ndata: [DONE]\n\n"
	for name, head := range map[string]string{
		"status 000":              "HTTP/1.1 000 x\r\nContent-Length: LENGTH\r\n\r\nBODY",
		"status 000, body":        "HTTP/1.1 000 x\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: LENGTH\r\n\r\nBODY",
		"status 999":              "HTTP/1.1 999 x\r\nContent-Length: LENGTH\r\n\r\nBODY",
		"blank behind a name":     "HTTP/1.1 200 x\r\nX : y\r\nContent-Length: LENGTH\r\n\r\nBODY",
		"blank before a name":     "HTTP/1.1 200 x\r\nX: y\r\n Content-Length: LENGTH\r\n\r\nBODY",
		"control byte in a name":  "HTTP/1.1 200 x\r\nX\x01: y\r\nContent-Length: LENGTH\r\n\r\nBODY",
		"chunks in HTTP/1.0":      "HTTP/1.0 200 x\r\nTransfer-Encoding: chunked\r\n\r\nBODY",
		"409 with a broken field": "HTTP/1.1 409 x\r\nX Y: z\r\nContent-Length: LENGTH\r\n\r\nBODY",
	} {
		for kind, newClient := range map[string]func(url string) targetClient{
			"service": func(url string) targetClient { return &serviceClient{baseURL: url, client: newTargetClient()} },
			"engine":  func(url string) targetClient { return &engineClient{url, newTargetClient()} },
		} {
			t.Run(name+" from a "+kind, func(t *testing.T) {
				g := NewWithT(t)
				answer := strings.NewReplacer("LENGTH", fmt.Sprint(len(stream)), "BODY", stream).Replace(head)
				tokens, status, err := runAt(newClient("http://"+mangler.Serve(t, mangler.SendAndHold(answer))), "{}")
				g.Expect(err).To(HaveOccurred(), "status %d, tokens %q", status, tokens)
				g.Expect(errors.Is(err, errNotRun)).To(BeFalse())
				g.Expect(tokens).To(BeEmpty())
				g.Expect(errors.Is(err, context.DeadlineExceeded)).To(BeFalse(), "it is refused at once")
			})
		}
	}
}

// An answer that is longer than an agent takes is none. Its beginning would look whole.
func TestAnswerBeyondTheLimitIsNotWhole(t *testing.T) {
	for _, tooLong := range []bool{false, true} {
		t.Run(fmt.Sprint(tooLong), func(t *testing.T) {
			g := NewWithT(t)
			size := maxAnswerBytes
			if tooLong {
				size++
			}
			url := "http://" + mangler.Serve(t, func(c *net.TCPConn, _ *http.Request) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
			})
			tokens, _, err := runAt(&serviceClient{baseURL: url, client: newTargetClient()}, "{}")
			g.Expect(err != nil).To(Equal(tooLong))
			g.Expect(len(tokens) == 0).To(Equal(tooLong))
			g.Expect(errors.Is(err, errNotRun)).To(BeFalse())
		})
	}
}

// An engine breaks its stream off at each byte in turn. What the stream lacks is read again,
// and no half event is taken for a whole one or for the end.
func TestStreamThatBreaksOffAnywhereIsResumed(t *testing.T) {
	const event, end = "data: {\"index\":%d,\"text\":\"%c\"}\n\n", "data: [DONE]\n\n"
	stream := func(from int) string {
		s := ""
		for i := from; i < 3; i++ {
			s += fmt.Sprintf(event, i, 'a'+i)
		}
		return s + end
	}
	for length := range len(stream(0)) {
		for framing, head := range map[string]string{"length": "Content-Length: LENGTH\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\nffff\r\n", "neither": "\r\n"} {
			g := NewWithT(t)
			url := "http://" + mangler.Serve(t, func(c *net.TCPConn, r *http.Request) {
				from, _ := strconv.Atoi(r.FormValue("from"))
				whole := stream(from)
				if r.Method != http.MethodPost {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 x\r\n"+strings.ReplaceAll(head, "LENGTH", strconv.Itoa(len(whole)))+whole[:length])
			})
			tokens, _, err := runAt(&engineClient{url, newTargetClient()}, "{}")
			g.Expect(err).NotTo(HaveOccurred(), "%d bytes with %s", length, framing)
			g.Expect(tokens).To(Equal([]string{"a", "b", "c"}), "%d bytes with %s", length, framing)
		}
	}
}

// An event that lacks its index or its text is no token: an engine in trouble may send others.
func TestEventWithoutTokenIsNone(t *testing.T) {
	for _, data := range []string{"{}", "null", "[]", "0", "{\"error\":\"out of memory\"}", "{\"text\":\"a\"}", "{\"index\":0}", "{\"index\":null,\"text\":\"a\"}", "{\"index\":-1,\"text\":\"a\"}", "{\"index\":0,\"text\":\"a\"} x"} {
		t.Run(data, func(t *testing.T) {
			g := NewWithT(t)
			body := "data: " + data + "\n\ndata: [DONE]\n\n"
			url := "http://" + mangler.Serve(t, func(c *net.TCPConn, _ *http.Request) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			})
			tokens, _, err := runAt(&engineClient{url, newTargetClient()}, "{}")
			g.Expect(err).To(HaveOccurred())
			g.Expect(errors.Is(err, errNotRun)).To(BeFalse())
			g.Expect(tokens).To(BeEmpty())
		})
	}
}

// A report of an engine that breaks off, is none, or lacks the size of the batch changes
// nothing: as a load of zero it would have the agent grant what the engine has no room for.
func TestBrokenReportOfAnEngineIsRefused(t *testing.T) {
	const report = `{"batch":3,"model":"m","adapters":[],"loading":false,"fence":7}`
	bodies := map[string]bool{report: true, `{"batch":0}`: true, "null": false, "{}": false, `{"model":"m"}`: false, `{"error":"x"}`: false, "": false, report + "x": false, report + report: false}
	for length := range len(report) {
		bodies[report[:length]] = false
	}
	for body, sound := range bodies {
		for framing, head := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), "neither": "\r\n"} {
			url := "http://" + mangler.Serve(t, func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, "HTTP/1.1 200 x\r\n"+head+body) })
			a := &Agent{cfg: Config{TargetURL: url}, client: newTargetClient(), ctx: context.Background()}
			var l engineLoad
			err := a.callEngine(http.MethodGet, "/v1/load", nil, &l)
			NewWithT(t).Expect(err == nil && l.check() == nil).To(Equal(sound), "%q with %s", body, framing)
		}
	}
}
