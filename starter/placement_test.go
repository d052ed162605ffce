package starter_test

import (
	"context"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"buckthorndrum/configurator"
	"buckthorndrum/imitator"
	"buckthorndrum/starter"
)

// secondModel moves a kind to a model that no engine has loaded at the start.
func secondModel(doc *configurator.Document) {
	for i := range doc.Pools {
		doc.Pools[i].WeightLoadsPerMinute = 600
	}
	for i := range doc.Kinds {
		if doc.Kinds[i].ID == "answer" {
			doc.Kinds[i].Model = "assistant"
			doc.Kinds[i].Adapter = "collectors"
		}
	}
}

var _ = Describe("a pool of two models", Ordered, func() {
	var f *starter.Fleet
	weights := imitator.NewWeights(600)
	token := starter.WorkspaceToken("tanta")

	BeforeAll(func() {
		var err error
		f, err = starter.Start(context.Background(), starter.Config{Routers: 1, Engines: 3, Services: 1, Log: zap.NewNop(), Weights: weights, Edit: secondModel})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
	})

	ask := func(kind, prompt string) (int, string) {
		return call(http.MethodPost, "http://"+f.Routers[0].Address()+"/v1/requests", token, `{"kind":"`+kind+`","prompt":"`+prompt+`"}`)
	}
	models := func() string {
		var ms []string
		for _, e := range f.Standins.Engines {
			ms = append(ms, e.Model())
		}
		return strings.Join(ms, " ")
	}

	It("loads the model that nothing serves and answers both kinds whole", func() {
		for _, kind := range []string{"answer", "draft"} {
			status, body := ask(kind, "tokens=9")
			Expect(status).To(Equal(http.StatusOK), body)
			Expect(body).To(ContainSubstring(`"outcome":"done"`))
		}
		Expect(models()).To(SatisfyAll(ContainSubstring("assistant"), ContainSubstring("drafter")))
	})

	It("never runs a request with other weights, whoever gives the engines orders", func() {
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				defer GinkgoRecover()
				status, body := ask([]string{"answer", "draft"}[i%2], "tokens=60")
				Expect(status).To(Or(Equal(http.StatusOK), BeNumerically(">=", 500)), body)
				Expect(strings.Contains(body, `"outcome":"done"`)).To(Equal(status == http.StatusOK), body)
			})
		}
		refusedHere := 0
		for _, e := range f.Standins.Engines {
			// An engine that checks takes this too if it was never ordered before.
			if status, _ := e.Order(imitator.ModelOrder{Model: "forgotten", Fence: 1}); status == http.StatusServiceUnavailable {
				refusedHere++
			}
		}
		wg.Wait()
		Eventually(models, "60s").ShouldNot(ContainSubstring("forgotten"))
		status, body := ask("answer", "tokens=9")
		Expect(status).To(Equal(http.StatusOK), body)
		_, refused := weights.Counts()
		Expect(refused).To(Equal(refusedHere), "the fleet's own orders keep to the weight store's rate")
	})
})
