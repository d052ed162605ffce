package acceptor

import "github.com/prometheus/client_golang/prometheus"

// Collectors returns the Prometheus metrics of a budget. No label takes a value from a
// caller.
func (b *HeadBudget) Collectors() []prometheus.Collector {
	gauge := func(name, help string, read func() int64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(read()) })
	}
	all := []prometheus.Collector{
		gauge("buckthorndrum_acceptor_incomplete_head_bytes", "Buffers of request heads that are not complete, in bytes.", b.PartialBytes),
		gauge("buckthorndrum_acceptor_accepted_head_bytes", "Reserved for the heads of requests in flight, in bytes.", b.AcceptedBytes),
	}
	for _, r := range Rejections() {
		all = append(all, prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "buckthorndrum_acceptor_rejected_total",
			Help:        "Requests rejected, and connections closed, before a request was accepted.",
			ConstLabels: prometheus.Labels{"reason": r.String()},
		}, func() float64 { return float64(b.Rejected(r)) }))
	}
	return all
}
