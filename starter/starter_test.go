package starter_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"buckthorndrum/identifier"
	"buckthorndrum/imitator"
	"buckthorndrum/router"
	"buckthorndrum/starter"
)

func TestStarter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "starter")
}

// post submits a request and returns the status and the body.
func post(url, token, body string, header map[string]string) (int, string) {
	return send(http.MethodPost, url+"/v1/requests", token, body, header)
}

func call(method, url, token, body string) (int, string) {
	return send(method, url, token, body, nil)
}

// waitingAt returns how many requests wait at a router.
func waitingAt(url string) int {
	_, body := call(http.MethodGet, url+"/v1/status", starter.OperatorToken, "")
	var st router.Status
	Expect(json.Unmarshal([]byte(body), &st)).To(Succeed())
	return st.Waiting
}

func send(method, url, token, body string, header map[string]string) (int, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+token)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(raw)
}

var _ = Describe("a local fleet", Ordered, func() {
	var f *starter.Fleet
	var urls []string
	token := starter.WorkspaceToken("tanta")

	BeforeAll(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		var err error
		f, err = starter.Start(ctx, starter.Config{Routers: 2, Engines: 2, Services: 2, Log: zap.NewNop(), Seed: 1})
		Expect(err).NotTo(HaveOccurred())
		for _, r := range f.Routers {
			urls = append(urls, "http://"+r.Address())
		}
	})

	AfterAll(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		Expect(f.Drain(ctx)).To(Succeed())
	})

	It("answers a model request whole", func() {
		status, body := post(urls[0], token, `{"kind":"answer","prompt":"where is my ticket? tokens=20"}`, nil)
		Expect(status).To(Equal(http.StatusOK), body)
		var c router.Completion
		Expect(json.Unmarshal([]byte(body), &c)).To(Succeed())
		Expect(c.Outcome).To(Equal(identifier.Done))
		var want strings.Builder
		for i := range 20 {
			want.WriteString(imitator.Token("where is my ticket? tokens=20", i))
		}
		Expect(c.Answer).To(Equal(want.String()))
	})

	It("streams with an explicit end", func() {
		status, body := post(urls[1], token, `{"kind":"draft","prompt":"tokens=5"}`, map[string]string{"Accept": "text/event-stream"})
		Expect(status).To(Equal(http.StatusOK))
		Expect(strings.Count(body, "event: token\n")).To(Equal(5), body)
		Expect(body).To(ContainSubstring("event: end\n"))
		Expect(body).To(ContainSubstring(`"outcome":"done"`))
	})

	It("issues a ticket once under a caller's own key, repeated at both routers", func() {
		key := uuid.Must(uuid.NewV7()).String()
		var first string
		for i := range 4 {
			status, body := post(urls[i%2], token, `{"kind":"ticket","payload":{"bale":7}}`, map[string]string{"Idempotency-Key": key})
			Expect(status).To(Equal(http.StatusOK), body)
			var c router.Completion
			Expect(json.Unmarshal([]byte(body), &c)).To(Succeed())
			if first == "" {
				first = c.Answer
			}
			Expect(c.Answer).To(Equal(first))
		}
		total := 0
		for _, s := range f.Standins.Services {
			for _, n := range s.Runs() {
				total += n
			}
		}
		Expect(total).To(Equal(1))
	})

	It("never says not run of a key that another router may have run", func() {
		f.Standins.Store.SetFaults(imitator.StoreFaults{Outage: true})
		defer f.Standins.Store.SetFaults(imitator.StoreFaults{})
		Expect(f.StartRouter("cold", "dc1", 0, nil)).To(Succeed())
		cold := "http://" + f.Routers[2].Address()
		key := uuid.Must(uuid.NewV7()).String()
		good := `{"kind":"ticket","payload":{"bale":8}}`
		for _, tc := range []struct{ url, token, body string }{
			{cold, token, good},
			{urls[0], "wrong", good},
			{urls[0], token, `{"kind":`},
			{urls[0], token, `{"kind":"nonesuch"}`},
			{urls[0], token, `{"kind":"ticket","deadline_ms":-1}`},
			{urls[0], token, good}, // The store is down, so that the key cannot be looked up.
		} {
			status, body := post(tc.url, tc.token, tc.body, map[string]string{"Idempotency-Key": key})
			Expect(status).To(BeNumerically(">=", 400))
			Expect(body).To(ContainSubstring(`"outcome":"unknown"`), "%+v", tc)
			_, body = post(tc.url, tc.token, tc.body, map[string]string{"Idempotency-Key": key, "Idempotency-Attempt": "first"})
			Expect(body).To(ContainSubstring(`"outcome":"not_run"`), "%+v, first", tc)
		}
	})

	It("starts a router from its seeds without reading the configuration", func() {
		seeds := []string{f.Agents[0].Address()}
		// A router that was started while the store was down reads all parts once it
		// is back, which is not what is counted here.
		for _, r := range f.Routers {
			Eventually(r.Revision, "20s").Should(Equal(identifier.Revision(1)))
		}
		before := f.Standins.Store.Counts()
		Expect(f.StartRouter("seeded", "dc1", 0, seeds)).To(Succeed())
		seeded := f.Routers[len(f.Routers)-1]
		Eventually(seeded.Revision, "20s").Should(Equal(identifier.Revision(1)))
		after := f.Standins.Store.Counts()
		// One call for the head, by which it watches, and none for the parts.
		Expect(after.Reads - before.Reads).To(BeNumerically("<=", 1))
	})

	It("orders the pool's model at engines that have another one", func() {
		for _, e := range f.Standins.Engines {
			Eventually(e.Model, "10s").Should(Equal("drafter"))
		}
	})

	It("resumes an answer at the other router, for its own workspace only", func() {
		prompt := "a dossier tokens=30"
		_, body := post(urls[0], token, `{"kind":"draft","prompt":"`+prompt+`"}`, nil)
		var c router.Completion
		Expect(json.Unmarshal([]byte(body), &c)).To(Succeed())
		status, rest := call(http.MethodGet, urls[1]+"/v1/requests/"+string(c.Request)+"?from=10", token, "")
		Expect(status).To(Equal(http.StatusOK), rest)
		var tail router.Completion
		Expect(json.Unmarshal([]byte(rest), &tail)).To(Succeed())
		var want strings.Builder
		for i := 10; i < 30; i++ {
			want.WriteString(imitator.Token(prompt, i))
		}
		Expect(tail.Answer).To(Equal(want.String()))
		Expect(tail.Outcome).To(Equal(identifier.Done))
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			status, out := call(method, urls[1]+"/v1/requests/"+string(c.Request), starter.WorkspaceToken("karachi"), "")
			Expect(status).To(BeNumerically(">=", 400), out)
			Expect(out).To(ContainSubstring(`"outcome":"unknown"`))
		}
	})

	It("cancels a running answer through the other router and gives its slot back", func() {
		r, err := http.NewRequest(http.MethodPost, urls[0]+"/v1/requests", strings.NewReader(`{"kind":"draft","prompt":"long tokens=2000"}`))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+token)
		r.Header.Set("Accept", "text/event-stream")
		resp, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		sc := bufio.NewScanner(resp.Body)
		var accepted struct{ Request string }
		for sc.Scan() && accepted.Request == "" {
			if data, ok := strings.CutPrefix(sc.Text(), "data: "); ok {
				Expect(json.Unmarshal([]byte(data), &accepted)).To(Succeed())
			}
		}
		status, _ := call(http.MethodDelete, urls[1]+"/v1/requests/"+accepted.Request, token, "")
		Expect(status).To(Equal(http.StatusNoContent))
		last := ""
		for sc.Scan() {
			if name, ok := strings.CutPrefix(sc.Text(), "event: "); ok {
				last = name
			}
		}
		Expect(last).To(Equal("problem"))
		Eventually(func() int {
			n := 0
			for _, a := range f.Agents {
				n += a.Load().Running
			}
			return n
		}, "5s").Should(BeZero())
	})

	It("forgets a request that is abandoned half-way", func() {
		conn, err := net.Dial("tcp", strings.TrimPrefix(urls[0], "http://"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "POST /v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+token+"\r\nContent-Length: 500\r\n\r\n{\"kind\":")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		Consistently(func() int { return waitingAt(urls[0]) }, "300ms").Should(BeZero())
		status, body := post(urls[0], token, `{"kind":"tag","prompt":"tokens=2"}`, nil)
		Expect(status).To(Equal(http.StatusOK), body)
	})

	It("cancels a request that waits at the other router", func() {
		for _, a := range f.Agents { // Nobody grants, so that the request waits.
			a.SetLeaving(true)
			defer a.SetLeaving(false)
		}
		done := make(chan string, 1)
		go func() {
			_, body := post(urls[0], token, `{"kind":"tag","prompt":"tokens=2"}`, nil)
			done <- body
		}()
		Eventually(func() int { return waitingAt(urls[0]) }, "5s").Should(Equal(1))
		var id string
		Eventually(func() int { // The list lags.
			for n := range 60 {
				id = fmt.Sprintf("%s%d", f.Routers[0].RequestPrefix(), n)
				if status, _ := call(http.MethodDelete, urls[1]+"/v1/requests/"+id, token, ""); status == http.StatusNoContent && waitingAt(urls[0]) == 0 {
					return 0
				}
			}
			return 1
		}, "12s").Should(BeZero())
		Expect(<-done).To(ContainSubstring(`"outcome":"not_run"`))
	})

	It("lets no unknown process join a link or hand over work", func() {
		for _, path := range []string{"/link", "/keys", "/run", "/answers/x?from=0"} {
			method := http.MethodPost
			if path == "/link" || strings.HasPrefix(path, "/answers") {
				method = http.MethodGet
			}
			status, _ := call(method, "http://"+f.Agents[0].Address()+path, token, "{}")
			Expect(status).To(Equal(http.StatusUnauthorized), path)
		}
	})

	It("refuses a body that is too large", func() {
		status, out := post(urls[0], token, `{"kind":"answer","prompt":"`+strings.Repeat("x", 2<<20)+`"}`, nil)
		Expect(status).To(Equal(http.StatusRequestEntityTooLarge), out)
	})

	It("refuses what is malformed without running it", func() {
		for body, want := range map[string]int{
			`{"kind":"ticket","payload":{}}`:   http.StatusBadRequest,
			`{"kind":"nonesuch","prompt":"x"}`: http.StatusBadRequest,
			`{"kind":`:                         http.StatusBadRequest,
			`{"kind":"answer","colour":"red"}`: http.StatusBadRequest,
		} {
			status, out := post(urls[0], token, body, nil)
			Expect(status).To(Equal(want), out)
			Expect(out).To(ContainSubstring(`"outcome":"not_run"`))
		}
		status, _ := post(urls[0], "wrong", `{"kind":"answer","prompt":"x"}`, nil)
		Expect(status).To(Equal(http.StatusUnauthorized))
	})
})
