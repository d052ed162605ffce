package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment is a small deployment: the store, servers and routers.
type deployment struct {
	rec     *record
	store   *store
	dir     string
	procs   []*process
	mu      sync.Mutex
	runs    map[string][]string
	version int
}

func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &deployment{rec: rec, store: s, dir: dir, runs: map[string][]string{}}, nil
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, p := range d.procs {
		p.kill()
	}
	d.store.close()
	_ = os.RemoveAll(d.dir)
}

// closeOnSignal ends all processes when the case is told to stop before its end.
func (d *deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	d.rec.logf("case", "could not run: it was told to stop")
	d.close()
	os.Exit(exitNoRun)
}

// runsOf returns the servers that have run a request, in order.
func (d *deployment) runsOf(id string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.runs[id]...)
}

// process is a process that the case has started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	// front is the address for callers and ready that for the platform's question, for a
	// router; address is that of a server.
	front, ready, address string
	// born is when a server was started, in milliseconds since the Unix epoch.
	born int64
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (d *deployment) start(p *process, cmd *exec.Cmd) error {
	p.cmd, p.exited = cmd, make(chan struct{})
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	d.procs = append(d.procs, p)
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	return nil
}

// startServer starts a server and registers it in the store as ready.
func (d *deployment) startServer(id, service string, args ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, append([]string{"server", "-id", id}, args...)...)
	if _, err := cmd.StdinPipe(); err != nil {
		return nil, err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stdout = writer
	p := &process{name: id, born: time.Now().UnixMilli()}
	if err := d.start(p, cmd); err != nil {
		return nil, err
	}
	_ = writer.Close()
	lines := bufio.NewScanner(reader)
	if !lines.Scan() || !strings.HasPrefix(lines.Text(), "address ") {
		return nil, fmt.Errorf("server %s does not listen: %q", id, lines.Text())
	}
	p.address = strings.TrimPrefix(lines.Text(), "address ")
	go d.followServer(id, lines)
	d.setState(p, service, "ready")
	return p, nil
}

// followServer records what a server says of its runs.
func (d *deployment) followServer(id string, lines *bufio.Scanner) {
	for lines.Scan() {
		d.rec.logf(id, "%s", lines.Text())
		if f := strings.Fields(lines.Text()); len(f) > 1 && f[0] == "run" {
			d.mu.Lock()
			d.runs[f[1]] = append(d.runs[f[1]], id)
			d.mu.Unlock()
		}
	}
}

// setState writes a server's entry with a state.
func (d *deployment) setState(p *process, service, state string) {
	d.store.set("servers/"+p.name, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":64,"state":%q,"cold_left_ms":0,"seq":1,"born":%d}`, service, p.address, state, p.born))
	d.rec.logf("store", "servers/%s is %s at %s", p.name, state, p.address)
}

// setConfig writes the operator's configuration. routes are the elements of its list.
func (d *deployment) setConfig(routes string) {
	d.version += 3
	d.store.set("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"desk","health_path":"/health","max_conns":1240,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":635000,"models":[{"name":"m"}]}},{"name":"ledger","health_path":"/health","max_conns":220,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":410000},"tenants":[{"name":"acme","api_keys":["key-1"],"priority":1}]}`, d.version, routes))
	d.rec.logf("operator", "config %d is acknowledged", d.version)
}

// Routes of the deployment, as elements of the configuration's list.
const (
	draftRoute     = `{"name":"contract-draft","host":"desk.example","prefix":"/draft/","kind":"streaming","timeout_ms":15000,"target_latency_ms":600,"priority":1,"service":"desk","attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":400}`
	resumableRoute = `{"name":"grower-query","host":"desk.example","prefix":"/draft/","kind":"streaming","timeout_ms":12000,"target_latency_ms":400,"priority":1,"service":"desk","attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":400}`
	recordRoute    = `{"name":"payout-record","host":"desk.example","prefix":"/payout/","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":100,"priority":0,"service":"ledger","attempts":1,"public":false}`
)

// settings is a router's settings file. It has the values of the karakoram site.
const settings = `node_name=%s
role=router
machine_class=front
serves=front
ip=127.0.0.1
zone=a
region=r
zones.a=r
listen.front=%s
listen.ready=%s
port_range=%d,%d
first_start=true
limits.cpu_share=0.208
limits.cores=1
limits.memory_mb=120
limits.max_fds=2870
limits.link_mbps=700.0
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.max_stretch_ms=5000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=112
bounds.recovery_s=12
platform.address=%s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`

// routerPorts is the number of ports of a router's range.
const routerPorts = 4

// startRouter starts a router with the command of the deploy file and waits until it is
// ready.
func (d *deployment) startRouter(name, storeAddress string) (*process, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	p := &process{name: name, front: freeAddress(), ready: freeAddress()}
	first := freeRange()
	path := filepath.Join(d.dir, name+".conf")
	text := fmt.Sprintf(settings, name, p.front, p.ready, first, first+routerPorts-1, storeAddress)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(root, "target", "buckthorndrum"), "platform")
	cmd.Env = append(os.Environ(), "BUCKTHORNDRUM_BOOT="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := d.start(p, cmd); err != nil {
		return nil, err
	}
	go func() {
		<-p.exited
		_ = log.Close()
		d.rec.logf(name, "process has ended")
	}()
	if err := waitReady(p); err != nil {
		return nil, err
	}
	d.rec.logf(name, "is ready")
	return p, nil
}

func waitReady(p *process) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if isReady(p) {
			return nil
		}
	}
	return errors.New(p.name + " does not become ready")
}

func isReady(p *process) bool {
	resp, err := http.Get("http://" + p.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// freeRange returns the first of routerPorts free ports.
func freeRange() int {
	for {
		_, port, _ := net.SplitHostPort(freeAddress())
		var first int
		_, _ = fmt.Sscan(port, &first)
		if rangeIsFree(first) {
			return first
		}
	}
}

func rangeIsFree(first int) bool {
	for n := first; n < first+routerPorts; n++ {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", n))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
