package kcrplacement

import "kingcuprun.example/kernel/kcrid"

// This file defines what operators see of the models of engines: figures for each service and the
// number of engines in each class of pace, so that they stay few however many engines there are.

// Pace is what a router has learned of the engines of a service.
type Pace struct {
	Service         kcrid.Service
	TokensPerSecond float64             // of prompts, read by the usual engine
	BaseSeconds     float64             // time to the first event of an empty prompt
	GapSeconds      float64             // time between two events, 0 until one was measured
	DelaySeconds    float64             // average time by which first events come later than expected
	Engines         [2*maxClass + 1]int // by class of pace, the slowest first
}

// Class returns the class of pace of the engines at an index of Pace.Engines, 0 for the usual one.
func (Pace) Class(index int) int { return index - maxClass }

// Paces returns what is known of all services that have answered with a prompt.
func (t *Table) Paces() (paces []Pace) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for name, s := range t.services {
		s.mu.Lock()
		if s.line.samples > 0 {
			paces = append(paces, s.pace(name))
		}
		s.mu.Unlock()
	}
	return paces
}

func (s *service) pace(name kcrid.Service) Pace {
	l := &s.line
	p := Pace{
		Service: name, TokensPerSecond: 1000 / l.perToken, BaseSeconds: l.base / 1000,
		GapSeconds: l.eventGap / 1000, DelaySeconds: l.meanDelay / 1000,
	}
	for _, u := range s.upstreams {
		p.Engines[u.engine.class+maxClass]++
	}
	return p
}
