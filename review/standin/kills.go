package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// The script beside case 4: the process that runs the home of the budgets is killed a few times and started
// again each time. Then tenants that were idle meanwhile use their prepaid tokens. The check is
// DENIED: a 402 to a request that fits into the prepaid tokens.

// Sizes and times of the case.
const (
	killCount     = 6
	killGapS      = 6.0
	killRestartS  = 1.0
	idleTenants   = 3
	idlePrepaid   = 200_000
	idlePrompt    = 1479 // and 21 tokens of output
	owedPart      = 0.97 // requests that don't fit into this part of prepaid aren't owed
	calmS         = 4.0  // more than stableWindowMs, before requests are judged
	busyPrepaid   = 100_000_000
	busyPerS      = 15
	deniedAllowed = 5 // and one in deniedOneIn of all requests
	deniedOneIn   = 500
)

func playKills(sc *scene) (broken bool, err error) {
	s, err := newSystem(sc.root, sc.dir, sc.rec, plan{routers: 1, sides: 3, plain: 1, keep: 300 * time.Second})
	if err != nil {
		return false, err
	}
	sc.system = s
	busy := newTenant(0, busyPrepaid)
	var idle []tenant
	for i := range idleTenants {
		idle = append(idle, newTenant(i+1, idlePrepaid))
	}
	s.putConfig(7, append([]tenant{busy}, idle...)...)
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	c := &clients{system: s}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { c.run(ctx, &wg, busy, "stream", busyPerS, 1460) })
	for _, t := range idle {
		for range 5 {
			c.send(s.routers[0], t, "stream", idlePrompt, nil)
		}
	}
	for range killCount {
		time.Sleep(inSeconds(killGapS - killRestartS))
		if !sc.trouble {
			continue
		}
		home, err := s.home()
		if err != nil {
			return false, err
		}
		sc.rec.say("%s is killed", home.name)
		home.signal(syscall.SIGKILL)
		home.wait()
		time.Sleep(inSeconds(killRestartS))
		if err := home.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(inSeconds(calmS))
	denied := 0
	for _, t := range idle {
		denied += c.useOwed(t)
	}
	cancel()
	wg.Wait()
	sent, served := c.share("", 0, sc.rec.since())
	for _, t := range idle {
		sc.rec.say("%s: %d tokens prepaid, %d used", t.name, t.prepaid, c.used(t))
	}
	sc.rec.say("%d of %d requests served, %d denied with 402 though they fit into %.2f of prepaid", served, sent, denied, owedPart)
	return denied > deniedAllowed+sent/deniedOneIn, nil
}

// useOwed sends generations of a tenant, one after the other, as long as they fit into the part of
// its prepaid tokens that is owed, and returns how many were answered 402. It stops after some.
func (c *clients) useOwed(t tenant) (denied int) {
	for denied < 20 && c.used(t)+idlePrompt+outputTokens <= int64(owedPart*float64(t.prepaid)) {
		if c.send(c.system.routers[0], t, "stream", idlePrompt, nil).status == 402 {
			denied++
			time.Sleep(200 * time.Millisecond)
		}
	}
	return denied
}
