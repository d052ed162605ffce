package agent

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the agent's measurements. No label takes a value from a caller.
type metrics struct {
	registry  *prometheus.Registry
	grants    prometheus.Counter
	preempted prometheus.Counter
	tokens    prometheus.Counter
	orders    prometheus.Counter
	outcomes  *prometheus.CounterVec
	words     *prometheus.CounterVec
	revision  prometheus.Gauge
}

func newMetrics() *metrics {
	m := &metrics{
		registry:  prometheus.NewRegistry(),
		grants:    prometheus.NewCounter(prometheus.CounterOpts{Name: "buckthorndrum_agent_grants_total", Help: "Grants issued to routers."}),
		preempted: prometheus.NewCounter(prometheus.CounterOpts{Name: "buckthorndrum_agent_preemptions_total", Help: "Runs cancelled to be resumed later."}),
		tokens:    prometheus.NewCounter(prometheus.CounterOpts{Name: "buckthorndrum_agent_tokens_total", Help: "Tokens received from the target."}),
		orders:    prometheus.NewCounter(prometheus.CounterOpts{Name: "buckthorndrum_agent_weight_orders_total", Help: "Orders to the engine to load weights."}),
		outcomes:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "buckthorndrum_agent_outcomes_total", Help: "Requests ended, by outcome."}, []string{"outcome"}),
	}
	m.words = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "buckthorndrum_agent_words_total", Help: "What the target said in answers of the work that it wants."}, []string{"word"})
	m.revision = prometheus.NewGauge(prometheus.GaugeOpts{Name: "buckthorndrum_agent_config_revision", Help: "Configuration revision in force."})
	m.registry.MustRegister(m.revision, m.grants, m.preempted, m.tokens, m.orders, m.outcomes, m.words)
	return m
}
