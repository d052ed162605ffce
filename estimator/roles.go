package estimator

import (
	"fmt"
	"time"

	"buckthorndrum/collector"
	"buckthorndrum/configurator"
	"buckthorndrum/counter"
	"buckthorndrum/identifier"
	"buckthorndrum/keeper"
	"buckthorndrum/queuer"
	"buckthorndrum/scheduler"
)

func workspace(i int) identifier.Workspace {
	return identifier.Workspace(fmt.Sprintf("ws-%05d", i))
}

func targetName(i int) identifier.Target { return identifier.Target(fmt.Sprintf("target-%04d", i)) }

func classOf(i int) identifier.Class { return identifier.Class{Kind: "draft", Workspace: workspace(i)} }

var self = identifier.Origin{Target: "target-0000", Incarnation: 1}

func schedulerConfig() scheduler.Config {
	return scheduler.Config{
		Self: self, Slots: 16, MaxOvercommit: 8, GrantTTL: time.Hour, CreditWindow: 2048, BackloggedAfter: time.Millisecond,
		IdleAfter: time.Hour, PreemptInterval: 100 * time.Millisecond,
		Kinds: map[identifier.Kind]scheduler.KindRule{"draft": {Share: 0.5, Estimate: 100}, "answer": {Share: 0.3, Estimate: 20}},
	}
}

// backlog returns a full scheduler with n classes offered by a router each.
func backlog(n int) (*scheduler.Scheduler, *counter.Table) {
	table := counter.New(counter.Config{Self: self})
	s := scheduler.New(schedulerConfig(), table)
	s.SetDraining(true)
	for i := range n {
		s.UpdateOffers(1, identifier.Router(fmt.Sprint("router-", i%64)), []scheduler.Offer{{Class: classOf(i), Count: 1 << 30, CostHint: 100}})
	}
	s.Tick(identifier.Instant(time.Second))
	s.SetDraining(false)
	return s, table
}

// grantCycle is one request at an agent: a grant, its handover and its end.
func grantCycle(n int) float64 {
	s, _ := backlog(n)
	now := identifier.Instant(time.Second)
	queue := s.Tick(now).Grants
	serial := 0
	return perCall(func() {
		g := queue[0]
		queue = queue[1:]
		serial++
		r := identifier.Request(fmt.Sprint(serial))
		acts, err := s.Accept(now, g.ID, scheduler.Handover{Request: r, Class: g.Class})
		if err != nil {
			panic(err)
		}
		queue = append(queue, acts.Grants...)
		queue = append(queue, s.Finish(now, r, 90).Grants...)
		now++
	})
}

// tickEvery is how often an agent's scheduler ticks.
const tickEvery = 5 * time.Millisecond

func schedulerTick(n int) float64 {
	s, _ := backlog(n)
	now := identifier.Instant(time.Second)
	s.Tick(now)
	return perCall(func() {
		now = now.Add(tickEvery)
		s.Tick(now)
	})
}

func schedulerMemory(n int) float64 {
	return held(func() any {
		s, t := backlog(n)
		return []any{s, t}
	})
}

func offerTime(n int) float64 {
	s, _ := backlog(n)
	i := 0
	return perCall(func() {
		i++
		s.UpdateOffers(identifier.Instant(time.Second), "router-x", []scheduler.Offer{{Class: classOf(i % n), Count: 1 + i%3}})
	})
}

// counterMerge is the time to merge one row into a table of n workspaces.
func counterMerge(n int) float64 {
	t := counter.New(counter.Config{Self: self})
	v := identifier.Cost(0)
	i := 0
	peer := identifier.Origin{Target: "peer", Incarnation: 1}
	return perCall(func() {
		i++
		v++
		t.Merge(1, counter.Row{Workspace: workspace(i % n), Origin: peer, Charged: v})
	})
}

func counterMemory(n int) float64 {
	return held(func() any {
		t := counter.New(counter.Config{Self: self})
		for i := range n {
			t.Charge(workspace(i), 1)
		}
		return t
	})
}

// collectorMemory is what an agent holds of the totals of n workspaces.
func collectorMemory(n int) float64 {
	return held(func() any {
		node := collector.New(self)
		root := identifier.Origin{Target: "root", Incarnation: 1}
		for i := range n {
			w := workspace(i)
			node.ApplyTotals(collector.Totals{Shard: collector.ShardOf(w), Root: root, Rows: []collector.Total{{Workspace: w, Version: 1, Value: 1}}})
		}
		return node
	})
}

func keyMemory(n int) float64 {
	return held(func() any {
		k := keeper.New()
		for range n {
			seq := k.Mint()
			_, _ = k.Start(seq, "r")
			k.Finish(seq, identifier.NotRun)
		}
		return k
	})
}

