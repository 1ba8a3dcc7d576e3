package kcrpermit_test

import (
	"math/rand/v2"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrpermit"
	"kingcuprun.example/kernel/kcrplacement"
)

// This file plays 24 routers that all see one cold upstream, which is the one that each would
// choose, while callers crowd. Permits take their time, routers and links are cut off or stand
// still with a permit in hand, and the issuer starts again. The bound is that of the users.

const (
	coldRouters   = 24
	coldPerSecond = 18
	coldOvershoot = 1.5
	coldSlack     = 5
	coldTime      = 3 * kcrclock.Second
	coldPlay      = 12 * kcrclock.Second
)

// coldTrouble is what goes wrong in a play.
type coldTrouble struct {
	cutOff   float64           // share of the routers that the issuer doesn't reach
	restarts kcrclock.Duration // time between two starts of the issuer, 0 for one start
	stall    kcrclock.Duration // for which a router stands still at times with a permit in hand
	crash    bool              // the upstream starts again, which each router notices by itself
	takeover bool              // another issuer takes over while some routers ask the former
	callers  kcrclock.Duration // mean time between two requests of a router
}

// coldSend is a request that waits for its permit, and is sent at a time.
type coldSend struct {
	choice  *kcrplacement.Choice
	askedAt kcrclock.Time
	sendAt  kcrclock.Time
}

// coldFleet is the state of a play.
type coldFleet struct {
	trouble coldTrouble
	rng     *rand.Rand
	now     kcrclock.Time
	tables  [coldRouters]*kcrplacement.Table
	cut     [coldRouters]bool
	issuers [2]*kcrpermit.Issuer
	pending []coldSend
	sent    []kcrclock.Time // requests to the cold upstream
	other   int             // requests to the warm one
}

func newColdFleet(seed uint64, trouble coldTrouble) *coldFleet {
	f := &coldFleet{trouble: trouble, rng: rand.New(rand.NewPCG(seed, 44)), now: 1, issuers: [2]*kcrpermit.Issuer{kcrpermit.New(), kcrpermit.New()}}
	for i := range f.tables {
		f.tables[i] = kcrplacement.New("z", kcrplacement.DefaultWeights())
		f.cut[i] = f.rng.Float64() < trouble.cutOff
	}
	f.update(1)
	return f
}

// update passes both upstreams to the tables. The first one starts at born.
func (f *coldFleet) update(born int64) {
	rate := min(coldPerSecond, kcrpermit.RateWithin(coldPerSecond*coldOvershoot+coldSlack, kcrclock.Second))
	limit := kcrplacement.ColdLimit{PerSecond: rate, Start: coldTime}
	for _, table := range f.tables {
		table.Update(f.now, []kcrplacement.Upstream{
			{ID: "cold", Service: "s", Addr: "1", Zone: "z", Slots: 64, StartedAt: born, Cold: limit},
			{ID: "warm", Service: "s", Addr: "2", Zone: "far", Slots: 64, StartedAt: 1, Cold: limit},
		})
	}
}

// step plays a millisecond.
func (f *coldFleet) step() {
	f.now++
	if f.trouble.restarts > 0 && f.now%kcrclock.Time(f.trouble.restarts) == 0 {
		f.issuers[0] = kcrpermit.New()
	}
	pending := f.pending[:0]
	for _, s := range f.pending {
		if f.now < s.sendAt {
			pending = append(pending, s)
			continue
		}
		if f.now > s.askedAt.Add(kcrpermit.Validity) {
			s.choice.Finish(f.now, kcrplacement.Refused)
			continue
		}
		f.sent = append(f.sent, f.now)
		s.choice.ResponseStarted(f.now)
		s.choice.Finish(f.now, kcrplacement.Served)
	}
	f.pending = pending
	for router := range f.tables {
		if f.rng.IntN(int(f.trouble.callers)) == 0 {
			f.request(router)
		}
	}
}

// request sends a request of a router as the gateway does.
func (f *coldFleet) request(router int) {
	choice := f.tables[router].Choose(f.now, kcrplacement.Request{Service: "s", TransferBytes: 200_000})
	limit, _ := choice.Connected(f.now, true)
	if choice.ID == "warm" {
		f.other++
		choice.Finish(f.now, kcrplacement.Served)
		return
	}
	if !limit.Named {
		f.sent = append(f.sent, f.now)
		choice.Finish(f.now, kcrplacement.Served)
		return
	}
	granted, wait := f.take(router, limit)
	if !granted {
		choice.Withheld(f.now.Add(wait))
		return
	}
	delay := kcrclock.Duration(1 + f.rng.IntN(60))
	if f.trouble.stall > 0 && f.rng.IntN(10) == 0 {
		delay += f.trouble.stall
	}
	choice.Permitted()
	f.pending = append(f.pending, coldSend{choice: choice, askedAt: f.now, sendAt: f.now.Add(delay)})
}

