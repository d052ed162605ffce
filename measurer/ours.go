package measurer

import (
	"fmt"
	"strings"
	"time"

	"buckthorndrum/counter"
	"buckthorndrum/identifier"
	"buckthorndrum/linker"
	"buckthorndrum/messenger"
	"buckthorndrum/queuer"
	"buckthorndrum/scheduler"
)

// Figures of the runtime that drives the decision code; see the packages router
// and agent.
const (
	routerTick   = 2 * time.Millisecond
	agentTick    = 5 * time.Millisecond
	beatEvery    = 2 * time.Second
	creditWindow = 2048
	maxAhead     = 8
	maxQueued    = 200
	syncWait     = 2 * time.Second
	// serverHeader and clientHeader are the WebSocket headers of a small frame
	// from an agent to a router and the other way, in bytes.
	serverHeader = 2
	clientHeader = 6
	routerPrefix = "router-"
	lossRate     = 0.3
	doubleRate   = 0.2
)

// ours is the fleet's own decision code.
type ours struct {
	w       *world
	routers []*oursRouter
	agents  []*oursAgent
	byName  map[identifier.Target]*oursAgent
	// routerBy are the routers by name.
	routerBy map[identifier.Router]*oursRouter
	// cut tells whether messages between a router and an agent are lost.
	cut func(r *oursRouter, a *oursAgent) bool
	// cutAgents tells whether counters between two agents are lost.
	cutAgents func(a, b *oursAgent) bool
	lossy     bool
	// window is the credit window.
	window identifier.Cost
	coders map[[2]string]*messenger.Coder
}

type oursRouter struct {
	index   int
	name    identifier.Router
	queues  *queuer.Queuer
	jobs    map[identifier.Request]*job
	pending bool
	// said is when each agent was sent something last, by index.
	said []identifier.Instant
}

type oursAgent struct {
	index  int
	target *target
	self   identifier.Origin
	table  *counter.Table
	sched  *scheduler.Scheduler
	jobs   map[identifier.Request]*job
	from   map[identifier.Request]*oursRouter
	// cursors are how far each other agent has been told of the counters.
	cursors map[*oursAgent]*counter.Cursor
	booted  identifier.Instant
	lives   identifier.Incarnation
	// toldFull tells that the routers were last told that there is no room.
	toldFull bool
}

// boundlessWindow is a credit window within which all levels count as equal, so
// that urgency alone decides.
const boundlessWindow = 1 << 50

func newOurs(w *world, window identifier.Cost) *ours {
	o := &ours{w: w, window: window, byName: map[identifier.Target]*oursAgent{}, coders: map[[2]string]*messenger.Coder{}, routerBy: map[identifier.Router]*oursRouter{}}
	o.cut = func(*oursRouter, *oursAgent) bool { return false }
	o.cutAgents = func(_, _ *oursAgent) bool { return false }
	for i, t := range w.targets {
		a := &oursAgent{index: i, target: t}
		o.agents = append(o.agents, a)
		o.byName[t.name] = a
		o.boot(a)
	}
	for i := range w.size.Routers {
		r := &oursRouter{index: i, name: identifier.Router(fmt.Sprintf(routerPrefix+"%03d", i)), said: make([]identifier.Instant, len(o.agents))}
		o.routers = append(o.routers, r)
		o.routerBy[r.name] = r
		o.bootRouter(r)
	}
	o.timers()
	return o
}

// boot starts a new incarnation of an agent, with no state.
func (o *ours) boot(a *oursAgent) {
	a.lives++
	a.self = identifier.Origin{Target: a.target.name, Incarnation: a.lives}
	a.table = counter.New(counter.Config{Self: a.self})
	a.sched = scheduler.New(o.schedulerConfig(a), a.table)
	a.jobs = map[identifier.Request]*job{}
	a.from = map[identifier.Request]*oursRouter{}
	a.cursors = map[*oursAgent]*counter.Cursor{}
	a.booted = o.w.clock.now
	for _, b := range o.agents {
		delete(b.cursors, a)
	}
}

func (o *ours) schedulerConfig(a *oursAgent) scheduler.Config {
	cfg := scheduler.Config{
		Self:            a.self,
		Slots:           a.target.slots,
		MaxOvercommit:   maxAhead,
		GrantTTL:        scheduler.DefaultGrantTTL,
		CreditWindow:    o.window,
		BackloggedAfter: scheduler.DefaultBackloggedAfter,
		IdleAfter:       scheduler.DefaultIdleAfter,
		StallTimeout:    scheduler.DefaultStallTimeout,
		PreemptInterval: scheduler.DefaultPreemptInterval,
		Kinds:           map[identifier.Kind]scheduler.KindRule{},
	}
	if !a.target.service {
		cfg.TokenLatencyTarget = tokenTarget
	}
	for _, k := range o.w.kinds {
		if k.pool == a.target.pool {
			cfg.Kinds[k.id] = scheduler.KindRule{Share: k.share, Urgency: k.urgency, Estimate: k.mean}
		}
	}
	return cfg
}