func queuerConfig() queuer.Config {
	return queuer.Config{
		Self: "router-0", MaxBytes: 1 << 40, InitialFanout: 1, FanoutDoublingTime: queuer.DefaultFanoutDoublingTime, LongWaitThreshold: queuer.DefaultLongWaitThreshold, BatchDelay: queuer.DefaultBatchDelay,
		Kinds: map[identifier.Kind]queuer.KindRule{"draft": {Pool: "p", MaxQueued: 1 << 30, MaxQueuedBytes: 1 << 40}},
	}
}

// queues returns a router's queues with n waiting classes, linked to agents.
func queues(n, agents int) *queuer.Queuer {
	q := queuer.New(queuerConfig())
	for i := range agents {
		q.SetAgent(targetName(i), "p", true, 1)
	}
	for i := range n {
		_ = q.Enqueue(1, queuer.Item{Request: identifier.Request(fmt.Sprint("w", i)), Class: classOf(i), Deadline: 1 << 62, Arrived: 1})
	}
	q.Updates(identifier.Instant(time.Minute))
	return q
}

// routerCycle is one request at a router: in, offered, granted.
func routerCycle(waiting, agents int) float64 {
	q := queues(waiting, agents)
	now := identifier.Instant(time.Minute)
	serial := 0
	return perCall(func() {
		serial++
		now += identifier.Instant(time.Microsecond)
		c := identifier.Class{Kind: "draft", Workspace: workspace(1_000_000 + serial%100)}
		_ = q.Enqueue(now, queuer.Item{Request: identifier.Request(fmt.Sprint(serial)), Class: c, Deadline: 1 << 62, Arrived: now})
		q.Updates(now)
		q.Dequeue(now, targetName(serial%agents), c)
		q.Updates(now)
	})
}

// routerTick is a router's tick when nothing has changed.
func routerTick(waiting int) float64 {
	q := queues(waiting, 64)
	now := identifier.Instant(time.Hour)
	q.Updates(now)
	return perCall(func() {
		q.RemoveExpired(now)
		q.Updates(now)
	})
}

func queueMemory(n int) float64 { return held(func() any { return queues(n, 64) }) }

// document returns a configuration of n workspaces.
func document(n int) configurator.Document {
	doc := configurator.Document{
		Limits:    configurator.DefaultLimits(),
		Pools:     []configurator.Pool{{ID: "p", Type: configurator.Engine, CreditWindow: 1}},
		Operators: []configurator.Operator{{ID: "o", TokenHash: fmt.Sprintf("%064x", 1)}},
	}
	for i := range n {
		doc.Workspaces = append(doc.Workspaces, configurator.Workspace{ID: workspace(i), Weight: 1, TokenHashes: []string{fmt.Sprintf("%064x", i)}})
	}
	return doc
}

// adopted returns an adopter that has a configuration of n workspaces in force.
func adopted(n int) (*configurator.Adopter, configurator.Change) {
	ch, err := configurator.Plan(configurator.Head{}, nil, document(n), "o", time.Unix(0, 0))
	if err != nil {
		panic(err)
	}
	a := configurator.NewAdopter()
	adopt(a, ch)
	return a, ch
}

func adopt(a *configurator.Adopter, ch configurator.Change) {
	if _, _, err := a.OfferHead(encode(ch.Head)); err != nil {
		panic(err)
	}
	for _, p := range ch.Parts {
		if _, err := a.OfferPart(p); err != nil {
			panic(err)
		}
	}
}

func configMemory(n int) float64 {
	return held(func() any {
		a, _ := adopted(n)
		return a
	})
}

// configTime is the time to put a change of one workspace in force.
func configTime(n int) float64 {
	a, ch := adopted(n)
	doc := document(n)
	head := ch.Head
	i := 0
	return perCall(func() {
		i++
		doc.Workspaces[0].Weight = float64(i + 1)
		next, err := configurator.Plan(head, nil, doc, "o", time.Unix(0, 0))
		if err != nil {
			panic(err)
		}
		head = next.Head
		adopt(a, next)
	})
}

// configHead is the size of the first head record.
func configHead(n int) float64 {
	_, ch := adopted(n)
	return float64(len(encode(ch.Head)))
}

// configParts is how many parts the document has.
func configParts(n int) float64 {
	_, ch := adopted(n)
	return float64(len(ch.Parts))
}

// configBytes is what one process receives for a change of one workspace.
func configBytes(n int) float64 {
	_, ch := adopted(n)
	doc := document(n)
	doc.Workspaces[0].Weight = 7
	next, err := configurator.Plan(ch.Head, nil, doc, "o", time.Unix(0, 0))
	if err != nil {
		panic(err)
	}
	sum := len(encode(next.Head))
	for h, p := range next.Parts {
		if ch.Parts[h] == nil {
			sum += len(p)
		}
	}
	return float64(sum)
}
