package starter_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"buckthorndrum/starter"
)

// A router that can wait no longer for the requests in progress tells their callers so.
// Their connections were closed without an answer, or without the end of a stream.
func TestStoppingRouterAnswersRequestsInProgress(t *testing.T) {
	for name, accept := range map[string]string{"one body": "application/json", "stream": "text/event-stream"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			start, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			f, err := starter.Start(start, starter.Config{Routers: 1, Engines: 1, Services: 1, Log: zap.NewNop(), Seed: 1})
			g.Expect(err).NotTo(HaveOccurred())
			defer f.Close()
			type answer struct {
				body string
				err  error
			}
			answers := make(chan answer, 1)
			go func() {
				req, _ := http.NewRequest(http.MethodPost, "http://"+f.Routers[0].Address()+"/v1/requests", strings.NewReader(`{"kind":"answer","prompt":"tokens=2000"}`))
				req.Header.Set("Authorization", "Bearer "+starter.WorkspaceToken("tanta"))
				req.Header.Set("Accept", accept)
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					answers <- answer{err: err}
					return
				}
				defer func() { _ = resp.Body.Close() }()
				body, err := io.ReadAll(resp.Body)
				answers <- answer{string(body), err}
			}()
			time.Sleep(300 * time.Millisecond)
			stop, cancelStop := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancelStop()
			g.Expect(f.Routers[0].Drain(stop)).NotTo(Succeed())
			a := <-answers
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.body).To(ContainSubstring(`"outcome":"unknown"`))
			if accept == "text/event-stream" {
				g.Expect(a.body).To(ContainSubstring("event: problem"))
			}
		})
	}
}
