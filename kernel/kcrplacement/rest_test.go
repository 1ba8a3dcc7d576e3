package kcrplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
)

// This file plays several routers before upstreams that want no requests for a time, and leave.
// Answers take a while, so that requests are under way when an upstream has its say.

const (
	restRouters   = 4
	restUpstreams = 4
	// restGrace is how long after its answer an upstream may still get requests.
	restGrace = kcrclock.Duration(500)
	// maxAfterGrace is how many may come later still.
	maxAfterGrace = 2
)

// restAnswer is a request that is under way at an upstream.
type restAnswer struct {
	choice *kcrplacement.Choice
	at     kcrclock.Time
	router int
	pause  kcrclock.Duration // 0 for an answer
	leaves bool
}

// restPlay is the state of a play.
type restPlay struct {
	now     kcrclock.Time
	draw    func(n int) int
	tables  [restRouters]*kcrplacement.Table
	answers []restAnswer

	restsUntil [restUpstreams]kcrclock.Time
	leaving    [restUpstreams]bool

	quietFrom, quietUntil [restRouters][restUpstreams]kcrclock.Time // by its last answer to the router
	leftAt                [restRouters][restUpstreams]kcrclock.Time // when the router got an answer that said so, 0 for never
	late                  [restRouters][restUpstreams]int           // requests in the quiet time

	sent, refused, idleRefused int
}

func newRestPlay(seed uint64) *restPlay {
	p := &restPlay{now: 1, draw: rand.New(rand.NewPCG(seed, 34)).IntN}
	var list []kcrplacement.Upstream
	for i := range restUpstreams {
		list = append(list, kcrplacement.Upstream{ID: kcrid.VM(fmt.Sprint(i)), Service: "s", Addr: fmt.Sprint(i), Zone: "z", Slots: 8, StartedAt: 1})
	}
	for i := range p.tables {
		p.tables[i] = kcrplacement.New("z", kcrplacement.DefaultWeights())
		p.tables[i].Update(p.now, list)
	}
	return p
}

// step plays 5 ms.
func (p *restPlay) step() error {
	p.now += 5
	if i := p.draw(restUpstreams); p.draw(200) == 0 {
		p.restsUntil[i] = p.now.Add(kcrclock.Duration(200 + p.draw(4000)))
	}
	if p.draw(3000) == 0 {
		p.leaving[p.draw(restUpstreams-1)] = true // one stays
	}
	pending := p.answers[:0]
	for _, a := range p.answers {
		if a.at > p.now {
			pending = append(pending, a)
			continue
		}
		p.answer(a)
	}
	p.answers = pending
	for router := range restRouters {
		if p.draw(2) == 0 {
			if err := p.send(router); err != nil {
				return err
			}
		}
	}
	return nil
}

// send sends a request of a router.
func (p *restPlay) send(router int) error {
	choice := p.tables[router].Choose(p.now, kcrplacement.Request{Service: "s"})
	p.sent++
	if choice == nil {
		p.refused++
		if !p.allQuiet(router) {
			p.idleRefused++
		}
		return nil
	}
	i := int(choice.ID[0] - '0')
	if p.now > p.quietFrom[router][i] && p.now < p.quietUntil[router][i] {
		if p.late[router][i]++; p.late[router][i] > maxAfterGrace {
			return fmt.Errorf("at %d: router %d sends request %d to upstream %d, which wants none until %d", p.now, router, p.late[router][i], i, p.quietUntil[router][i])
		}
	}
	if left := p.leftAt[router][i]; left > 0 && p.now > left {
		return fmt.Errorf("at %d: router %d sends a request to upstream %d, which has left at %d", p.now, router, i, left)
	}
	a := restAnswer{choice: choice, router: router, at: p.now.Add(kcrclock.Duration(1 + p.draw(20))), leaves: p.leaving[i]}
	if p.now < p.restsUntil[i] {
		a.pause = p.restsUntil[i].Sub(p.now)
	} else {
		a.at = p.now.Add(kcrclock.Duration(10 + p.draw(400)))
	}
	p.answers = append(p.answers, a)
	return nil
}

// allQuiet reports whether a router has heard of all upstreams that stay that they want no requests.
func (p *restPlay) allQuiet(router int) bool {
	for i, until := range p.quietUntil[router] {
		if p.leftAt[router][i] == 0 && until <= p.now {
			return false
		}
	}
	return true
}

// answer passes an answer to its router.
func (p *restPlay) answer(a restAnswer) {
	i := int(a.choice.ID[0] - '0')
	if a.leaves {
		a.choice.Leaves()
		p.leftAt[a.router][i] = p.now
	}
	if a.pause == 0 {
		a.choice.ResponseStarted(p.now)
		a.choice.Finish(p.now, kcrplacement.Served)
		return
	}
	a.choice.Pauses(p.now, a.pause)
	a.choice.Finish(p.now, kcrplacement.Refused)
	p.quietFrom[a.router][i], p.quietUntil[a.router][i], p.late[a.router][i] = p.now.Add(restGrace), p.now.Add(a.pause), 0
}

// Guards against requests to upstreams that want none, or have left, where several routers meet them
// with requests under way.
func TestRoutersKeepToWhatUpstreamsSay(t *testing.T) {
	t.Parallel()
	sent, refused, idleRefused := 0, 0, 0
	for seed := range uint64(100) {
		p := newRestPlay(seed)
		for range 6000 {
			if err := p.step(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		sent, refused, idleRefused = sent+p.sent, refused+p.refused, idleRefused+p.idleRefused
	}
	// An upstream that is never taken back after a pause would make it nearly all.
	if idleRefused*20 > sent {
		t.Errorf("expected under one in 20 requests refused while an upstream takes some, got %d of %d", idleRefused, sent)
	}
	t.Logf("%d requests, %d refused, %d of them while an upstream took requests", sent, refused, idleRefused)
}
