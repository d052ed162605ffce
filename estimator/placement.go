package estimator

import (
	"fmt"
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/messenger"
	"buckthorndrum/placer"
)

// newsPerSecond is how often an agent with all its links tells each peer what
// waits, at most.
const newsPerSecond = 1.0 / 42

// placerTicks are an agent's decisions on placement a second.
const placerTicks = 5

// placements returns a placer that hears of n peers with four models.
func placements(n int) *placer.Placer {
	cfg := placer.Config{Self: self.Target, Kinds: map[identifier.Kind]placer.KindConfig{}, Targets: []identifier.Target{self.Target}, MinTargets: 2, LoadsPerMinute: 6}
	for i := range models {
		cfg.Kinds[identifier.Kind(fmt.Sprint("kind-", i))] = placer.KindConfig{Model: modelName(i), Share: 0.1}
	}
	p := placer.New(cfg)
	p.UpdateEngine(1, placer.EngineState{Model: modelName(0)})
	for i := range n {
		p.UpdatePeer(1, targetName(i+1), placementReport(i, models))
	}
	return p
}

func modelName(i int) identifier.Model { return identifier.Model(fmt.Sprint("model-", i%models)) }

// placementReport is what agent i tells when work of so many kinds waits.
func placementReport(i, kinds int) placer.Report {
	r := placer.Report{Model: modelName(i), Ready: true, Used: 8}
	for k := range kinds {
		r.Waiting = append(r.Waiting, placer.WaitingKind{Kind: identifier.Kind(fmt.Sprint("kind-", k)), Weight: float64(k + 1)})
	}
	return r
}

// placerTick is one decision beside n peers, at the pace of production.
func placerTick(n int) float64 {
	p := placements(n)
	now := identifier.Instant(1)
	return perCall(func() {
		now = now.Add(time.Second / placerTicks)
		for i := range n {
			p.MarkPeerAlive(now, targetName(i+1))
		}
		p.Tick(now, placer.LocalState{Used: 1})
	})
}

func placerMemory(n int) float64 { return held(func() any { return placements(n) }) }

// waitingTime is the sum of what waits over n classes.
func waitingTime(n int) float64 {
	s, _ := backlog(n)
	return perCall(func() { s.WaitingWeights(identifier.Instant(time.Hour), time.Second) })
}

// placementBytes is the size of a report of n kinds that wait.
func placementBytes(n int) float64 {
	r := placementReport(0, n)
	return second(messenger.NewCoder(), messenger.Frame{Revision: 1, Placement: &r})
}
