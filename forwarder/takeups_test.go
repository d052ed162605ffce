package forwarder

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"buckthorndrum/assigner"
	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

type softwareWeights = map[identifier.Software]int

// newPlan returns a plan of a pool.
func newPlan(n uint64, weights softwareWeights) assigner.Plan {
	return assigner.Plan{Number: n, Weights: weights}
}

// settleWithin sets the time within which routers know a plan.
func (f *fleet) settleWithin(d time.Duration) {
	f.t.Helper()
	t := *f.state.tunables.Load()
	t.MaxRefusalAge = d
	if err := f.SetTunables(t); err != nil {
		f.t.Fatal(err)
	}
}

// beginning returns a request that begins a stream.
func (f *fleet) beginning(id identifier.Request) *http.Request {
	r := f.request(http.MethodPost, "/stream/1", "x")
	r.Header.Set("Id", string(id))
	return r
}

// takeUp returns a request that takes up the stream of another request, behind its third event.
func (f *fleet) takeUp(resumes identifier.Request) *http.Request {
	r := f.beginning(resumes + "'")
	r.Header.Set("After", "3")
	if resumes != "" {
		r.Header.Set("Resumes", string(resumes))
	}
	return r
}

// retryAfter returns the Retry-After of an answer, zero if it has none.
func (a callerAnswer) retryAfter() time.Duration {
	seconds, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// idAt returns an ID that a plan gives to a version.
func idAt(p assigner.Plan, v identifier.Software) identifier.Request {
	for i := 0; ; i++ {
		if id := identifier.Request(fmt.Sprintf("%016x", i)); p.Pick(id) == v {
			return id
		}
	}
}

var whole = first(streamWhole)

func TestStreamsBeginAtTheVersionOfThePlan(t *testing.T) {
	g := NewWithT(t)
	f := newSoftwareFleet(t, whole, "1", "2", "1")
	plan := newPlan(1, softwareWeights{"1": 1, "2": 1})
	f.LearnPlans(clocker.Now(), testPool, []assigner.Plan{plan})
	for i := range 40 {
		id := identifier.Request(fmt.Sprintf("%016x", i))
		g.Expect(f.send(f.beginning(id)).body).To(Equal(wholeStream(plan.Pick(id))))
	}
	g.Expect(f.send(f.request(http.MethodPost, "/once/1", "x")).status).To(Equal(http.StatusOK))
}

// Guards against a stream that begins at another version if that of its plan has no target.
func TestStreamIsRefusedWhoseVersionHasNoTarget(t *testing.T) {
	g := NewWithT(t)
	f := newSoftwareFleet(t, whole, "1")
	plan := newPlan(1, softwareWeights{"1": 1, "2": 1})
	f.LearnPlans(clocker.Now(), testPool, []assigner.Plan{plan})
	for v, status := range map[identifier.Software]int{"1": http.StatusOK, "2": http.StatusServiceUnavailable} {
		a := f.send(f.beginning(idAt(plan, v)))
		g.Expect(a.status).To(Equal(status))
		if status != http.StatusOK {
			g.Expect(a.body).To(Equal(reasonBeginningNoPlace + "\n"))
			g.Expect(a.retryAfter()).To(And(BeNumerically(">=", minRetryAfter), BeNumerically("<=", 3*minRetryAfter/2)))
		}
		a = f.send(f.takeUp(idAt(plan, v)))
		g.Expect(a.status).To(Equal(status))
		if status != http.StatusOK {
			g.Expect(a.body).To(Equal(reasonVersionNoPlace + "\n"))
			g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		}
	}
}

// Guards against a stream that a router begins which has just started and does not know which of
// two plans is in force.
func TestStreamIsRefusedWhileItsBeginningIsNotKnown(t *testing.T) {
	g := NewWithT(t)
	f := newSoftwareFleet(t, whole, "1", "2")
	f.settleWithin(100 * time.Millisecond)
	f.LearnPlans(clocker.Now(), testPool, []assigner.Plan{newPlan(1, softwareWeights{"1": 1}), newPlan(2, softwareWeights{"2": 1})})
	a := f.send(f.beginning("a"))
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(a.body).To(Equal(reasonBeginningUnknown + "\n"))
	g.Expect(a.retryAfter()).To(And(BeNumerically(">=", unknownRetryAfter), BeNumerically("<=", 3*unknownRetryAfter/2)))
	g.Eventually(func() string { return f.send(f.beginning("a")).body }, "2s").Should(Equal(wholeStream("2")))
}

// A stream was taken up at any target, also where nothing tells which version began it (ORDER).
func TestStreamIsTakenUpOnlyAtTheVersionThatBeganIt(t *testing.T) {
	one, two := newPlan(1, softwareWeights{"1": 1, "2": 1}), newPlan(2, softwareWeights{"2": 1})
	both := []assigner.Plan{one, two}
	rest := func(v identifier.Software) string { return wholeStream(v)[len("id: 1\ndata: v1\n\n")*3:] }
	for name, c := range map[string]struct {
		software []identifier.Software
		plans    []assigner.Plan
		resumes  identifier.Request
		want     identifier.Software
	}{
		"known":                        {[]identifier.Software{"1", "2"}, []assigner.Plan{one}, idAt(one, "1"), "1"},
		"known, of two plans":          {[]identifier.Software{"1", "2"}, both, idAt(one, "2"), "2"},
		"plans differ":                 {[]identifier.Software{"1", "2"}, both, idAt(one, "1"), ""},
		"only the new version is left": {[]identifier.Software{"2"}, both, idAt(one, "1"), ""},
		"nothing named":                {[]identifier.Software{"1", "2"}, []assigner.Plan{one}, "", ""},
		"nothing named, one version":   {[]identifier.Software{"1", "2"}, []assigner.Plan{two}, "", "2"},
		"no plan":                      {[]identifier.Software{"1", "2"}, nil, "a", ""},
		"no plan, one version":         {[]identifier.Software{"2", "2"}, nil, "a", "2"},
		"no plan, some have no name":   {[]identifier.Software{"", "2"}, nil, "a", ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newSoftwareFleet(t, whole, c.software...)
			if c.plans != nil {
				f.LearnPlans(clocker.Now(), testPool, c.plans)
			}
			for range 5 {
				a := f.send(f.takeUp(c.resumes))
				if c.want != "" {
					g.Expect(a.body).To(Equal(rest(c.want)))
					continue
				}
				g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
				g.Expect(a.body).To(Equal(reasonVersionUnknown + "\n"))
				g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
				g.Expect(f.requestsSeen()).To(BeEmpty())
			}
		})
	}
}

