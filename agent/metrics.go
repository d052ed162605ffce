package agent

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the agent's Prometheus metrics. No label value comes from a caller.
type metrics struct {
	registry     *prometheus.Registry
	grants       prometheus.Counter
	preemptions  prometheus.Counter
	tokens       prometheus.Counter
	weightOrders prometheus.Counter
	outcomes     *prometheus.CounterVec
	notices      *prometheus.CounterVec
	revision     prometheus.Gauge
}

func newMetrics() *metrics {
	m := &metrics{
		registry:     prometheus.NewRegistry(),
		grants:       prometheus.NewCounter(prometheus.CounterOpts{Name: "buckthorndrum_agent_grants_total", Help: "Grants issued to routers."}),
		preemptions:  prometheus.NewCounter(prometheus.CounterOpts{Name: "buckthorndrum_agent_preemptions_total", Help: "Runs cancelled to be resumed later."}),
		tokens:       prometheus.NewCounter(prometheus.CounterOpts{Name: "buckthorndrum_agent_tokens_total", Help: "Tokens received from the target."}),
		weightOrders: prometheus.NewCounter(prometheus.CounterOpts{Name: "buckthorndrum_agent_weight_orders_total", Help: "Orders to the engine to load weights."}),
		outcomes:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "buckthorndrum_agent_outcomes_total", Help: "Requests ended, by outcome."}, []string{"outcome"}),
	}
	m.notices = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "buckthorndrum_agent_words_total", Help: "What the target said in answers of the work that it wants."}, []string{"word"})
	m.revision = prometheus.NewGauge(prometheus.GaugeOpts{Name: "buckthorndrum_agent_config_revision", Help: "Configuration revision in force."})
	m.registry.MustRegister(m.revision, m.grants, m.preemptions, m.tokens, m.weightOrders, m.outcomes, m.notices)
	return m
}