// tokenTarget is the time between tokens that the users want.
const tokenTarget = 32 * time.Millisecond

func (o *ours) bootRouter(r *oursRouter) {
	cfg := queuer.Config{
		Self:               r.name,
		Kinds:              map[identifier.Kind]queuer.KindRule{},
		MaxBytes:           queuer.DefaultMaxBytes,
		InitialFanout:      queuer.DefaultInitialFanout,
		FanoutDoublingTime: queuer.DefaultFanoutDoublingTime,
		LongWaitThreshold:  queuer.DefaultLongWaitThreshold,
		BatchDelay:         queuer.DefaultBatchDelay,
	}
	for _, k := range o.w.kinds {
		cfg.Kinds[k.id] = queuer.KindRule{Pool: k.pool, MaxQueued: maxQueued, MaxQueuedBytes: 1 << 20}
	}
	r.queues = queuer.New(cfg)
	r.jobs = map[identifier.Request]*job{}
	for _, a := range o.agents {
		r.queues.SetAgent(a.target.name, a.target.pool, o.near(r, a), a.target.slots)
	}
}

// near tells whether a router and an agent are in the same data centre.
func (o *ours) near(r *oursRouter, a *oursAgent) bool {
	return a.index%o.w.size.DataCentres == r.index%o.w.size.DataCentres
}

func (o *ours) timers() {
	c := o.w.clock
	c.every(agentTick, func() {
		for _, a := range o.agents {
			if !a.target.dead {
				a.sched.SetSynced(c.now.Sub(a.booted) >= syncWait)
				o.apply(a, a.sched.Tick(c.now))
				o.callForWork(a)
			}
		}
	})
	for _, a := range o.agents {
		o.publishOften(a)
	}
	c.every(beatEvery, o.tellAll)
	c.every(linker.BeatCheck, o.beat)
	c.every(sampleEvery, o.w.gauges.sample)
	c.every(levelEvery, o.sampleLevels)
}

// callForWork tells the routers when an agent that was full has room and
// nothing to fill it with.
func (o *ours) callForWork(a *oursAgent) {
	if a.toldFull && a.sched.WantsWork(o.w.clock.now) {
		o.tell(a)
	}
}

// tell sends an agent's load to all routers.
func (o *ours) tell(a *oursAgent) {
	load := a.sched.Load()
	a.toldFull = load.Free() <= 0
	for _, r := range o.routers {
		o.send(string(a.target.name), string(r.name), messenger.Frame{Load: &load})
		if !o.cut(r, a) {
			o.load(r, a, load)
		}
	}
}

// tellAll sends the loads of all agents, which are their heartbeats.
func (o *ours) tellAll() {
	for _, a := range o.agents {
		if !a.target.dead {
			o.tell(a)
		}
	}
}

// beat sends the heartbeats of the routers.
func (o *ours) beat() {
	for _, a := range o.agents {
		if a.target.dead {
			continue
		}
		for _, r := range o.routers {
			if o.w.clock.now.Sub(r.said[a.index]) >= linker.BeatAfter {
				o.say(r, a, messenger.Frame{})
			}
		}
	}
}

// say sends a frame of a router to an agent.
func (o *ours) say(r *oursRouter, a *oursAgent, f messenger.Frame) {
	r.said[a.index] = o.w.clock.now
	o.send(string(r.name), string(a.target.name), f)
}

func (o *ours) load(r *oursRouter, a *oursAgent, load scheduler.Load) {
	o.w.clock.after(o.w.delay(r.index, a.index), func() {
		r.queues.SetAgent(a.target.name, a.target.pool, o.near(r, a), load.Free())
		if n, _ := r.queues.Len(); n > 0 {
			o.flush(r)
		}
	})
}

func (o *ours) coder(from, to string) *messenger.Coder {
	id := [2]string{from, to}
	c := o.coders[id]
	if c == nil {
		c = messenger.NewCoder()
		o.coders[id] = c
	}
	return c
}

// send counts a frame on its way and returns its size.
func (o *ours) send(from, to string, f messenger.Frame) int {
	f.Revision = 1
	n := o.size(from, to, f)
	o.w.gauges.traffic(from, to, n)
	if len(f.Offers)+len(f.Grants)+len(f.Declines) > 0 {
		o.w.gauges.request(n)
	}
	return n
}

// size is what a frame takes on the wire.
func (o *ours) size(from, to string, f messenger.Frame) int {
	raw, err := o.coder(from, to).Encode(f)
	if err != nil {
		panic(err)
	}
	if strings.HasPrefix(from, routerPrefix) {
		return len(raw) + clientHeader
	}
	return len(raw) + serverHeader
}

