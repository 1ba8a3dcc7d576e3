package kcrsidecar

import "github.com/prometheus/client_golang/prometheus"

// metrics are the counters of a sidecar.
type metrics struct {
	runs     *prometheus.CounterVec
	tokens   prometheus.Counter
	reserves *prometheus.CounterVec
}

func newMetrics(r *prometheus.Registry) *metrics {
	m := &metrics{
		runs:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kcr_runs_total", Help: "Runs by outcome."}, []string{"outcome"}),
		tokens:   prometheus.NewCounter(prometheus.CounterOpts{Name: "kcr_tokens_total", Help: "Tokens served."}),
		reserves: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kcr_reserves_total", Help: "Reservations asked of this home, by answer."}, []string{"answer"}),
	}
	r.MustRegister(m.runs, m.tokens, m.reserves)
	return m
}
