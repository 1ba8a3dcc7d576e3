package kcrplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
)

// TestNoticesAreKept plays random schedules of upstreams that say that they leave or want no
// requests, start again, and are missing for a while: none is chosen against its word, and one
// that takes requests is.
func TestNoticesAreKept(t *testing.T) {
	t.Parallel()
	for seed := range uint64(200) {
		draw := rand.New(rand.NewPCG(seed, 1)).IntN
		table := kcrplacement.New("z", kcrplacement.DefaultWeights())
		var born, leftAt [4]int64
		var pausedUntil [4]kcrclock.Time
		now := kcrclock.Time(1)
		listed := func(missing int) (list []kcrplacement.Upstream) {
			for i := range born {
				if i != missing {
					list = append(list, kcrplacement.Upstream{ID: kcrid.VM(fmt.Sprint(i)), Service: "s", Addr: fmt.Sprint(i), Zone: "z", Slots: 4, StartedAt: born[i]})
				}
			}
			return list
		}
		for i := range born {
			born[i] = 1
		}
		for range 400 {
			now += kcrclock.Time(draw(200))
			switch i := draw(len(born)); draw(8) {
			case 0:
				born[i]++
				pausedUntil[i] = 0
			case 1:
				table.Update(now, listed(i))
				pausedUntil[i] = 0 // the time ends with the list; the leaving does not
			}
			table.Update(now, listed(-1))
			choice := table.Choose(now, kcrplacement.Request{Service: "s"})
			free := false
			for i := range born {
				free = free || leftAt[i] < born[i] && now >= pausedUntil[i]
			}
			if choice == nil {
				if free {
					t.Fatalf("seed %d: expected an upstream that takes requests, got none", seed)
				}
				continue
			}
			var i int
			_, _ = fmt.Sscan(string(choice.ID), &i)
			if leftAt[i] >= born[i] || now < pausedUntil[i] {
				t.Fatalf("seed %d: upstream %d was chosen against its word", seed, i)
			}
			switch draw(10) {
			case 0:
				choice.Leaves()
				leftAt[i] = born[i]
			case 1, 2:
				pause := kcrclock.Duration(draw(900) + 1)
				choice.Pauses(now, pause)
				pausedUntil[i] = now.Add(pause)
			}
			choice.Finish(now, kcrplacement.Served)
		}
	}
}