// take asks for a permit as a node does: nobody issues permits to itself.
func (f *coldFleet) take(router int, limit kcrplacement.RateLimit) (bool, kcrclock.Duration) {
	if f.cut[router] {
		return false, 250
	}
	issuer := f.issuers[0]
	if f.trouble.takeover && router%2 == 1 {
		issuer = f.issuers[1]
	}
	return issuer.Take(f.now, kcrid.Incarnation("cold/1"), limit.PerSecond, !f.trouble.takeover)
}

// mostIn returns the largest number of times within a window.
func mostIn(times []kcrclock.Time, window kcrclock.Duration) (most int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against routers that together send a cold upstream more than it bears, whatever they
// know of each other, and against a cold upstream that gets nothing.
func TestRoutersKeepToCeilingOfColdUpstream(t *testing.T) {
	t.Parallel()
	const bound = coldPerSecond*coldOvershoot + coldSlack
	for name, trouble := range map[string]coldTrouble{
		"crowd":                       {callers: 60},
		"half cut off":                {callers: 60, cutOff: 0.5},
		"issuer starts again":         {callers: 60, restarts: 700},
		"permits in hand at a freeze": {callers: 60, stall: 900},
		"cut off, restarts, freezes":  {callers: 30, cutOff: 0.3, restarts: 400, stall: 300},
		"another issuer takes over":   {callers: 60, takeover: true},
		"crash seen by each alone":    {callers: 60, crash: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				checkColdPlay(t, seed, trouble, bound)
			}
		})
	}
}

func checkColdPlay(t *testing.T, seed uint64, trouble coldTrouble, bound float64) {
	t.Helper()
	f := newColdFleet(seed, trouble)
	if trouble.crash {
		for _, table := range f.tables {
			table.RecordLost(f.now, "cold/1")
		}
	} else {
		f.update(2)
	}
	began := f.now
	for f.now.Sub(began) < coldTime-1 {
		f.step()
	}
	if most := mostIn(f.sent, kcrclock.Second); float64(most) > bound {
		t.Errorf("seed %d: expected at most %.1f requests in a second while cold, got %d", seed, bound, most)
	}
	if fits := coldPerSecond * (coldTime - kcrclock.Second).Seconds(); float64(len(f.sent)) < 0.5*fits {
		t.Errorf("seed %d: expected half of the %.0f requests that fit, got %d", seed, fits, len(f.sent))
	}
	cold := len(f.sent)
	for f.now.Sub(began) < coldPlay {
		f.step()
	}
	if warm := float64(len(f.sent)-cold) / (coldPlay - coldTime).Seconds(); warm < 5*coldPerSecond {
		t.Errorf("seed %d: expected the demand to be sent again once warm, got %.1f a second", seed, warm)
	}
}

// Guards against rates that pass their ceiling, for services of all kinds.
func TestRateWithinCeiling(t *testing.T) {
	t.Parallel()
	for _, ceiling := range []float64{5, 18, 32, 400} {
		rate := kcrpermit.RateWithin(ceiling, kcrclock.Second)
		former, next := kcrpermit.New(), kcrpermit.New()
		var sent []kcrclock.Time
		for now := kcrclock.Time(0); now < 8000; now++ {
			for i, issuer := range []*kcrpermit.Issuer{former, next} {
				if now < kcrclock.Time(4000*i) || i == 0 && now > 7900 {
					continue
				}
				for range 3 {
					if granted, _ := issuer.Take(now, "u/1", rate, i == 0); granted {
						sent = append(sent, now)
					}
				}
			}
		}
		if most := mostIn(sent, kcrclock.Second+kcrpermit.Validity); float64(most) > ceiling {
			t.Errorf("ceiling %v: got %d permits in the time in which they may be used within a second", ceiling, most)
		}
		if rate < ceiling/4 {
			t.Errorf("ceiling %v: expected a quarter of it at least, got a rate of %v", ceiling, rate)
		}
	}
	if got := kcrpermit.RateWithin(1, kcrclock.Second); got != 0 {
		t.Errorf("expected no permits within one request in a second, got a rate of %v", got)
	}
}
