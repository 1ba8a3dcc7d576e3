package main

import (
	"context"
	"errors"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This case: the store is slow for some seconds, and meanwhile the home of budgets is killed and
// started again. Then a tenant uses what is left of its prepaid tokens. The check is BUDGET. The
// first part is played once for each of some tenants, since it depends on what is on its way to
// the store when the home is killed.

// Sizes and times of the case.
const (
	slowFactor    = 60  // the store's answers take that many times as long
	slowS         = 3   // for that long
	restartS      = 0.4 // from the kill to the start
	tenantCount   = 8
	prepaidTokens = 2_000_000
	steadyPerS    = 8    // requests a second of the tenant
	steadyPrompt  = 1500 // tokens
	steadyS       = 4
	largePrompt   = 18000
	maxUseUpS     = 15
)

// home returns the machine that runs the home of the budgets: the one that opened it last.
func (s *system) home() (home *machine, err error) {
	latest := ""
	for _, m := range s.sides {
		for line := range strings.SplitSeq(s.logs(m), "\n") {
			if _, after, ok := strings.Cut(line, `"time":"`); ok && strings.Contains(line, `"msg":"home opened"`) && after > latest {
				home, latest = m, after
			}
		}
	}
	if home == nil {
		return nil, errors.New("no process has opened a home")
	}
	return home, nil
}

func playLent(sc *scene) (broken bool, err error) {
	s, err := newSystem(sc.root, sc.dir, sc.rec, plan{routers: 1, sides: 3, plain: 1, keep: 300 * time.Second})
	if err != nil {
		return false, err
	}
	sc.system = s
	var tenants []tenant
	for i := range tenantCount {
		tenants = append(tenants, newTenant(i, prepaidTokens))
	}
	s.putConfig(7, tenants...)
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	c := &clients{system: s}
	for i, t := range tenants {
		if err := c.playRound(sc, t, time.Duration(200+40*i)*time.Millisecond); err != nil {
			return false, err
		}
	}
	var using sync.WaitGroup
	for _, t := range tenants {
		using.Go(func() { c.useUp(t, sc.rec.since()+maxUseUpS) })
	}
	using.Wait()
	for _, t := range tenants {
		used := c.used(t)
		sc.rec.say("%s: %d tokens prepaid, %d used: %+d", t.name, t.prepaid, used, used-t.prepaid)
		broken = broken || used > t.prepaid
	}
	return broken, nil
}

// playRound sends the requests of a tenant. The large request is sent delay after the store has
// become slow, and the home is killed when the client has the first event of it.
func (c *clients) playRound(sc *scene, t tenant, delay time.Duration) error {
	s := c.system
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { c.run(ctx, &wg, t, "stream", steadyPerS, steadyPrompt) })
	time.Sleep(steadyS * time.Second)
	home, err := s.home()
	if err != nil {
		return err
	}
	slowFrom := sc.rec.since()
	if sc.trouble {
		sc.rec.say("the store is slow: its answers take %.0f times as long", setting("SLOW", slowFactor))
		s.store.setSlow(int(setting("SLOW", slowFactor)))
	}
	time.Sleep(delay)
	begun := make(chan struct{})
	var once sync.Once
	begin := func() { once.Do(func() { close(begun) }) }
	wg.Go(func() {
		defer begin()
		c.send(s.routers[0], t, "stream", largePrompt, begin)
	})
	<-begun
	if sc.trouble {
		home.signal(syscall.SIGKILL)
		sc.rec.say("%s is killed", home.name)
		home.wait()
		time.Sleep(inSeconds(restartS))
		if err := home.start(); err != nil {
			return err
		}
		sc.rec.say("%s is started again", home.name)
	}
	sleepUntil(sc.rec, slowFrom+slowS)
	s.store.setSlow(1)
	sc.rec.say("the store is as usual")
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	return nil
}

// useUp sends generations of a tenant until its prepaid tokens cover no more, ever smaller ones.
func (c *clients) useUp(t tenant, until float64) {
	rec, router := c.system.rec, c.system.routers[0]
	for prompt := 50000; prompt > 20 && rec.since() < until; {
		r := c.send(router, t, "stream", prompt, nil)
		switch r.status {
		case 402:
			prompt /= 3
		case 200:
		default:
			time.Sleep(200 * time.Millisecond)
		}
	}
}