// Guards against a stream that is taken up by a router which may not know the plan that began it.
func TestStreamIsNotTakenUpUnderAnOldProof(t *testing.T) {
	for name, plans := range map[string][]assigner.Plan{"plan": {newPlan(1, softwareWeights{"1": 1})}, "no plan": nil} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newSoftwareFleet(t, whole, "1")
			f.settleWithin(time.Minute)
			f.LearnPlans(clocker.Now(), testPool, plans)
			g.Expect(f.send(f.takeUp("a")).status).To(Equal(http.StatusOK))
			f.settleWithin(time.Millisecond)
			time.Sleep(5 * time.Millisecond)
			g.Expect(f.send(f.takeUp("a")).body).To(Equal(reasonVersionUnknown + "\n"))
			g.Expect(f.send(f.beginning("a")).status).To(Equal(http.StatusOK))
		})
	}
}

// Targets without versions are as before: a stream is taken up at any of them, under any proof.
func TestStreamsOfTargetsWithoutVersionsAreTakenUp(t *testing.T) {
	g := NewWithT(t)
	f := newSoftwareFleet(t, whole, "", "")
	f.settleWithin(time.Millisecond)
	time.Sleep(5 * time.Millisecond)
	g.Expect(f.send(f.takeUp("")).status).To(Equal(http.StatusOK))
	g.Expect(f.UpdatePlans(clocker.Now(), testPool, nil, 0)).To(BeNil())
}

func TestTakeUpIsLoggedWithItsStream(t *testing.T) {
	g := NewWithT(t)
	core, lines := observer.New(zapcore.InfoLevel)
	f := newSoftwareFleet(t, whole, "1")
	f.log = zap.New(core)
	f.LearnPlans(clocker.Now(), testPool, []assigner.Plan{newPlan(1, softwareWeights{"1": 1})})
	f.send(f.takeUp("a"))
	ended := func() []observer.LoggedEntry { return lines.FilterMessage("request ended").All() }
	g.Eventually(ended, "2s").Should(HaveLen(1))
	g.Expect(ended()[0].ContextMap()).To(And(HaveKeyWithValue("resumes", "a"), HaveKeyWithValue("software", "1")))
}

// A workspace that floods got more than its share with requests that take streams up, which any
// caller may send (FAIR).
func TestTakeUpsAreAdmittedAsNewStreams(t *testing.T) {
	g := NewWithT(t)
	f := newSoftwareFleet(t, whole, "1")
	_, c := f.prepareCall(t)
	route := *c.route
	c.route, c.info.Model = &route, "m"
	usual := f.targetRequirements(c, 0.5)
	route.Stream, route.Resumable, c.info.LastEventID = true, true, "3"
	g.Expect(c.takesUp()).To(BeTrue())
	takeUp := f.targetRequirements(c, 0.5)
	g.Expect(takeUp.MaxWait).To(Equal(usual.MaxWait))
	g.Expect(takeUp.WithinShare).To(BeFalse())
}

