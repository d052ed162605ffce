package forwarder

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"buckthorndrum/clocker"
	"buckthorndrum/identifier"
	"buckthorndrum/permitter"
)

// metrics are the Prometheus metrics of a forwarder. No label takes a value from a
// caller.
type metrics struct {
	registry  *prometheus.Registry
	outcomes  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	notices   *prometheus.CounterVec
	late      *prometheus.CounterVec
	versions  *prometheus.CounterVec
	crashes   prometheus.Counter
	firstByte prometheus.Histogram
	duration  prometheus.Histogram
	loadAge   prometheus.Histogram
}

// smallestBucket is the upper bound of the first bucket of the latency histograms, in
// seconds.
const smallestBucket = 0.005

func newMetrics(f *Forwarder) *metrics {
	buckets := prometheus.ExponentialBuckets(smallestBucket, 2, 13)
	m := &metrics{
		registry:  prometheus.NewRegistry(),
		outcomes:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "buckthorndrum_forwarder_requests_total", Help: "Requests ended, by how."}, []string{"ending"}),
		attempts:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "buckthorndrum_forwarder_sendings_total", Help: "Requests sent to targets, by result."}, []string{"result"}),
		notices:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "buckthorndrum_forwarder_words_total", Help: "What targets said in answers of the work that they want."}, []string{"word"}),
		late:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "buckthorndrum_forwarder_late_total", Help: "Complete answers that missed an objective of their route, by what was late."}, []string{"cause"}),
		versions:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "buckthorndrum_forwarder_streams_refused_total", Help: "Streams refused since targets of several versions serve, by why."}, []string{"cause"}),
		crashes:   prometheus.NewCounter(prometheus.CounterOpts{Name: "buckthorndrum_forwarder_target_crashes_total", Help: "Targets that ended while they ran requests of this router."}),
		firstByte: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "buckthorndrum_forwarder_first_byte_seconds", Help: "Time from a request's arrival to the first part of its answer.", Buckets: buckets}),
		duration:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "buckthorndrum_forwarder_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: buckets}),
		loadAge:   prometheus.NewHistogram(prometheus.HistogramOpts{Name: "buckthorndrum_forwarder_load_age_seconds", Help: "Age of what other routers have in flight when a target is chosen.", Buckets: buckets}),
	}
	m.registry.MustRegister(m.outcomes, m.attempts, m.notices, m.late, m.versions, m.crashes, m.firstByte, m.duration, m.loadAge)
	m.registerQueueGauges(f)
	m.gauge("buckthorndrum_forwarder_config_revision", "Configuration revision in force.", func() float64 { return float64(f.Revision()) })
	m.gauge("buckthorndrum_forwarder_proof_age_seconds", "Age of the proof that the configuration is the newest.", func() float64 {
		return clocker.Now().Sub(identifier.Instant(f.state.confirmedAt.Load())).Seconds()
	})
	m.gauge("buckthorndrum_forwarder_targets", "Targets listed.", func() float64 { return float64(len(f.Targets())) })
	for _, r := range permitter.Reasons() {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "buckthorndrum_forwarder_targets_withheld", Help: "Targets that are given no new work.", ConstLabels: prometheus.Labels{"reason": string(r)},
		}, func() float64 { return f.countWithheld(r) }))
	}
	m.gauge("buckthorndrum_forwarder_data_centres_evacuated", "Data centres that are evacuated.", func() float64 { return float64(len(f.EvacuatedDataCentres())) })
	m.gauge("buckthorndrum_forwarder_peers", "Other routers heard lately.", func() float64 {
		f.state.mu.Lock()
		defer f.state.mu.Unlock()
		return float64(f.state.peers)
	})
	m.gauge("buckthorndrum_forwarder_targets_limited", "Targets that name the rate of requests that they take.", func() float64 {
		f.state.mu.Lock()
		defer f.state.mu.Unlock()
		return float64(f.state.admitter.CountLimited(clocker.Coarse()))
	})
	m.gauge("buckthorndrum_forwarder_parts_suspected", "Parts of prompts that are suspected of crashing targets.", func() float64 {
		f.state.mu.Lock()
		defer f.state.mu.Unlock()
		return float64(f.state.isolator.CountSuspected(clocker.Coarse()))
	})
	m.gauge("buckthorndrum_forwarder_parts_blocked", "Parts of prompts that are blocked.", func() float64 {
		f.state.mu.Lock()
		defer f.state.mu.Unlock()
		return float64(len(f.state.isolator.Blocks()))
	})
	m.registry.MustRegister(f.cfg.Heads.Collectors()...)
	m.gauge("buckthorndrum_forwarder_caller_connections", "Callers' connections.", func() float64 { return float64(f.callers.Count()) })
	m.gauge("buckthorndrum_forwarder_target_connections_opened", "Connections to targets opened since the start.", func() float64 { return float64(f.conns.Opened()) })
	return m
}

// gauge registers a gauge whose value is the result of read.
func (m *metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Metrics returns the handler that serves the metrics to Prometheus.
func (f *Forwarder) Metrics() http.Handler {
	return promhttp.HandlerFor(f.metrics.registry, promhttp.HandlerOpts{})
}

// AddGauge adds a gauge of another part of the process.
func (f *Forwarder) AddGauge(name, help string, read func() float64) {
	f.metrics.gauge(name, help, read)
}
