package acceptor

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
)

func TestBacklogEarliestArrival(t *testing.T) {
	g := NewWithT(t)
	var b backlog
	at := func(ms int) identifier.Instant {
		return identifier.Instant(time.Second).Add(time.Duration(ms) * time.Millisecond)
	}
	for _, c := range []struct {
		ms    int
		waits bool
		since int
	}{
		{0, false, 0}, {50, false, 50}, {100, true, 100}, {101, true, 100}, {900, true, 100},
		{901, false, 901}, {902, true, 902}, {5000, true, 5000}, {5001, true, 5000}, {5300, false, 5300},
	} {
		b.accepted(at(c.ms), func() bool { return c.waits })
		g.Expect(identifier.Instant(b.earliestArrival.Load())).To(Equal(at(c.since)), "after %d ms", c.ms)
	}
}

// The earliest arrival stays the same while connections are pending, and moves on with
// the last one accepted.
func TestListenerEarliestArrival(t *testing.T) {
	g := NewWithT(t)
	p, err := Listen(Config{Network: "tcp4", Address: "127.0.0.1:0"})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = p.Close() }()
	const callers = 3
	for range callers {
		c, err := net.Dial("tcp4", p.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
	}
	var since []identifier.Instant
	began := clocker.Now()
	for range callers {
		c, err := p.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		since = append(since, p.EarliestArrival())
		time.Sleep(2 * pollInterval)
	}
	g.Expect(since[0]).To(BeNumerically(">=", began))
	g.Expect(since[1]).To(Equal(since[0]), "the third is still pending")
	g.Expect(since[2]).To(BeNumerically(">", since[0]), "none is pending any more")
}
