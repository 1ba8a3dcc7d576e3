package kcrnode

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"kingcuprun.example/kernel/kcrplacement"
)

// This file exports what the router has learned of the engines. Invariant: there are a fixed
// number of series for each service, however many engines it has.

// serviceLabel is the label for the service.
const serviceLabel = "service"

// Descriptions of the series of a service.
var (
	paceDesc    = prometheus.NewDesc("kcr_pace_tokens", "Prompt tokens a second that the usual engine reads, as learned.", []string{serviceLabel}, nil)
	baseDesc    = prometheus.NewDesc("kcr_pace_base_seconds", "Time to the first event of an empty prompt, as learned.", []string{serviceLabel}, nil)
	gapDesc     = prometheus.NewDesc("kcr_pace_gap_seconds", "Time between two events, as learned.", []string{serviceLabel}, nil)
	delayDesc   = prometheus.NewDesc("kcr_pace_delay_seconds", "Average time by which first events come later than the model expects.", []string{serviceLabel}, nil)
	enginesDesc = prometheus.NewDesc("kcr_pace_engines", "Engines by class of pace, 0 for the usual one, negative for slower ones.", []string{serviceLabel, "class"}, nil)
)

// paceCollector collects the series when they are asked for.
type paceCollector struct {
	paces func() []kcrplacement.Pace
}

// Describe implements prometheus.Collector.
func (c *paceCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{paceDesc, baseDesc, gapDesc, delayDesc, enginesDesc} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (c *paceCollector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	for _, p := range c.paces() {
		service := string(p.Service)
		gauge(paceDesc, p.TokensPerSecond, service)
		gauge(baseDesc, p.BaseSeconds, service)
		gauge(gapDesc, p.GapSeconds, service)
		gauge(delayDesc, p.DelaySeconds, service)
		for i, n := range p.Engines {
			gauge(enginesDesc, float64(n), service, strconv.Itoa(p.Class(i)))
		}
	}
}
