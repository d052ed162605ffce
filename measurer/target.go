package measurer

import (
	"time"

	"buckthorndrum/identifier"
)

// job is one request in a run.
type job struct {
	id     identifier.Request
	class  identifier.Class
	pool   identifier.Pool
	router int
	// cost is what the request takes in the end, hint what was said before.
	cost   identifier.Cost
	hint   identifier.Cost
	prefix identifier.Prefix
	// served is how many tokens were delivered.
	served   identifier.Cost
	arrived  identifier.Instant
	deadline identifier.Instant
	// ready is when the prompt has been taken in.
	ready identifier.Instant
	first identifier.Instant
	// lost tells that its target died while it ran.
	lost bool
}

// target is one back end in a run: an engine that gives each running job a
// token at every step, or a service that ends each job after its latency.
type target struct {
	clock  *clock
	name   identifier.Target
	pool   identifier.Pool
	region int
	// slots is how many jobs it runs well at once.
	slots int
	// speed divides the step time.
	speed   float64
	service bool
	running []*job
	// stepping tells that a step is under way.
	stepping bool
	// stuck and dead stop all progress; a dead target has lost its jobs.
	stuck bool
	dead  bool
	// life rises with each death, so that events of an earlier life are void.
	life int
	// cache are the prefixes held, the latest last.
	cache []identifier.Prefix
	// served is the tokens delivered in all.
	served identifier.Cost
	// onToken and onEnd tell the system what happens.
	onToken func(*job)
	onEnd   func(*job)
}

// Figures of the targets.
const (
	baseStep       = 8 * time.Millisecond
	stepPerJob     = 500 * time.Microsecond
	prefillCold    = 30 * time.Millisecond
	prefillCached  = 4 * time.Millisecond
	serviceLatency = 40 * time.Millisecond
	cachedPrefixes = 64
)

// start runs a job.
func (t *target) start(j *job) {
	if t.dead {
		j.lost = true
		return
	}
	t.running = append(t.running, j)
	j.ready = t.clock.now.Add(t.prefill(j.prefix))
	t.step()
}

func (t *target) prefill(p identifier.Prefix) time.Duration {
	if t.service {
		return 0
	}
	for i, h := range t.cache {
		if h == p && p != 0 {
			t.cache = append(append(t.cache[:i:i], t.cache[i+1:]...), p)
			return prefillCached
		}
	}
	t.cache = append(t.cache, p)
	if len(t.cache) > cachedPrefixes {
		t.cache = t.cache[1:]
	}
	return prefillCold
}

// cancel takes a job off the target. It can be started again later.
func (t *target) cancel(j *job) {
	for i := range t.running {
		if t.running[i] == j {
			t.running = append(t.running[:i], t.running[i+1:]...)
			return
		}
	}
}

// step schedules the next decoding step if none is under way.
func (t *target) step() {
	if t.stepping || len(t.running) == 0 || t.stuck || t.dead {
		return
	}
	t.stepping = true
	d := time.Duration(float64(baseStep+time.Duration(len(t.running))*stepPerJob) / t.speed)
	if t.service {
		d = time.Duration(float64(serviceLatency) / t.speed)
	}
	life := t.life
	t.clock.after(d, func() {
		if t.life == life {
			t.decode()
		}
	})
}

func (t *target) decode() {
	t.stepping = false
	if t.stuck {
		return
	}
	batch := append([]*job(nil), t.running...)
	for _, j := range batch {
		if t.clock.now < j.ready {
			continue
		}
		j.served++
		t.served++
		if j.first == 0 {
			j.first = t.clock.now
		}
		t.onToken(j)
		if j.served >= j.cost {
			t.cancel(j)
			t.onEnd(j)
		}
	}
	t.step()
}

// die loses all running jobs and returns them.
func (t *target) die() []*job {
	lost := t.running
	t.running = nil
	t.dead = true
	t.stepping = false
	t.life++
	for _, j := range lost {
		j.lost = true
	}
	return lost
}

// revive brings a dead target back, empty.
func (t *target) revive() {
	t.dead = false
	t.cache = nil
}

// unstick lets a stuck target go on.
func (t *target) unstick() {
	t.stuck = false
	t.step()
}
