package informer

import (
	"context"
	"fmt"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"buckthorndrum/admitter"
	"buckthorndrum/forwarder"
	"buckthorndrum/identifier"
	"buckthorndrum/sharer"
)

// TestEncodedMessageMatchesMessage checks that a message with an encoded summary has the
// same encoding as the message itself, and decodes to it.
func TestEncodedMessageMatchesMessage(t *testing.T) {
	g := NewWithT(t)
	m := message{From: "a", Incarnation: 1, Number: 2, Summary: summaryRunning(3), Status: forwarder.Status{Position: 4, ProofAge: 5}, Echo: 6, Routers: 7}
	e, err := m.encode()
	g.Expect(err).NotTo(HaveOccurred())
	fromEncoded, err := cbor.Marshal(e)
	g.Expect(err).NotTo(HaveOccurred())
	fromMessage, err := cbor.Marshal(m)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fromEncoded).To(Equal(fromMessage))
	got, err := decode(fromEncoded)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(m))
}

// loadedSummary returns the summary of a router with one request at each of n targets,
// numbered upwards from from.
func loadedSummary(from, n int) forwarder.Summary {
	s := forwarder.NewSummary()
	for i := 0; i < n; i++ {
		s.Loads[identifier.Target(fmt.Sprintf("i-%08d", from+i))] = admitter.Load{Running: 1, PrefillTokens: 500, MemoryTokens: 3000}
		s.Rates[identifier.Workspace(fmt.Sprintf("space%d", i%60))] = sharer.Rates{Requested: 40000, Dispatched: 30000, Completed: 30000}
	}
	return s
}

// BenchmarkTotal measures one round of a hub: it adds up all reports and sends the total
// to all routers that sent one.
func BenchmarkTotal(b *testing.B) {
	for _, size := range []struct{ routers, targets int }{{10, 12}, {50, 56}, {103, 180}, {300, 1000}, {1200, 3100}} {
		b.Run(fmt.Sprintf("routers=%d/targets=%d", size.routers, size.targets), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			i, err := Start(ctx, Config{Self: "hub", Listen: "127.0.0.1:0", State: newFakeState(1), Log: zap.NewNop()})
			if err != nil {
				b.Fatal(err)
			}
			sink, err := Start(ctx, Config{Self: "sink", Listen: "127.0.0.1:0", State: newFakeState(1), Log: zap.NewNop()})
			if err != nil {
				b.Fatal(err)
			}
			to := sink.conn.LocalAddr().String()
			list := make([]*report, size.routers)
			for n := range list {
				list[n] = &report{message: message{From: "r", Number: 1, Summary: loadedSummary(n*7%size.targets, min(size.targets, 40))}, address: netip.MustParseAddrPort(to)}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := 0; n < b.N; n++ {
				i.sendTotal(second, message{From: "hub", Incarnation: 1, Summary: loadedSummary(0, 5)}, list, false)
			}
		})
	}
}
