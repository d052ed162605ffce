package prover_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"buckthorndrum/identifier"
	"buckthorndrum/imitator"
	"buckthorndrum/starter"
)

var (
	soakTime = flag.Duration("soak", 15*time.Second, "how long the soak runs")
	soakSeed = flag.Uint64("soak-seed", 1, "seed of the soak's faults and callers")
	maxPause = flag.Duration("soak-pause", 2500*time.Millisecond, "how long a pause, an outage or a fault of the network lasts at most")
)

// drainLimit is how long a graceful stop may take; the deadlines of the soak's
// requests are below it.
const drainLimit = 40 * time.Second

// TestSoak runs real processes under kills, pauses, drains and outages of the
// key-value service, and asks the oracles at the end.
func TestSoak(t *testing.T) {
	f := startFleet(t, *soakSeed)
	v := newVerdict()
	ctx, cancel := context.WithTimeout(t.Context(), *soakTime)
	defer cancel()
	cs := &callers{f: f, v: v, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	wg := cs.run(ctx, *soakSeed)
	var cuts map[string]int
	wg.Go(func() { cuts = inject(ctx, rand.New(rand.NewPCG(*soakSeed, 98)), f.networkFault) })
	faults := inject(ctx, rand.New(rand.NewPCG(*soakSeed, 99)), f.fault)
	f.standins.Store.SetFaults(imitator.StoreFaults{})
	wg.Wait()
	f.judge(v)
	t.Logf("seed %d, %s: faults %v and %v, tickets %d, repeats %d, answers whole %d, without a mark %d, problems %v",
		*soakSeed, *soakTime, faults, cuts, len(v.told), v.repeats, v.whole, v.unmarked, v.problems)
}

// inject brings about faults until ctx is done and returns how many of each.
func inject(ctx context.Context, rng *rand.Rand, fault func(*rand.Rand) string) map[string]int {
	counts := map[string]int{}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(200+rng.IntN(600)) * time.Millisecond)
		counts[fault(rng)]++
	}
	return counts
}

// fault brings about one fault and mends it.
func (f *fleet) fault(rng *rand.Rand) string {
	agent := f.agents[rng.IntN(len(f.agents))]
	router := f.routers[rng.IntN(len(f.routers))]
	pause := pauseOf(rng)
	switch rng.IntN(8) {
	case 0:
		agent.kill()
		agent.start(f.bin)
		return "agent killed"
	case 1:
		router.kill()
		router.start(f.bin)
		return "router killed"
	case 2:
		agent.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		agent.signal(syscall.SIGCONT)
		return "agent paused"
	case 3:
		router.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		router.signal(syscall.SIGCONT)
		return "router paused"
	case 4:
		f.store(imitator.StoreFaults{Outage: true}, pause)
		return "store down"
	case 5:
		f.store(imitator.StoreFaults{LoseAnswers: 0.5, Stale: true, DelayMS: 5}, pause)
		return "store loses answers and shows old values"
	case 6:
		f.drain(agent)
		return "agent drained"
	}
	f.drain(router)
	return "router drained"
}

// networkFault brings about one fault of the network before an agent, at the
// same time as those of processes, and mends it.
func (f *fleet) networkFault(rng *rand.Rand) string {
	agent := f.agents[rng.IntN(len(f.agents))]
	pause := pauseOf(rng)
	switch rng.IntN(5) {
	case 0:
		agent.relay.cut()
		return "links cut"
	case 1:
		f.network(agent, lose, pass, pause)
		return "bytes to an agent lost"
	case 2:
		f.network(agent, pass, lose, pause)
		return "bytes from an agent lost"
	case 3:
		for range flaps {
			agent.relay.cut()
			time.Sleep(pause / flaps)
		}
		return "links flapping"
	}
	f.network(agent, lose, lose, pause)
	return "links half-open"
}

// flaps is how often links that flap are cut.
const flaps = 10

// pauseOf draws how long a fault lasts.
func pauseOf(rng *rand.Rand) time.Duration {
	return 100*time.Millisecond + time.Duration(rng.Int64N(int64(*maxPause)))
}

// network loses the bytes of each direction to an agent for a while.
func (f *fleet) network(agent *process, to, from flow, d time.Duration) {
	agent.relay.set(to, from)
	time.Sleep(d)
	agent.relay.heal()
}

func (f *fleet) store(faults imitator.StoreFaults, d time.Duration) {
	f.standins.Store.SetFaults(faults)
	time.Sleep(d)
	f.standins.Store.SetFaults(imitator.StoreFaults{})
}

func (f *fleet) drain(p *process) {
	if err := p.drain(drainLimit); err != nil {
		f.t.Errorf("%s ended its graceful stop with %v", p.name, err)
	}
	p.start(f.bin)
}

// judge compares what callers were told with what the services have executed.
func (f *fleet) judge(v *verdict) {
	ran := map[string]int{}
	for _, s := range f.standins.Services {
		for body, n := range s.Bodies() {
			ran[body] += n
		}
	}
	outcomes := map[identifier.Outcome]int{}
	for body, told := range v.told {
		outcomes[told]++
		n := ran[body]
		if n > 1 {
			f.t.Errorf("ticket %s was issued %d times", body, n)
		}
		if told == identifier.Done && n != 1 {
			f.t.Errorf("ticket %s: told done, issued %d times", body, n)
		}
		if told == identifier.NotRun && n != 0 {
			f.t.Errorf("ticket %s: told not run, issued %d times", body, n)
		}
	}
	for _, p := range v.broken {
		f.t.Errorf("answer to %q was passed off as whole", p)
	}
	for _, p := range v.cut {
		f.t.Errorf("answer to %q was cut off by a graceful stop", p)
	}
	f.searchLogs()
	if v.whole == 0 || outcomes[identifier.Done] == 0 {
		f.t.Error("nothing was answered at all")
	}
	f.t.Logf("ticket outcomes %v", fmt.Sprint(outcomes))
}

// searchLogs looks for secrets in the processes' logs.
func (f *fleet) searchLogs() {
	for _, p := range slices.Concat(f.routers, f.agents) {
		log, err := os.ReadFile(p.log.Name())
		if err != nil {
			f.t.Fatal(err)
		}
		for _, secret := range []string{starter.Secret, starter.OperatorToken, starter.WorkspaceToken("tanta"), "bk1~"} {
			if strings.Contains(string(log), secret) {
				f.t.Errorf("log of %s holds the secret %q", p.name, secret)
			}
		}
	}
}