func TestStreamsRefusedForTheirVersionsAreCounted(t *testing.T) {
	g := NewWithT(t)
	f := newSoftwareFleet(t, whole, "1", "2")
	f.send(f.takeUp("a"))
	metrics := func() string {
		scrape := httptest.NewRecorder()
		f.Metrics().ServeHTTP(scrape, httptest.NewRequest(http.MethodGet, "/", nil))
		return scrape.Body.String()
	}
	g.Eventually(metrics, "2s").Should(ContainSubstring(`buckthorndrum_forwarder_streams_refused_total{cause="version_unknown"} 1`))
}

func TestHubKeepsPlans(t *testing.T) {
	g := NewWithT(t)
	f := newSoftwareFleet(t, whole, "1")
	f.settleWithin(time.Second)
	now := clocker.Now()
	update := func(recorded []assigner.Plan, least uint64) []assigner.Plan {
		return f.UpdatePlans(now, testPool, recorded, least)
	}
	g.Expect(f.UpdatePlans(now, "other", nil, 0)).To(BeNil(), "no route")
	one := update(nil, 7)
	g.Expect(one).To(Equal([]assigner.Plan{newPlan(7, softwareWeights{"1": 20})}))
	g.Expect(update(nil, 7)).To(BeNil(), "one a second")
	g.Expect(update(one, 7)).To(BeNil())
	f.addTarget("t9", completeAnswer)
	f.targets[1].Software = "2"
	f.SetTargets(f.targets)
	g.Expect(update(one, 7)).To(BeNil(), "one a second")
	now = now.Add(time.Second)
	both := update(one, 7)
	g.Expect(both[0].AgeMS).To(BeEquivalentTo(1000))
	both[0].AgeMS = 0
	g.Expect(both).To(Equal(append(one, newPlan(8, softwareWeights{"1": 10, "2": 10}))))
	g.Expect(update(both, 7)).To(BeNil())
	g.Expect(numbersOf(update(one, 7))).To(Equal(numbersOf(both)), "the store has lost the second")
	g.Expect(numbersOf(update(nil, 7))).To(Equal(numbersOf(both)), "the store has lost both")
	f.targets[0].Leaving = true
	f.SetTargets(f.targets)
	now = now.Add(time.Second)
	three := update(both, 100)
	g.Expect(numbersOf(three)).To(Equal([]uint64{7, 8, 100}))
	g.Expect(three[2]).To(Equal(newPlan(100, softwareWeights{"2": 20})))
	g.Expect(update(three, 7)).To(BeNil())
	f.SetTargets(nil)
	now = now.Add(time.Second)
	g.Expect(update(three, 7)).To(BeNil(), "no target")
	now = now.Add(5*time.Second + time.Minute) // The time limit of the route and the age of a proof.
	aged := update(three, 7)
	g.Expect(numbersOf(aged)).To(Equal([]uint64{7, 8, 100}), "streams of the first plan may be taken up still, and the ages are out of date")
	g.Expect(aged[2].AgeMS).To(BeEquivalentTo(66000))
	g.Expect(update(aged, 7)).To(BeNil())
	now = now.Add(2 * time.Second)
	g.Expect(numbersOf(update(aged, 7))).To(Equal([]uint64{100}))
	g.Expect(update(three[2:], 7)).To(BeNil(), "a single plan has no age to tell")
	g.Expect(numbersOf(update(three[1:2], 7))).To(Equal([]uint64{100}), "a copy of before")
}

// A stream of a route whose traffic is split was taken up at another pool.
func TestTakeUpGoesToPoolOfItsStream(t *testing.T) {
	g := NewWithT(t)
	route := &Route{Stream: true, Resumable: true, Split: []PoolWeight{{Pool: "a", Weight: 1}, {Pool: "b", Weight: 1}}}
	pools := map[identifier.Pool]int{}
	for i := range 1000 {
		id := identifier.Request(fmt.Sprintf("%016x", i))
		began := &call{route: route, seed: 1, info: RequestInfo{ID: id}}
		takesUp := &call{route: route, seed: 2, info: RequestInfo{ID: "other", Resumes: id, LastEventID: "3"}}
		pool, _ := route.pickPool(began.poolSeed())
		same, _ := route.pickPool(takesUp.poolSeed())
		g.Expect(same).To(Equal(pool))
		pools[pool]++
	}
	g.Expect(pools["a"]).To(BeNumerically("~", 500, 80))
	plain := &call{route: &Route{Stream: true}, seed: 7, info: RequestInfo{ID: "x"}}
	g.Expect(plain.poolSeed()).To(BeEquivalentTo(7))
}

// numbersOf returns the numbers of plans.
func numbersOf(plans []assigner.Plan) []uint64 {
	var list []uint64
	for _, p := range plans {
		list = append(list, p.Number)
	}
	return list
}

