package kcrplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
)

// placePlay plays upstreams that refuse, pause, leave, are cold or have a rate limit.
type placePlay struct {
	random *rand.Rand
	now    kcrclock.Time
	table  *kcrplacement.Table
	sent   []*kcrplacement.Choice
	holds  map[kcrplacement.Hold]int
}

func newPlacePlay(seed uint64) *placePlay {
	p := &placePlay{random: rand.New(rand.NewPCG(seed, 44)), now: 1, table: kcrplacement.New("z", kcrplacement.DefaultWeights()), holds: map[kcrplacement.Hold]int{}}
	var list []kcrplacement.Upstream
	for i := range 3 {
		u := kcrplacement.Upstream{ID: kcrid.VM(fmt.Sprint(i)), Service: "s", Addr: "a", Slots: 2, StartedAt: 1, Version: fmt.Sprint(i % 2), Capacity: kcrid.Tokens(100 * (i + 1))}
		if i == 0 {
			u.Cold = kcrplacement.ColdLimit{PerSecond: 5, Start: kcrclock.Second}
		}
		list = append(list, u)
	}
	p.table.Update(p.now, list)
	return p
}

// request returns one of several kinds of requests.
func (p *placePlay) request() kcrplacement.Request {
	req := kcrplacement.Request{Service: "s", SkipsFull: p.random.IntN(2) == 0, PromptTokens: kcrid.Tokens(p.random.IntN(320))}
	switch p.random.IntN(8) {
	case 0:
		req.Version = "1"
	case 1:
		req.Excluded = []kcrid.VM{"0", "2"}
	case 2:
		req.Unlimited = true
	}
	return req
}

// happen lets an upstream answer one of its requests, or refuse it in one of the ways.
func (p *placePlay) happen(c *kcrplacement.Choice) {
	switch p.random.IntN(9) {
	case 0, 1:
		c.Finish(p.now, kcrplacement.Refused)
	case 2:
		c.Pauses(p.now, kcrclock.Duration(1+p.random.IntN(800)))
		c.Finish(p.now, kcrplacement.Refused)
	case 3:
		c.Withheld(p.now.Add(kcrclock.Duration(p.random.IntN(500))))
	case 4:
		c.RateLimitNamed(kcrplacement.RateLimit{Named: p.random.IntN(2) == 0, PerSecond: 4})
		c.Finish(p.now, kcrplacement.Served)
	case 5:
		c.SaysCold(p.now, kcrclock.Duration(p.random.IntN(400)))
		c.Finish(p.now, kcrplacement.Stalled)
	default:
		if p.random.IntN(400) == 0 {
			c.Leaves()
		}
		c.ResponseStarted(p.now)
		c.Finish(p.now, kcrplacement.Served)
	}
}

// step places a request, and checks what NextPlace has said of it. Where there is no place, nothing
// happens until the time that NextPlace has named.
func (p *placePlay) step() error {
	req := p.request()
	place, ok := p.table.NextPlace(p.now, req)
	p.holds[place.Hold]++
	c := p.table.Choose(p.now, req)
	if isNow := ok && place.At == p.now; isNow != (c != nil) || isNow != (ok && place.Hold == kcrplacement.Free) {
		return fmt.Errorf("at %d: place %+v, %v, chosen %v for %+v", p.now, place, ok, c != nil, req)
	}
	if c == nil && ok {
		if early := p.table.Choose(place.At-1, req); early != nil {
			return fmt.Errorf("at %d: place %+v for %+v, but upstream %s takes it a ms earlier", p.now, place, req, early.ID)
		}
		p.now = place.At
		if c = p.table.Choose(p.now, req); c == nil {
			return fmt.Errorf("at %d: no upstream takes %+v in spite of %+v", p.now, req, place)
		}
	}
	if c != nil {
		p.sent = append(p.sent, c)
	}
	p.now = p.now.Add(kcrclock.Duration(p.random.IntN(30)))
	if n := len(p.sent); n > 0 && p.random.IntN(3) > 0 {
		i := p.random.IntN(n)
		p.happen(p.sent[i])
		p.sent = append(p.sent[:i], p.sent[i+1:]...)
	}
	return nil
}

// Guards against two answers to when an upstream has a place: what those that wait go by, and what
// placing does.
func TestNextPlaceIsWhenRequestsArePlaced(t *testing.T) {
	t.Parallel()
	holds := map[kcrplacement.Hold]int{}
	for seed := range uint64(300) {
		p := newPlacePlay(seed)
		for range 300 {
			if err := p.step(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		for hold, n := range p.holds {
			holds[hold] += n
		}
	}
	for hold := kcrplacement.Free; hold <= kcrplacement.OnTrial; hold++ {
		if holds[hold] < 100 {
			t.Errorf("expected hold %d to be played, got %v", hold, holds)
		}
	}
	t.Logf("holds played: %v", holds)
}
