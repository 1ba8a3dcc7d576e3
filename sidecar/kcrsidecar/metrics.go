package kcrsidecar

import "github.com/prometheus/client_golang/prometheus"

// This file defines the metrics of a sidecar.

// metrics holds the Prometheus counters of a sidecar.
type metrics struct {
	runs     *prometheus.CounterVec
	tokens   prometheus.Counter
	reserves *prometheus.CounterVec
}

// newMetrics registers the counters.
func newMetrics(r *prometheus.Registry) *metrics {
	m := &metrics{
		runs:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kcr_runs_total", Help: "Runs by outcome."}, []string{"outcome"}),
		tokens:   prometheus.NewCounter(prometheus.CounterOpts{Name: "kcr_tokens_total", Help: "Tokens served."}),
		reserves: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kcr_reserves_total", Help: "Reservations asked of this home, by answer."}, []string{"answer"}),
	}
	r.MustRegister(m.runs, m.tokens, m.reserves)
	return m
}
