package router_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"buckthorndrum/imitator"
	"buckthorndrum/lister"
	"buckthorndrum/router"
	"buckthorndrum/securer"
	"buckthorndrum/starter"
	"buckthorndrum/storer"
)

// slowStore is a store whose read of the head record lets another change overtake it.
type slowStore struct {
	*storer.Client
	// overtake is called once, between such a read and its return.
	overtake atomic.Pointer[func()]
}

func (s *slowStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	e, err := s.Client.Get(ctx, key)
	if do := s.overtake.Load(); do != nil && key == "config/head" && s.overtake.CompareAndSwap(do, nil) {
		(*do)()
	}
	return e, err
}

// noInstances is an empty instance list.
type noInstances struct{}

func (noInstances) List(context.Context) ([]lister.Instance, error) { return nil, nil }

// A change that has lost a race against another one is told so (412), also if the other one
// comes in force between its read of the store and its check. It was told that the store is
// behind (503).
func TestOvertakenChangeIsAConflict(t *testing.T) {
	g := NewWithT(t)
	standin := httptest.NewServer(imitator.NewStore(imitator.StoreConfig{}).Handler())
	defer standin.Close()
	store := &slowStore{Client: storer.New(storer.Config{Address: standin.URL, Timeout: 5 * time.Second})}
	r, err := router.Start(router.Config{
		Name: "r1", DataCentre: "dc1", Region: "region1", Listen: "127.0.0.1:0", Store: store, Instances: noInstances{},
		Security: securer.Config{Secret: starter.Secret}, Log: zap.NewNop(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Stop()
	url := "http://" + r.Address()
	doc := starter.Document([]string{"127.0.0.1:1"}, nil)
	g.Expect(starter.PutFirst(t.Context(), url, doc)).To(Succeed())
	change := func(method, tag, body string) (int, string, string) {
		req, _ := http.NewRequest(method, url+"/v1/config", strings.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+starter.OperatorToken)
		req.Header.Set("If-Match", tag)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Error(err)
			return 0, "", ""
		}
		defer func() { _ = resp.Body.Close() }()
		raw, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(raw), resp.Header.Get("ETag")
	}
	status, stored, tag := change(http.MethodGet, "", "")
	g.Expect(status).To(Equal(http.StatusOK))
	overtaking := make(chan int, 1)
	overtake := func() {
		status, _, _ := change(http.MethodPut, tag, stored)
		overtaking <- status
	}
	store.overtake.Store(&overtake)
	status, answer, _ := change(http.MethodPut, tag, stored)
	g.Expect(<-overtaking).To(Equal(http.StatusOK))
	g.Expect(status).To(Equal(http.StatusPreconditionFailed), fmt.Sprint(answer))
}
