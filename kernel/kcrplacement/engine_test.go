package kcrplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
)

// This file tests what routers learn of engines, and how they place by it. The engines here read
// prompts one after another at their own pace, keep all parts, and make events more slowly the more
// requests they run.

// engineFake is an engine that a router learns from.
type engineFake struct {
	speed   float64 // 1 is the usual one
	noise   float64 // share of requests whose reading takes 2.5 times as long
	readEnd float64 // ms, when it has read all that it got
	running int
	chosen  int
	served  int
	cached  map[uint64]bool
}

// Usual pace of the engines here.
const (
	fakeReadPerMS = 48.0
	fakeBase      = 12.0 // ms
	fakeGap       = 30.0 // ms between two events of an otherwise empty engine
	fakeEvents    = 20
)

// fleet is a set of engines with the routers that use them. Time passes in steps of a millisecond.
type fleet struct {
	now     kcrclock.Time
	random  *rand.Rand
	engines map[kcrid.VM]*engineFake
	routers []*kcrplacement.Table
	due     map[kcrclock.Time][]func()
	late    int // first events after their target
	total   int
	again   kcrid.Tokens // shared parts that were read although another engine had them
	known   map[uint64]bool
}

func newFleet(routers int, speeds ...float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 2)), engines: map[kcrid.VM]*engineFake{}, due: map[kcrclock.Time][]func(){}, known: map[uint64]bool{}}
	var list []kcrplacement.Upstream
	for i, speed := range speeds {
		id := kcrid.VM(fmt.Sprintf("e-%d", i))
		f.engines[id] = &engineFake{speed: speed, cached: map[uint64]bool{}}
		list = append(list, kcrplacement.Upstream{ID: id, Service: "llm", Zone: "z", Addr: string(id), Slots: 64, StartedAt: 1, Capacity: 400000})
	}
	for range routers {
		t := kcrplacement.New("z", kcrplacement.DefaultWeights())
		t.Update(0, list)
		f.routers = append(f.routers, t)
	}
	return f
}

// run lets perSecond requests a second arrive for a time, of a number of sessions at once, each of
// which lasts for 30 s.
func (f *fleet) run(d kcrclock.Duration, perSecond float64, sessions int) {
	for end := f.now.Add(d); f.now < end; f.now++ {
		for _, do := range f.due[f.now] {
			do()
		}
		delete(f.due, f.now)
		if f.random.Float64() < perSecond/1000 {
			f.send(uint64(100 + int(f.now)*sessions/30000 + f.random.IntN(sessions)))
		}
	}
}

// send places a request and plays its run.
func (f *fleet) send(session uint64) {
	req := sessionRequest(session, kcrid.Tokens(500+f.random.IntN(2500)))
	req.Target, req.GapTarget, req.OutputTokens = 600, 800, 180
	c := f.routers[f.random.IntN(len(f.routers))].Choose(f.now, req)
	e := f.engines[c.ID]
	tokens := req.PromptTokens
	for _, p := range req.PromptParts[:2] {
		switch {
		case e.cached[p.ID]:
			tokens -= p.Tokens
		case f.known[p.ID]:
			f.again += p.Tokens
		}
		e.cached[p.ID], f.known[p.ID] = true, true
	}
	reading := float64(tokens) / fakeReadPerMS
	if f.random.Float64() < e.noise {
		reading *= 2.5
	}
	e.readEnd = max(e.readEnd, float64(f.now)) + reading/e.speed
	e.running++
	e.chosen++
	first := kcrclock.Time(e.readEnd + fakeBase/e.speed)
	f.total++
	if first.Sub(f.now) > req.Target {
		f.late++
	}
	gap := fakeGap * (1 + 0.02*float64(e.running)) / e.speed
	f.at(first, func() { c.ResponseStarted(f.now) })
	f.at(first+kcrclock.Time(gap*(fakeEvents-1)), func() {
		c.Streamed(f.now, fakeEvents)
		c.Finish(f.now, kcrplacement.Served)
		e.running--
		e.served++
	})
}

