package prover_test

import (
	"net"
	"sync"
	"testing"
)

// flow is what a relay does with the bytes of one direction.
type flow int

const (
	// pass forwards them.
	pass flow = iota
	// lose takes them and forwards nothing, as a network does that has lost the
	// way to the other side.
	lose
)

// relay stands between an agent and everybody who calls it, and fails as a
// network does. Its zero faults forward everything.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// toAgent and fromAgent are what becomes of the bytes of each direction.
	toAgent   flow
	fromAgent flow
	conns     map[net.Conn]bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = l.Close()
		r.cut()
	})
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// serve joins one caller with the agent until either side ends.
func (r *relay) serve(caller net.Conn) {
	agent, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	r.keep(true, caller, agent)
	var wg sync.WaitGroup
	wg.Go(func() { r.forward(caller, agent, &r.toAgent) })
	wg.Go(func() { r.forward(agent, caller, &r.fromAgent) })
	wg.Wait()
	r.keep(false, caller, agent)
}

func (r *relay) keep(on bool, cs ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range cs {
		if on {
			r.conns[c] = true
		} else {
			delete(r.conns, c)
		}
	}
}

// relayBuffer is how many bytes are forwarded at once.
const relayBuffer = 32 << 10

func (r *relay) forward(from, to net.Conn, way *flow) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		f := *way
		r.mu.Unlock()
		if f == lose {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// set says what becomes of the bytes of each direction from now on.
func (r *relay) set(toAgent, fromAgent flow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.toAgent, r.fromAgent = toAgent, fromAgent
}

// cut breaks all connections.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// heal lets everything pass again. What was lost is gone, so that the old
// connections are of no use and are broken.
func (r *relay) heal() {
	r.set(pass, pass)
	r.cut()
}
