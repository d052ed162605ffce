package router

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the router's Prometheus metrics. No label value comes from a caller.
type metrics struct {
	registry   *prometheus.Registry
	outcomes   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	retries    prometheus.Counter
	firstToken prometheus.Histogram
	revision   prometheus.Gauge
}

// newMetrics returns the metrics of router r, in a registry of their own.
func newMetrics(r *Router) *metrics {
	m := &metrics{
		registry:   prometheus.NewRegistry(),
		outcomes:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "buckthorndrum_router_outcomes_total", Help: "Requests ended, by outcome."}, []string{"outcome"}),
		refusals:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "buckthorndrum_router_refusals_total", Help: "Requests refused before they left the router, by reason."}, []string{"reason"}),
		retries:    prometheus.NewCounter(prometheus.CounterOpts{Name: "buckthorndrum_router_retries_total", Help: "Attempts after the first."}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "buckthorndrum_router_first_token_seconds", Help: "Time from submission to the first token.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 14)}),
		revision:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "buckthorndrum_router_config_revision", Help: "Configuration revision in force."}),
	}
	queued := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "buckthorndrum_router_queued_bytes", Help: "Bytes of the waiting requests' bodies."}, func() float64 {
		r.state.mu.Lock()
		defer r.state.mu.Unlock()
		_, bytes := r.state.queues.Len()
		return float64(bytes)
	})
	control := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "buckthorndrum_router_control_bytes_total", Help: "Bytes of control frames sent and received."}, func() float64 {
		sent, received := r.Traffic()
		return float64(sent + received)
	})
	m.registry.MustRegister(m.outcomes, m.refusals, m.retries, m.firstToken, m.revision, queued, control)
	return m
}