func (f *fleet) at(t kcrclock.Time, do func()) {
	t = max(t, f.now+1)
	f.due[t] = append(f.due[t], do)
}

// served returns how many runs the engines of a speed have ended, and forgets them.
func (f *fleet) served(speed float64) (n int) {
	for _, e := range f.engines {
		if e.speed == speed {
			n += e.served
			e.served = 0
		}
	}
	return n
}

// unlike returns speeds of n engines, a third each of 0.6, 1 and 1.6.
func unlike(n int) (speeds []float64) {
	for i := range n {
		speeds = append(speeds, []float64{0.6, 1, 1.6}[i%3])
	}
	return speeds
}

// TestUnlikeEnginesGetTheirShare lets 4 routers that know nothing place sessions on 18 unlike
// engines. Load: two thirds of what the engines can read. It checks that the pace is learned, that
// the fast engines get more than twice what the slow ones get, and that few first events are late.
func TestUnlikeEnginesGetTheirShare(t *testing.T) {
	t.Parallel()
	f := newFleet(4, unlike(18)...)
	f.run(20*kcrclock.Second, 300, 200)
	f.late, f.total, f.again = 0, 0, 0
	f.served(0.6)
	f.served(1.6)
	f.run(20*kcrclock.Second, 300, 200)
	slow, fast := f.served(0.6), f.served(1.6)
	pace := f.routers[0].Paces()[0]
	t.Logf("pace %+v; %d runs at slow engines, %d at fast ones; %d of %d late, %d tokens read again", pace, slow, fast, f.late, f.total, f.again)
	if pace.TokensPerSecond < 30000 || pace.TokensPerSecond > 80000 {
		t.Errorf("expected about 48000 tokens a second, got %.0f", pace.TokensPerSecond)
	}
	if fast < 2*slow {
		t.Errorf("expected fast engines to serve twice as much as slow ones at least, got %d and %d", fast, slow)
	}
	if f.late*100 > f.total || int(f.again) > 100*f.total {
		t.Errorf("expected at most 1 in 100 late and 100 tokens of a request read again, got %d and %d of %d", f.late, f.again, f.total)
	}
}

// TestNoiseDoesNotMoveSessions checks that sessions stay at their engines while all engines are of
// one pace and 15 in 100 of their requests take 2.5 times as long.
func TestNoiseDoesNotMoveSessions(t *testing.T) {
	t.Parallel()
	f := newFleet(4, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	for _, e := range f.engines {
		e.noise = 0.15
	}
	f.run(10*kcrclock.Second, 100, 100)
	f.again, f.total = 0, 0
	f.run(30*kcrclock.Second, 100, 100)
	t.Logf("%d tokens of %d requests read again, %d late; %+v", f.again, f.total, f.late, f.routers[0].Paces()[0])
	if int(f.again) > 300*f.total {
		t.Errorf("expected at most 300 tokens of a request to be read again, got %d of %d", f.again, f.total)
	}
}

// TestSlowEngineIsFoundAndUsedAgain checks that an engine that turns four times slower gets little,
// and its share again once it has recovered.
func TestSlowEngineIsFoundAndUsedAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(3, 1, 1, 1, 1, 1, 1, 1, 1)
	e := f.engines["e-4"]
	count := func() (n int) {
		e.served = 0
		f.run(10*kcrclock.Second, 100, 180)
		return e.served
	}
	f.run(5*kcrclock.Second, 100, 180)
	usual := count()
	e.speed = 0.25
	f.run(5*kcrclock.Second, 100, 180)
	f.late, f.total = 0, 0
	slow, late, total := count(), f.late, f.total
	e.speed = 1
	f.run(40*kcrclock.Second, 100, 180)
	again := count()
	t.Logf("%d runs at the usual pace, %d while slow (%d of %d late), %d after", usual, slow, late, total, again)
	if slow*2 > usual || late*100 > total {
		t.Errorf("expected a slow engine to get half of its share at most, and at most 1 in 100 late, got %d of %d and %d of %d", slow, usual, late, total)
	}
	if again*3 < usual*2 {
		t.Errorf("expected an engine that has recovered to get two thirds of its share at least, got %d of %d", again, usual)
	}
}

