package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// fleet is a small deployment: a store, routers and servers. The routers and the servers are
// separate processes.
type fleet struct {
	dir       string
	root      string
	storeAddr string
	store     *store
	started   time.Time
	mu        sync.Mutex
	record    *os.File
	procs     []*process
	// runs holds the runs that the servers have told of, by request.
	runs map[string][]run
	// brief is set if requests that are refused with 503 are counted and not recorded one by one.
	brief   bool
	refused atomic.Int64
	// unframed holds the servers of the streams without a length that run, by request.
	unframed map[string]string
}

// run is one run of a request at a server.
type run struct {
	server string
	at     time.Time
	line   string
	ended  bool
}

// process is a process that the case has started.
type process struct {
	*exec.Cmd
	name string
	done chan struct{}
}

// errCannotRun means that a case could not be set up.
var errCannotRun = errors.New("the case could not run")

// newFleet starts a store. It finds the project's root as the parent of the folder review.
func newFleet(recordPath string) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, root: root, store: newStore(), started: time.Now(), record: record, runs: map[string][]run{}, unframed: map[string]string{}}
	f.storeAddr, err = f.store.start()
	return f, err
}

// note writes a line to the record, with the time since the start.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f  "+format+"\n", append([]any{time.Since(f.started).Seconds()}, args...)...)
}

// start starts a process whose output goes to each of the functions, line by line.
func (f *fleet) start(name string, env []string, onLine func(string), path string, args ...string) (*process, error) {
	cmd := exec.Command(path, args...)
	cmd.Dir = f.root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{Cmd: cmd, name: name, done: make(chan struct{})}
	f.mu.Lock()
	f.procs = append(f.procs, p)
	f.mu.Unlock()
	go func() {
		r := bufio.NewReader(out)
		for {
			line, err := r.ReadString('\n')
			if line != "" && onLine != nil {
				onLine(strings.TrimSpace(line))
			}
			if err != nil {
				break
			}
		}
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal to a process and records it.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.note("signal %s to %s", s, p.name)
	_ = p.Process.Signal(s)
}

// stop ends all processes that the case has started and removes its folder.
func (f *fleet) stop() {
	f.mu.Lock()
	procs := append([]*process(nil), f.procs...)
	f.mu.Unlock()
	for _, p := range procs {
		_ = p.Process.Signal(syscall.SIGKILL)
		_ = p.Process.Signal(syscall.SIGCONT)
	}
	for _, p := range procs {
		select {
		case <-p.done:
		case <-time.After(2 * time.Second):
		}
	}
	_ = os.RemoveAll(f.dir)
	_ = f.record.Close()
}

// portsPerRouter is the number of ports that a router is given.
const portsPerRouter = 20

// freePorts returns the first of portsPerRouter free ports below those that the kernel gives
// to connections.
func freePorts() int {
	for range 200 {
		first := 10000 + portsPerRouter*rand.IntN(1000)
		if allFree(first) {
			return first
		}
	}
	return 0
}

func allFree(first int) bool {
	for port := first; port < first+portsPerRouter; port++ {
		address := "127.0.0.1:" + strconv.Itoa(port)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp4", address)
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

// router is a router of the project.
type router struct {
	*process
	front, ready, log string
	settings          string
}

// startRouter starts a router with the command of the deploy file and waits until it is ready.
// extra replaces fields of the settings.
func (f *fleet) startRouter(n int, extra map[string]string) (*router, error) {
	first := freePorts()
	front, ready := first+16, first+17
	fields := map[string]string{
		"node_name": fmt.Sprintf("front-a-%d", n), "role": "router", "machine_class": "front", "serves": "front",
		"ip": "127.0.0.1", "zone": "a", "region": "r", "zones.a": "r",
		"listen.front": "127.0.0.1:" + strconv.Itoa(front), "listen.ready": "127.0.0.1:" + strconv.Itoa(ready),
		"port_range": fmt.Sprintf("%d,%d", first, first+15), "seeds": "", "first_start": "true",
		"limits.cpu_share": "0.208", "limits.cores": "1", "limits.memory_mb": "120", "limits.max_fds": "2870", "limits.link_mbps": "700.0",
		"discovery": "platform", "entry": "vip", "heartbeat_ms": "1200",
		"contracts":         "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		"bounds.seed_lag_s": "3", "bounds.reuse_after_s": "2", "bounds.stable_window_ms": "3000", "bounds.drain_ms": "2000",
		"bounds.grace_s": "8", "bounds.loss_slack_ms": "200", "bounds.config_apply_ms": "2000", "bounds.strict_revoke": "true",
		"bounds.revoke_ms": "5000", "bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.budget_extra": "112",
		"bounds.recovery_s": "12", "platform.address": f.storeAddr, "platform.form": "kv", "platform.history_s": "20",
	}
	for name, value := range extra {
		fields[name] = value
	}
	text := ""
	for name, value := range fields {
		text += name + "=" + value + "\n"
	}
	settings := filepath.Join(f.dir, fields["node_name"]+".conf")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	logPath := filepath.Join(f.dir, fields["node_name"]+".log")
	logFile, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	r := &router{front: fields["listen.front"], ready: fields["listen.ready"], log: logPath, settings: settings}
	r.process, err = f.start(fields["node_name"], []string{"BUCKTHORNDRUM_BOOT=" + settings}, func(line string) { _, _ = fmt.Fprintln(logFile, line) }, filepath.Join(f.root, "target/buckthorndrum"), "platform")
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := http.Get("http://" + r.ready + "/readiness"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				f.note("router %s is ready at %s", r.name, r.front)
				return r, nil
			}
		}
	}
	return nil, fmt.Errorf("%w: router %d is not ready", errCannotRun, n)
}

// setField changes one field of a router's settings file.
func (f *fleet) setField(r *router, name, value string) error {
	raw, err := os.ReadFile(r.settings)
	if err != nil {
		return err
	}
	lines := strings.Split(string(raw), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, name+"=") {
			lines[i] = name + "=" + value
		}
	}
	next := r.settings + ".new"
	if err := os.WriteFile(next, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		return err
	}
	return os.Rename(next, r.settings)
}