// routers are routers that follow the plans of a store and are started again at times.
type routers struct {
	t       *testing.T
	mu      sync.Mutex
	list    []*fleet
	plans   []assigner.Plan
	targets *fleet
}

const (
	routersSettle   = 400 * time.Millisecond
	routersProofAge = 600 * time.Millisecond
	followDelay     = 100 * time.Millisecond
	// callersLimit is how long a caller waits for a stream, over all its requests.
	callersLimit = 3 * time.Second
)

// start starts the router i, which follows the store until done is closed.
func (r *routers) start(i int, done chan struct{}) {
	cfg := testConfig(r.t)
	cfg.MaxRefusalAge, cfg.MaxProofAge = routersSettle, routersProofAge
	f := newFleetWith(r.t, cfg)
	f.SetTargets(r.targets.targets)
	r.follow(f)
	r.mu.Lock()
	r.list[i] = f
	r.mu.Unlock()
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(rand.Int64N(int64(followDelay)))):
				r.follow(f)
			}
		}
	}()
}

// follow has a router learn what the store has, some time after it was read.
func (r *routers) follow(f *fleet) {
	readAt, plans := clocker.Now(), r.recorded()
	time.Sleep(time.Duration(rand.Int64N(int64(followDelay))))
	f.LearnPlans(clocker.Now(), testPool, plans)
	f.ConfirmFreshness(readAt, identifier.StorePosition{Revision: 1})
}

// recorded returns the plans in the store.
func (r *routers) recorded() []assigner.Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]assigner.Plan(nil), r.plans...)
}

// plan adds a plan to the store.
func (r *routers) plan(w softwareWeights) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plans = append(r.plans, newPlan(uint64(len(r.plans)+1), w))
}

// any returns one of the routers.
func (r *routers) any() *fleet {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list[rand.IntN(len(r.list))]
}

// stream has a caller ask for a stream, and take it up at any router until it is whole or
// its time limit has passed. It returns the events and how many requests brought some.
func (r *routers) stream(id identifier.Request) (body string, answers int) {
	until := time.Now().Add(callersLimit)
	for try := 0; time.Until(until) > 0; try++ {
		f, events := r.any(), strings.Count(body, "id: ")
		req := f.beginning(id + identifier.Request(fmt.Sprintf("-%d", try)))
		req.Header.Set("Patience", strconv.FormatInt(time.Until(until).Milliseconds(), 10))
		if events > 0 {
			req.Header.Set("After", strconv.Itoa(events))
			req.Header.Set("Resumes", string(id))
		} else {
			id = identifier.Request(req.Header.Get("Id"))
		}
		a := f.send(req)
		if a.status == http.StatusServiceUnavailable {
			time.Sleep(30 * time.Millisecond)
			continue
		}
		if strings.Contains(a.body, "id: ") {
			body += a.body
			answers++
		}
		if strings.Count(body, "id: ") == streamLength {
			break
		}
	}
	return body, answers
}

// Streams that had broken off went on at another version at routers that had not seen their
// beginnings, while plans change and routers are started again (ORDER).
func TestStreamsTakenUpAnywhereKeepTheirVersion(t *testing.T) {
	g := NewWithT(t)
	breaks := func() streamEnd {
		if rand.IntN(3) > 0 {
			return streamBreaksOff
		}
		return streamWhole
	}
	done := make(chan struct{})
	r := &routers{t: t, list: make([]*fleet, 4), targets: newSoftwareFleet(t, breaks, "1", "2", "1", "2", "1", "2")}
	for i := range r.targets.targets {
		r.targets.targets[i].Slots = 0
	}
	r.plan(softwareWeights{"1": 10, "2": 10})
	for i := range r.list {
		r.start(i, done)
	}
	var callers sync.WaitGroup
	var joined, wholes atomic.Int64
	for n := range 12 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				body, answers := r.stream(identifier.Request(fmt.Sprintf("%d-%d", n, i)))
				if _, one := softwareOf(body); !one {
					t.Errorf("stream of two versions, of %d answers: %q", answers, body)
				}
				if answers > 1 {
					joined.Add(1)
				}
				if strings.Count(body, "id: ") == streamLength {
					wholes.Add(1)
				}
			}
		})
	}
	for i, w := range []softwareWeights{{"1": 3, "2": 17}, {"2": 20}, {"1": 10, "2": 10}, {"1": 20}} {
		time.Sleep(600 * time.Millisecond)
		r.plan(w)
		r.start(i%len(r.list), done)
	}
	time.Sleep(600 * time.Millisecond)
	close(done)
	callers.Wait()
	t.Logf("%d streams of several answers, %d whole", joined.Load(), wholes.Load())
	g.Expect(joined.Load()).To(BeNumerically(">", 20))
	g.Expect(wholes.Load()).To(BeNumerically(">", 20))
}
