package kcrgateway

import "github.com/prometheus/client_golang/prometheus"

// metrics are the counters and histograms of a gateway.
type metrics struct {
	answers  *prometheus.CounterVec
	attempts *prometheus.CounterVec
	first    *prometheus.HistogramVec
	whole    *prometheus.HistogramVec
	dials    prometheus.Counter
}

// kindLabel is the kind of route.
const kindLabel = "kind"

// latencyBuckets cover the users' aims, in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1.2, 2.5, 5, 12}

func newMetrics(r *prometheus.Registry) *metrics {
	m := &metrics{
		answers:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kcr_gateway_answers_total", Help: "Answers by kind of route and reason."}, []string{kindLabel, "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kcr_gateway_attempts_total", Help: "Attempts at upstreams by service and result."}, []string{"service", "result"}),
		first:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "kcr_gateway_first_seconds", Help: "Time to the answer or its first event.", Buckets: latencyBuckets}, []string{kindLabel}),
		whole:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "kcr_gateway_whole_seconds", Help: "Time to the end of the answer.", Buckets: latencyBuckets}, []string{kindLabel}),
		dials:    prometheus.NewCounter(prometheus.CounterOpts{Name: "kcr_gateway_dials_total", Help: "New connections to upstreams."}),
	}
	r.MustRegister(m.answers, m.attempts, m.first, m.whole, m.dials)
	return m
}
