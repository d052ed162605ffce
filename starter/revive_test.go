package starter_test

import (
	"context"
	"encoding/json"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"buckthorndrum/configurator"
	"buckthorndrum/starter"
)

// registryFleet starts a fleet with one registry, which runs a key once if it is
// told to refuse repeats, and returns the fleet and its router's URL.
func registryFleet(refuses bool) (*starter.Fleet, string) {
	services := map[bool]int{true: 1}[refuses]
	f, err := starter.Start(context.Background(), starter.Config{
		Routers: 1, Engines: 1, Services: 1, RefuseRepeats: services, Log: zap.NewNop(),
		Edit: func(doc *configurator.Document) { doc.Targets[1].RefusesRepeats = refuses },
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Close)
	return f, "http://" + f.Routers[0].Address()
}

var _ = Describe("a key of an agent that has gone", func() {
	token := starter.WorkspaceToken("tanta")
	mint := func(url string) string {
		_, body := call(http.MethodPost, url+"/v1/keys", token, `{"kind":"ticket"}`)
		var k struct{ Key string }
		Expect(json.Unmarshal([]byte(body), &k)).To(Succeed())
		return k.Key
	}
	run := func(url, key string) string {
		_, body := post(url, token, `{"kind":"ticket","payload":{"bale":1}}`, map[string]string{"Idempotency-Key": key})
		return body
	}

	It("runs at a target that refuses repeats, and gives the first result again", func() {
		f, url := registryFleet(true)
		key, used := mint(url), mint(url)
		Expect(run(url, used)).To(ContainSubstring(`"outcome":"done"`))
		Expect(f.RestartAgent("registry-1")).To(Succeed())
		for range 2 {
			for _, k := range []string{key, used} {
				Eventually(func() string { return run(url, k) }, "20s").Should(ContainSubstring(`"outcome":"done"`))
			}
		}
		Expect(f.Standins.Services[0].Runs()).To(HaveLen(2))
		Expect(f.Standins.Services[0].Runs()).To(HaveEach(1))
	})

	It("stays unknown at any other target", func() {
		f, url := registryFleet(false)
		key, used := mint(url), mint(url)
		Expect(run(url, used)).To(ContainSubstring(`"outcome":"done"`))
		Expect(f.RestartAgent("registry-1")).To(Succeed())
		for _, k := range []string{key, used} {
			Eventually(func() string { return run(url, k) }, "20s").Should(SatisfyAll(ContainSubstring(`"outcome":"unknown"`), ContainSubstring("key_lost")))
		}
		Expect(f.Standins.Services[0].Runs()).To(HaveLen(1))
	})
})
