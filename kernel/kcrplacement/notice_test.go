package kcrplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
)

// noticeFleet is a table of upstreams, and what they have said.
type noticeFleet struct {
	table *kcrplacement.Table
	now   kcrclock.Time
	born  [4]int64 // start of each upstream
	left  [4]int64 // last start after which it has said that it leaves

	pausedUntil [4]kcrclock.Time
}

// update passes the upstreams to the table, without one of them if missing is its number.
func (f *noticeFleet) update(missing int) {
	var list []kcrplacement.Upstream
	for i, born := range f.born {
		if i != missing {
			list = append(list, kcrplacement.Upstream{ID: kcrid.VM(fmt.Sprint(i)), Service: "s", Addr: fmt.Sprint(i), Zone: "z", Slots: 4, StartedAt: born})
		}
	}
	f.table.Update(f.now, list)
}

// takes reports whether an upstream takes requests by its word.
func (f *noticeFleet) takes(i int) bool { return f.left[i] < f.born[i] && f.now >= f.pausedUntil[i] }

// takesAny reports whether any upstream does.
func (f *noticeFleet) takesAny() bool {
	for i := range f.born {
		if f.takes(i) {
			return true
		}
	}
	return false
}

// step makes a random move: an upstream starts again or is missing for a moment, and one is chosen
// and says something.
func (f *noticeFleet) step(draw func(n int) int) error {
	f.now += kcrclock.Time(draw(200))
	switch i := draw(len(f.born)); draw(8) {
	case 0:
		f.born[i]++
		f.pausedUntil[i] = 0
	case 1:
		f.update(i)
		f.pausedUntil[i] = 0 // a pause ends as the upstream is missing; leaving does not
	}
	f.update(-1)
	choice := f.table.Choose(f.now, kcrplacement.Request{Service: "s"})
	if choice == nil {
		if f.takesAny() {
			return fmt.Errorf("at %d: expected an upstream that takes requests, got none", f.now)
		}
		return nil
	}
	defer choice.Finish(f.now, kcrplacement.Served)
	i := int(choice.ID[0] - '0')
	if !f.takes(i) {
		return fmt.Errorf("at %d: upstream %d was chosen against its word", f.now, i)
	}
	switch draw(10) {
	case 0:
		choice.Leaves()
		f.left[i] = f.born[i]
	case 1, 2:
		pause := kcrclock.Duration(draw(900) + 1)
		choice.Pauses(f.now, pause)
		f.pausedUntil[i] = f.now.Add(pause)
	}
	return nil
}

// TestNoticesAreKept plays random schedules of upstreams that say that they leave or want no
// requests, start again, and are missing for a while: none is chosen against its word, and one
// that takes requests is.
func TestNoticesAreKept(t *testing.T) {
	t.Parallel()
	for seed := range uint64(200) {
		f := &noticeFleet{table: kcrplacement.New("z", kcrplacement.DefaultWeights()), now: 1, born: [4]int64{1, 1, 1, 1}}
		draw := rand.New(rand.NewPCG(seed, 1)).IntN
		for range 400 {
			if err := f.step(draw); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
	}
}

// Guards against a crowd of requests at an upstream as soon as it wants some again.
func TestUpstreamGetsOneRequestAfterPause(t *testing.T) {
	t.Parallel()
	table := kcrplacement.New("z", kcrplacement.DefaultWeights())
	table.Update(1, []kcrplacement.Upstream{{ID: "0", Service: "s", Addr: "0", Zone: "z", Slots: 4}})
	choose := func(now kcrclock.Time) *kcrplacement.Choice {
		return table.Choose(now, kcrplacement.Request{Service: "s"})
	}
	running := choose(1) // goes on through the pause
	refused := choose(2)
	refused.Pauses(2, 100)
	refused.Finish(3, kcrplacement.Refused)
	for now := kcrclock.Time(102); now < 400; now += 100 {
		trial := choose(now)
		if trial == nil || choose(now) != nil || choose(now+90) != nil {
			t.Fatalf("at %d, after a pause: expected one request to be placed", now)
		}
		if now < 300 { // refused again
			trial.Pauses(now, 100)
			trial.Finish(now, kcrplacement.Refused)
			continue
		}
		if choose(now+100) == nil || choose(now+100) != nil {
			t.Errorf("at %d, without an answer: expected one further request to be placed", now+100)
		}
		trial.ResponseStarted(now)
		for range 2 {
			if choose(now) == nil {
				t.Errorf("at %d, after the begin of an answer: expected further requests to be placed", now)
			}
		}
	}
	running.Finish(400, kcrplacement.Served)
}

// Guards against streams that are refused for long although upstreams of their version are only
// busy for a moment.
func TestVersionIsThereWhileItsUpstreamsPause(t *testing.T) {
	t.Parallel()
	table := kcrplacement.New("z", kcrplacement.DefaultWeights())
	table.Update(1, []kcrplacement.Upstream{{ID: "0", Service: "s", Version: "v1", StartedAt: 1}, {ID: "1", Service: "s", Version: "v2", StartedAt: 1}})
	choice := table.Choose(1, kcrplacement.Request{Service: "s", Version: "v1"})
	choice.Pauses(1, 1000)
	if !table.HasVersion("s", "v1") || table.HasVersion("s", "v3") {
		t.Errorf("while the upstream pauses: expected version v1 and not v3, got %v and %v", table.HasVersion("s", "v1"), table.HasVersion("s", "v3"))
	}
	choice.Leaves()
	if table.HasVersion("s", "v1") || !table.HasVersion("s", "v2") {
		t.Errorf("after the upstream of v1 left: expected only v2, got %v and %v", table.HasVersion("s", "v1"), table.HasVersion("s", "v2"))
	}
}

// A choice shows that its upstream has left, started again, or said that it leaves, since it was made.
func TestChoiceShowsThatItsUpstreamLeft(t *testing.T) {
	for name, leave := range map[string]func(*noticeFleet, *kcrplacement.Choice){
		"missing":       func(f *noticeFleet, _ *kcrplacement.Choice) { f.update(0) },
		"started again": func(f *noticeFleet, _ *kcrplacement.Choice) { f.born[0]++; f.update(-1) },
		"leaves":        func(_ *noticeFleet, c *kcrplacement.Choice) { c.Leaves() },
	} {
		f := &noticeFleet{table: kcrplacement.New("z", kcrplacement.DefaultWeights()), now: 1000, born: [4]int64{1, 1, 1, 1}}
		f.update(-1)
		choice := f.table.Choose(f.now, kcrplacement.Request{Service: "s", Excluded: []kcrid.VM{"1", "2", "3"}})
		if f.update(1); !choice.Stays() {
			t.Errorf("%s: expected the upstream to stay as another is missing", name)
		}
		if leave(f, choice); choice.Stays() {
			t.Errorf("%s: expected the choice to show it", name)
		}
	}
}
