package prover_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"buckthorndrum/starter"
)

// process is a router or an agent, started by the test.
type process struct {
	t       *testing.T
	name    string
	args    []string
	address string
	cmd     *exec.Cmd
	log     *os.File
	// exited is closed when the process has ended, and failure says how.
	exited  chan struct{}
	failure error
	// stopping tells that it was asked to stop gracefully.
	stopping bool
	// relay stands before an agent.
	relay *relay
}

// buildBinary builds the program under test.
func buildBinary(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "buckthorndrum")
	out, err := exec.Command("go", "build", "-o", bin, "buckthorndrum/cmd/buckthorndrum").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// Ports of the processes. They are below those that the system gives out by
// itself, for a port must stay free while its process is being replaced.
const (
	firstPort = 20_000
	ports     = 10_000
	portStep  = 64
)

var nextPort = os.Getpid() * portStep % ports

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range ports {
		nextPort = (nextPort + 1) % ports
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		return l.Addr().String()
	}
	t.Fatal("no port is free")
	return ""
}

func (p *process) start(bin string) {
	p.cmd = exec.Command(bin, p.args...)
	p.cmd.Stderr = p.log
	p.cmd.Stdout = p.log
	p.exited = make(chan struct{})
	p.stopping = false
	if err := p.cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.name, err)
	}
	cmd, exited := p.cmd, p.exited
	go func() {
		p.failure = cmd.Wait()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits until it has gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// drain asks the process to stop and returns how it ended.
func (p *process) drain(limit time.Duration) error {
	p.stopping = true
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return p.failure
	case <-time.After(limit):
		p.kill()
		return fmt.Errorf("%s did not stop within %s", p.name, limit)
	}
}

// gauge reads a metric of the process, or -1.
func (p *process) gauge(name string) float64 {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + p.address + "/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return -1
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			f, _ := strconv.ParseFloat(v, 64)
			return f
		}
	}
	return -1
}

// fleet is a set of real processes before stand-ins in the test.
type fleet struct {
	t        *testing.T
	bin      string
	standins *starter.Standins
	routers  []*process
	agents   []*process
}

const (
	routers  = 2
	engines  = 2
	services = 2
)

func startFleet(t *testing.T, seed uint64) *fleet {
	t.Helper()
	sts, err := starter.StartStandins(starter.StandinConfig{Engines: engines, Services: services, Seed: seed, RefuseRepeats: 1})
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, bin: buildBinary(t), standins: sts}
	t.Cleanup(f.stop)
	var addresses [2][]string
	for i, url := range sts.EngineURLs {
		addresses[0] = append(addresses[0], f.addAgent(fmt.Sprintf("engine-%d", i+1), url))
	}
	for i, url := range sts.ServiceURLs {
		addresses[1] = append(addresses[1], f.addAgent(fmt.Sprintf("registry-%d", i+1), url))
	}
	for i := range routers {
		f.addRouter(fmt.Sprintf("router-%d", i+1), strings.Join(addresses[0], ","))
	}
	f.configure(addresses[0], addresses[1])
	return f
}

func (f *fleet) add(name string, args ...string) *process {
	log, err := os.Create(filepath.Join(f.t.TempDir(), name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	p := &process{t: f.t, name: name, address: freeAddress(f.t), log: log}
	p.args = append(p.args, args...)
	p.args = append(p.args, "-listen", p.address, "-secret", starter.Secret, "-data-centre", "dc1")
	p.start(f.bin)
	return p
}

func (f *fleet) addAgent(name, url string) string {
	p := f.add(name, "agent", "-target", name, "-target-url", url)
	p.relay = newRelay(f.t, p.address)
	f.agents = append(f.agents, p)
	return p.relay.address()
}

func (f *fleet) addRouter(name, seeds string) {
	p := f.add(name, "router", "-name", name, "-store", f.standins.StoreURL, "-instances", f.standins.InstancesURL, "-seeds", seeds)
	f.routers = append(f.routers, p)
}

// configure puts the first configuration and waits until it is in force.
func (f *fleet) configure(engineAgents, serviceAgents []string) {
	doc := starter.Document(engineAgents, serviceAgents)
	last := &doc.Targets[len(doc.Targets)-1]
	last.RefusesRepeats = true
	deadline := time.Now().Add(30 * time.Second)
	for {
		err := starter.PutFirst(f.t.Context(), "http://"+f.routers[0].address, doc)
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			f.t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if d := f.inForce(1, 30*time.Second); d < 0 {
		f.t.Fatal("the first configuration is not in force after 30 s")
	}
}

// inForce waits until every process has the revision, and returns how long that
// took, or a negative time if it did not come.
func (f *fleet) inForce(rev float64, limit time.Duration) time.Duration {
	begin := time.Now()
	for time.Since(begin) < limit {
		if f.lowest() >= rev {
			return time.Since(begin)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return -1
}

func (f *fleet) lowest() float64 {
	low := 1e18
	for _, p := range f.routers {
		low = min(low, p.gauge("buckthorndrum_router_config_revision"))
	}
	for _, p := range f.agents {
		low = min(low, p.gauge("buckthorndrum_agent_config_revision"))
	}
	return low
}

func (f *fleet) stop() {
	for _, p := range f.agents {
		p.relay.cut()
	}
	for _, p := range slices.Concat(f.routers, f.agents) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
		_ = p.log.Close()
	}
	f.standins.Close()
}
