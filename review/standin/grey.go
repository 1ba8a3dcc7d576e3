package main

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// This case: an engine fails a part of its requests, which it has run, with a 503 that doesn't
// state that they did not run. The check is REFUSED.

// Doses of the case.
const (
	greyShare  = 0.4 // of the requests of one of appEngines engines
	greyS      = 6.5 // seconds
	appEngines = 4
)

// refusals are the status codes that promise that a request has not run and never will.
var refusals = map[int]bool{408: true, 421: true, 429: true, 503: true}

func playGrey(sc *scene) (broken bool, err error) {
	s, err := newSystem(sc.root, sc.dir, sc.rec, plan{routers: 2, sides: 2, plain: appEngines, keep: 300 * time.Second})
	if err != nil {
		return false, err
	}
	sc.system = s
	t := newTenant(1, 100_000_000)
	s.putConfig(7, t)
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	c := &clients{system: s}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.run(ctx, &wg, t, "swap", 20, 0) })
	time.Sleep(4 * time.Second)
	busiest := slices.MaxFunc(s.plain, func(a, b *engine) int { return cmp.Compare(a.handledCount(), b.handledCount()) })
	if sc.trouble {
		sc.rec.say("%s fails %.1f of its requests for %.1f s", busiest.id, greyShare, greyS)
		busiest.setGrey(greyShare)
	}
	time.Sleep(inSeconds(greyS))
	busiest.setGrey(0)
	time.Sleep(4 * time.Second)
	cancel()
	wg.Wait()
	sent, served := c.share("", 0, sc.rec.since())
	refused, run := 0, 0
	for _, r := range c.results {
		if !refusals[r.status] {
			continue
		}
		refused++
		for _, e := range s.plain {
			if e.hasRun(r.id) {
				run++
				sc.rec.line("%s was answered %d and has run at %s", r.id, r.status, e.id)
			}
		}
	}
	sc.rec.say("%d requests that may run once: %d served, %d refused, of which %d have run", sent, served, refused, run)
	return run > 0, nil
}
