package admitter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/identifier"
)

// pacedEngines returns an admitter with n engines of pool "p" that have reported a pace.
func pacedEngines(n int, pace float64) *Admitter {
	a := newEngines(n)
	a.pools["p"].pace.record(second, pace)
	return a
}

// gapRequest returns a request of testRequest whose pool has a gap objective of 300 ms.
func gapRequest(prefix uint64) Request {
	req := testRequest(prefix)
	req.GapObjective, req.EventTokens = 300*time.Millisecond, 6
	return req
}

// setAllLoads sets the load of peers at each engine of pool "p".
func setAllLoads(a *Admitter, load Load) {
	loads := map[identifier.Target]Load{}
	for _, t := range a.pools["p"].targets {
		loads[t.ID] = load
	}
	a.SetPeerLoads(second, loads)
}

// A backlog of prompts delays the next event of all running streams, also if the first
// token of a further request would be in time.
func TestRequestThatWouldStallStreamsIsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		pace    float64
		running int
		gap     time.Duration
		refused Refusal
	}{
		"gap too long":                {2.5, 1, 300 * time.Millisecond, TargetsBusy},
		"gap short enough":            {1, 1, 300 * time.Millisecond, ""},
		"no streams run":              {2.5, 0, 300 * time.Millisecond, ""},
		"no gap objective":            {2.5, 1, 0, ""},
		"targets do not report paces": {0, 1, 300 * time.Millisecond, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := newEngines(3)
			if c.pace > 0 {
				a = pacedEngines(3, c.pace)
			}
			setAllLoads(a, Load{Running: c.running, PrefillTokens: 15_000})
			req := gapRequest(1)
			req.GapObjective = c.gap
			g.Expect(a.Choose(second, req).Refused).To(Equal(c.refused))
		})
	}
}

// A prompt that is too long for the gap objective at every target must not be refused for
// ever.
func TestLongPromptIsNotStarved(t *testing.T) {
	g := NewWithT(t)
	a := pacedEngines(4, maxPace)
	p := a.pools["p"]
	for i, et := range p.targets {
		et.eventTime = float64(20 * time.Millisecond)
		if i == 3 {
			et.eventTime = float64(60 * time.Millisecond)
		}
	}
	req := gapRequest(1)
	req.PromptTokens, req.MaxWait, req.Segments = 50_000, 2*time.Second, nil
	setAllLoads(a, Load{Running: 4})
	c := a.Choose(second, req)
	g.Expect(c.Refused).To(BeEmpty())
	g.Expect(c.Target).NotTo(Equal(p.targets[3].ID), "a slow target keeps its streams")
	setAllLoads(a, Load{Running: 4, PrefillTokens: 50_000})
	g.Expect(a.Choose(second, req).Refused).To(Equal(TargetsBusy), "one long prompt at a time")
}

// engine simulates an engine that prefills prompts at a rate while its streams run.
type engine struct {
	// perToken is the time to prefill a token, in nanoseconds.
	perToken float64
	backlog  float64
	streams  []simulatedStream
}

// simulatedStream is a stream that runs until an instant; late is set once it has had a
// gap above its objective.
type simulatedStream struct {
	until   identifier.Instant
	late    bool
	attempt *Attempt
}

// simulateGaps sends requests to engines of which a quarter is more than twice as fast as
// the others, all slowed down at times, and returns the number of streams on time and the
// number of those begun. Half of the prompts are long. The first token of each is in time.
func simulateGaps(seed uint64, gapObjective time.Duration) (onTime, begun int) {
	const (
		engines  = 8
		step     = 10 * time.Millisecond
		duration = 40 * time.Second
		gap      = 300 * time.Millisecond
		noise    = 2.5
	)
	rng := rand.New(rand.NewPCG(seed, 1))
	a := newEngines(engines)
	for _, t := range a.pools["p"].targets {
		t.Slots = 64
	}
	list := map[identifier.Target]*engine{}
	for i := range engines {
		list[identifier.Target(fmt.Sprintf("e%d", i))] = &engine{perToken: []float64{8_600, 18_700, 18_700, 18_700}[i%4]}
	}
	for now := second; now.Sub(second) < duration; now = now.Add(step) {
		for id, e := range list {
			pace := 1.0
			if mix(uint64(now.Sub(second)/(600*time.Millisecond))^uint64(id[1])<<20)%100 < 15 {
				pace = noise
			}
			stall := time.Duration(pace * e.perToken * min(e.backlog, 6*prefillChunk))
			running := e.streams[:0]
			for _, s := range e.streams {
				s.late = s.late || stall > gap
				if now >= s.until {
					a.EndAttempt(now, s.attempt, Answered)
					if begun++; !s.late {
						onTime++
					}
					continue
				}
				if now >= s.until.Add(-2*time.Second) {
					a.RecordAnswerStart(now, s.attempt)
				}
				a.RecordPace(now, s.attempt, pace)
				a.RecordEventTime(s.attempt, time.Duration(e.perToken*1_500*pace)+stall/4)
				running = append(running, s)
			}
			e.streams = running
			e.backlog = max(0, e.backlog-float64(step)/(e.perToken*pace))
		}
		for range 1 + rng.IntN(2) {
			req := gapRequest(rng.Uint64N(40))
			req.GapObjective, req.Seed, req.MaxWait = gapObjective, rng.Uint64(), 800*time.Millisecond
			if rng.IntN(8) == 0 {
				req.PromptTokens = 9_000
			}
			c := a.Choose(now, req)
			if c.Refused != "" {
				continue
			}
			e := list[c.Target]
			e.backlog += float64(c.PrefillTokens)
			read := time.Duration(e.perToken * e.backlog)
			e.streams = append(e.streams, simulatedStream{until: now.Add(read + 2*time.Second), attempt: a.StartAttempt(now, req, c)})
		}
	}
	return onTime, begun
}

// Under a load near what the engines can prefill, most streams stall at some time if
// requests are admitted by the time to their first token only.
func TestStreamsStayOnTimeUnderLoad(t *testing.T) {
	g := NewWithT(t)
	for seed := uint64(1); seed <= 5; seed++ {
		before, begunBefore := simulateGaps(seed, 0)
		onTime, begun := simulateGaps(seed, 300*time.Millisecond)
		t.Logf("seed %d: %d of %d on time without a gap objective, %d of %d with it", seed, before, begunBefore, onTime, begun)
		g.Expect(onTime).To(BeNumerically(">", before), "seed %d", seed)
		g.Expect(float64(onTime)).To(BeNumerically(">=", 0.9*float64(begun)), "seed %d", seed)
	}
}
