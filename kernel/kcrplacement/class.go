package kcrplacement

import (
	"math"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines the classes of pace, by which engines get their share of the prompts that all
// routers place alike. Routers learn from different requests and need not agree on a pace;
// since classes are coarse and change with hysteresis, they mostly agree on these. Invariant: a
// change of the class of one engine moves prompts only to or from that engine.

const (
	// classStep is the factor of pace between two classes.
	classStep = 1.5
	// maxClass bounds the classes, which are numbered from -maxClass, the slowest, with 0 for
	// the usual pace of the service.
	maxClass = 2
	// classHysteresis is how far a pace has to lie beyond the border of its class, in classes.
	classHysteresis = 0.2
	// classSamples is the weight of samples from which an engine is put into a class.
	classSamples = 3.0
	// agingStep is how often what was learned of an engine is aged.
	agingStep = kcrclock.Second
)

// classWeights are the shares of prompts by class, from the slowest on.
var classWeights = func() (weights [2*maxClass + 1]float64) {
	for i := range weights {
		weights[i] = math.Pow(classStep, float64(i-maxClass))
	}
	return weights
}()

// weight returns the engine's share of the prompts that all routers place alike.
func (e *engine) weight() float64 { return classWeights[e.class+maxClass] }

// reclass puts an engine into the class of its pace, and reports whether that has changed.
func (s *service) reclass(e *engine) (changed bool) {
	position := (s.meanSlowness - math.Log(e.slow())) / math.Log(classStep)
	if e.samples < classSamples {
		position = 0
	}
	if math.Abs(position-float64(e.class)) <= 0.5+classHysteresis {
		return false
	}
	previous := e.class
	e.class = int(clamp(math.Round(position), -maxClass, maxClass))
	return e.class != previous
}

// refresh ages what was learned of the engines from time to time.
func (s *service) refresh(now kcrclock.Time) {
	if now.Sub(s.refreshedAt) < agingStep {
		return
	}
	s.refreshedAt = now
	sum, known := 0.0, 0
	for _, u := range s.upstreams {
		u.engine.age(now)
		if u.engine.samples >= classSamples {
			sum += math.Log(u.engine.slow())
			known++
		}
	}
	s.meanSlowness = sum / float64(max(1, known))
}

// score returns the rank of an engine for a prompt by weighted rendezvous hashing; the lowest
// is preferred. hash is uniform. It returns any value above best if the score isn't below it.
func (e *engine) score(hash uint64, best float64) float64 {
	fraction := (float64(hash>>11) + 1) / (1 << 53)
	if least := (1 - fraction) / e.weight(); least > best {
		return least // the logarithm below is no smaller
	}
	return -math.Log(fraction) / e.weight()
}