func (o *ours) submit(j *job) {
	r := o.routers[j.router]
	err := r.queues.Enqueue(o.w.clock.now, queuer.Item{
		Request:  j.id,
		Class:    j.class,
		Bytes:    jobBytes,
		Arrived:  j.arrived,
		Deadline: j.deadline,
		CostHint: j.hint,
		Prefix:   j.prefix,
	})
	if err != nil {
		o.w.gauges.refuse(j)
		return
	}
	r.jobs[j.id] = j
	_, bytes := r.queues.Len()
	o.w.gauges.heldBytes = max(o.w.gauges.heldBytes, bytes)
	o.flush(r)
}

// jobBytes is the size of a job's body.
const jobBytes = 2048

// flush schedules the router's next tick if none is.
func (o *ours) flush(r *oursRouter) {
	if r.pending {
		return
	}
	r.pending = true
	o.w.clock.after(routerTick, func() {
		r.pending = false
		o.tick(r)
	})
}

func (o *ours) tick(r *oursRouter) {
	now := o.w.clock.now
	for _, it := range r.queues.RemoveExpired(now) {
		o.w.gauges.refuse(r.jobs[it.Request])
		delete(r.jobs, it.Request)
	}
	for _, u := range r.queues.Updates(now) {
		o.offer(r, o.byName[u.Target], u.Offers)
	}
	if n, _ := r.queues.Len(); n > 0 {
		o.flush(r)
	}
}

func (o *ours) offer(r *oursRouter, a *oursAgent, offers []scheduler.Offer) {
	o.say(r, a, messenger.Frame{Offers: offers})
	if o.cut(r, a) {
		return
	}
	life := a.lives
	o.w.clock.after(o.w.delay(r.index, a.index), func() {
		if a.lives == life && !a.target.dead {
			o.apply(a, a.sched.UpdateOffers(o.w.clock.now, r.name, offers))
		}
	})
}

// apply carries out an agent's actions.
func (o *ours) apply(a *oursAgent, acts scheduler.Actions) {
	byRouter := map[identifier.Router][]messenger.Grant{}
	var order []identifier.Router
	for _, g := range acts.Grants {
		if byRouter[g.To] == nil {
			order = append(order, g.To)
		}
		byRouter[g.To] = append(byRouter[g.To], messenger.Grant{Number: g.ID.Number, Class: g.Class})
	}
	for _, name := range order {
		o.grant(a, o.routerBy[name], byRouter[name])
	}
	for _, id := range acts.Preempts {
		a.target.cancel(a.jobs[id])
	}
	for _, id := range acts.Starts {
		a.target.start(a.jobs[id])
	}
}

func (o *ours) grant(a *oursAgent, r *oursRouter, gs []messenger.Grant) {
	o.send(string(a.target.name), string(r.name), messenger.Frame{Grants: gs})
	o.w.gauges.grants += len(gs)
	if o.cut(r, a) {
		return
	}
	self := a.self
	o.w.clock.after(o.w.delay(r.index, a.index), func() { o.granted(a, self, r, gs) })
}

func (o *ours) granted(a *oursAgent, self identifier.Origin, r *oursRouter, gs []messenger.Grant) {
	var declines []uint64
	for _, g := range gs {
		it, ok := r.queues.Dequeue(o.w.clock.now, a.target.name, g.Class)
		if !ok {
			declines = append(declines, g.Number)
			continue
		}
		o.handOver(a, r, identifier.Grant{Origin: self, Number: g.Number}, it)
	}
	o.flush(r)
	if len(declines) == 0 {
		return
	}
	o.w.gauges.declines += len(declines)
	o.say(r, a, messenger.Frame{Declines: declines})
	o.w.clock.after(o.w.delay(r.index, a.index), func() {
		for _, id := range declines {
			o.apply(a, a.sched.Decline(o.w.clock.now, identifier.Grant{Origin: self, Number: id}))
		}
	})
}

// handOver sends a request to its agent, which takes it or refuses it as not
// run.
func (o *ours) handOver(a *oursAgent, r *oursRouter, id identifier.Grant, it queuer.Item) {
	j := r.jobs[it.Request]
	o.w.clock.after(o.w.delay(r.index, a.index), func() {
		if !a.target.dead {
			a.jobs[j.id] = j
			a.from[j.id] = r
			acts, err := a.sched.Accept(o.w.clock.now, id, scheduler.Handover{Request: j.id, Class: j.class, Resumable: !a.target.service})
			if err == nil {
				delete(r.jobs, j.id)
				o.w.gauges.leave(j)
				o.w.gauges.hand()
				o.apply(a, acts)
				return
			}
			delete(a.jobs, j.id)
		}
		r.queues.Requeue(it)
		o.flush(r)
	})
}

func (o *ours) token(t *target, j *job) {
	a := o.byName[t.name]
	a.sched.Progress(o.w.clock.now, j.id, j.served)
}

func (o *ours) ended(t *target, j *job) {
	a := o.byName[t.name]
	delete(a.jobs, j.id)
	delete(a.from, j.id)
	o.apply(a, a.sched.Finish(o.w.clock.now, j.id, j.served))
}