// TestSilentEngineIsAvoided checks that an engine that answers nothing more gets few requests,
// though none of those that it has got has ended.
func TestSilentEngineIsAvoided(t *testing.T) {
	t.Parallel()
	f := newFleet(4, 1, 1, 1, 1, 1, 1)
	f.run(10*kcrclock.Second, 100, 60)
	silent := f.engines["e-3"]
	silent.readEnd = 1e9
	before, total := silent.chosen, f.total
	f.run(4*kcrclock.Second, 100, 60)
	got := silent.chosen - before
	t.Logf("%d of %d", got, f.total-total)
	if got*20 > f.total-total {
		t.Errorf("expected a silent engine to get at most 1 in 20 requests, got %d of %d", got, f.total-total)
	}
}

// TestAbsurdSamplesAreBounded checks that answers of a machine that stood still, and of a clock that
// went back, leave the figures within reason, and that good samples mend them.
func TestAbsurdSamplesAreBounded(t *testing.T) {
	t.Parallel()
	f := newFleet(1, 1, 1, 1)
	f.run(10*kcrclock.Second, 50, 30)
	for i, took := range []kcrclock.Duration{-kcrclock.Hour, 50 * kcrclock.Second, 24 * kcrclock.Hour, 0} {
		for range 20 {
			c := f.routers[0].Choose(f.now, sessionRequest(uint64(900+i), 900))
			c.ResponseStarted(f.now.Add(took))
			c.Streamed(f.now.Add(took), fakeEvents)
			c.Finish(f.now.Add(took), kcrplacement.Served)
		}
	}
	f.run(20*kcrclock.Second, 50, 30)
	pace := f.routers[0].Paces()[0]
	if pace.TokensPerSecond < 20000 || pace.TokensPerSecond > 150000 {
		t.Errorf("expected about 48000 tokens a second, got %+v", pace)
	}
}

// TestPromptsGoWhereMemoryIs checks that new prompts avoid an engine whose memory the requests of
// this router nearly fill though its slots are free, that a part is no longer counted on once
// newer ones have filled the memory, and that a request larger than any memory is not placed.
func TestPromptsGoWhereMemoryIs(t *testing.T) {
	t.Parallel()
	table := kcrplacement.New("z-0", kcrplacement.DefaultWeights())
	list := upstreams(2)
	for i := range list {
		list[i].Zone, list[i].Capacity = "z-0", 100000
	}
	table.Update(0, list)
	large := sessionRequest(7, 20000)
	large.OutputTokens = 4000
	full := table.Choose(0, large).ID
	for range 2 {
		large.Excluded = allExcept(full)
		table.Choose(0, large).ResponseStarted(300)
	}
	for session := range uint64(20) {
		c := table.Choose(kcrclock.Time(400+100*session), kcrplacement.Request{Service: "llm", PromptTokens: 800, PromptParts: []kcrplacement.PromptPart{{ID: 1000 + session, Tokens: 800}}})
		if c.ID == full {
			t.Errorf("request %d: expected an engine other than %s, whose memory is nearly full", session, full)
		}
		c.ResponseStarted(kcrclock.Time(430 + 100*session))
		c.Finish(kcrclock.Time(460+100*session), kcrplacement.Served)
	}
	other := allExcept(full)[0]
	keep := func(session uint64) kcrid.Tokens {
		req := sessionRequest(session, 100)
		req.Excluded = []kcrid.VM{full}
		c := table.Choose(9000, req)
		c.Finish(9010, kcrplacement.Served)
		return c.UncachedTokens
	}
	first := keep(500)
	again := keep(500)
	for session := uint64(600); session < 640; session++ {
		keep(session)
	}
	if late := keep(500); first != 5500 || again != 100 || late <= again {
		t.Errorf("%s: expected a part to be cached until others filled the memory, got %d, %d and %d tokens to read", other, first, again, late)
	}
	if c := table.Choose(10000, sessionRequest(900, 100000)); c != nil {
		t.Errorf("expected no engine for a request larger than its memory, got %s", c.ID)
	}
}
