package kcrgateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"kingcuprun.example/kernel/kcrmemory"
)

// This file defines the metrics of a gateway.

// metrics holds the counters and histograms of a gateway.
type metrics struct {
	responses    *prometheus.CounterVec   // by kind of route and outcome
	attempts     *prometheus.CounterVec   // by service and result
	firstLatency *prometheus.HistogramVec // until the response or its first event
	totalLatency *prometheus.HistogramVec // until the end of the response
	dials        prometheus.Counter       // new connections to upstreams
	linkRefusals prometheus.Counter       // requests refused since the router's link was full
	linkFull     prometheus.Gauge         // 1 while what comes in fills the router's link
	losses       *prometheus.CounterVec   // places of callers' connections lost, by stage
	permits      *prometheus.CounterVec   // asked for, by service and whether they were granted
	waits        *prometheus.CounterVec   // of requests for a place, by service
}

// serviceLabel is the label for a service.
const serviceLabel = "service"

// routeKindLabel is the label for the kind of a route.
const routeKindLabel = "kind"

// latencyBuckets covers the range of latency targets of routes, in seconds.
var latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1.2, 2.5, 5, 12}

// newMetrics registers the metrics of a gateway whose callers are in an account.
func newMetrics(registry *prometheus.Registry, memory *kcrmemory.Account) *metrics {
	m := &metrics{
		responses:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kcr_gateway_answers_total", Help: "Answers by kind of route and reason."}, []string{routeKindLabel, "reason"}),
		attempts:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kcr_gateway_attempts_total", Help: "Attempts at upstreams by service and result."}, []string{serviceLabel, "result"}),
		firstLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "kcr_gateway_first_seconds", Help: "Time to the answer or its first event.", Buckets: latencyBuckets}, []string{routeKindLabel}),
		totalLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "kcr_gateway_whole_seconds", Help: "Time to the end of the answer.", Buckets: latencyBuckets}, []string{routeKindLabel}),
		dials:        prometheus.NewCounter(prometheus.CounterOpts{Name: "kcr_gateway_dials_total", Help: "New connections to upstreams."}),
		permits:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kcr_gateway_permits_total", Help: "Permits asked for requests to upstreams with a rate limit."}, []string{serviceLabel, "granted"}),
		linkRefusals: prometheus.NewCounter(prometheus.CounterOpts{Name: "kcr_link_refusals_total", Help: "Requests refused since too much waited at the link of the router."}),
		linkFull:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "kcr_link_full", Help: "1 while what comes in fills the link of the router, which is not ready then."}),
		losses:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kcr_places_lost_total", Help: "Connections of callers that lost their place or got none, by what they were doing."}, []string{"stage"}),
		waits:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kcr_gateway_waits_total", Help: "Requests that waited, or were refused, since no upstream of their service had a place."}, []string{serviceLabel}),
	}
	registry.MustRegister(m.responses, m.attempts, m.firstLatency, m.totalLatency, m.dials, m.permits, m.waits, m.losses, m.linkRefusals, m.linkFull)
	for _, kind := range kcrmemory.Kinds() {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "kcr_held_bytes", Help: "Bytes held for callers.", ConstLabels: prometheus.Labels{"kind": kind.String()}}, func() float64 { return float64(memory.Bytes(kind)) }))
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "kcr_caller_connections", Help: "Open connections of callers."}, func() float64 { return float64(memory.Connections()) }))
	return m
}