// target is a server of the fleet, with its entry in the store.
type target struct {
	*process
	id, address, service string
	slots                int
}

// startServer starts a server at an address, or at a free one, and registers it.
func (f *fleet) startServer(id, service, address string, slots int, more ...string) (*target, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listening := make(chan string, 1)
	onLine := func(line string) {
		word, rest, _ := strings.Cut(line, " ")
		f.mu.Lock()
		switch word {
		case "listening":
			listening <- rest
		case "run":
			request, _, _ := strings.Cut(rest, " ")
			f.runs[request] = append(f.runs[request], run{server: id, at: time.Now(), line: line})
		case "unframed":
			f.unframed[rest] = id
		case "end":
			delete(f.unframed, rest)
			for i := range f.runs[rest] {
				f.runs[rest][i].ended = true
			}
		}
		f.mu.Unlock()
		f.note("server %s: %s", id, line)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p, err := f.start(id, nil, onLine, self, append([]string{"server", "-listen", address, "-id", id, "-slots", strconv.Itoa(slots)}, more...)...)
	if err != nil {
		return nil, err
	}
	t := &target{process: p, id: id, service: service, slots: slots}
	select {
	case t.address = <-listening:
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("%w: server %s does not listen", errCannotRun, id)
	}
	f.register(t, t.address, "ready")
	return t, nil
}

// register writes the entry of a server.
func (f *fleet) register(t *target, address, state string) {
	f.store.put("servers/"+t.id, map[string]any{"service": t.service, "address": address, "zone": "a", "version": "v1", "slots": t.slots, "state": state,
		"cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli()})
	f.note("store: servers/%s %s at %s", t.id, state, address)
}

// answer is what a client has got.
type answer struct {
	status int
	seal   string
	body   string
	// whole is set if the answer has ended as its framing says.
	whole bool
	err   error
	took  time.Duration
}

// request sends one request on a connection of its own and reads the answer to its end.
func (f *fleet) request(addr, id, method, path string, header map[string]string, body string, limit time.Duration) answer {
	began := time.Now()
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(limit + 3*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n", method, path, id, limit.Milliseconds())
	for name, value := range header {
		head += name + ": " + value + "\r\n"
	}
	if method != http.MethodGet {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if !f.brief {
		f.note("client: %s sent: %s %s", id, method, path)
	}
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	a := readAnswer(bufio.NewReader(c), method)
	a.took = time.Since(began)
	if f.brief && a.status == http.StatusServiceUnavailable {
		f.refused.Add(1)
		return a
	}
	f.note("client: %s got status %d, seal %q, %d bytes, whole %v, after %.3f s, error %v", id, a.status, a.seal, len(a.body), a.whole, a.took.Seconds(), a.err)
	return a
}

func readAnswer(br *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, seal: resp.Header.Get("X-Response-Seal"), body: string(body), whole: err == nil, err: err}
}

// route returns a route of a configuration. Times are in milliseconds.
func route(name, prefix, kind, service string, timeout, aim, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "desk.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": aim, "priority": 1,
		"service": service, "attempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// plainService returns a service that is no model server.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 220, "protocol": "h1", "tls": false}
}

// config returns the operator's configuration: streams under /chat/ and /note/ that run at most
// once, and payouts under /pay/.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-chat", "/chat/", "streaming", "llm", 15000, 600, 1, map[string]any{"sticky": true, "gap_aim_ms": 400}),
			route("r-note", "/note/", "streaming", "llm", 3000, 400, 1, map[string]any{"sticky": true, "gap_aim_ms": 400}),
			route("r-pay", "/pay/", "non_idempotent", "ledger", 1000, 100, 1, nil),
		},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/health", "max_conns": 1240, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 128, "kv_capacity": 635000, "stride": 6}},
			plainService("ledger"),
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 410000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []string{"key-1", "key-2"}, "priority": 1}, map[string]any{"name": "t2", "api_keys": []string{"key-3"}, "priority": 1}},
	}
}
