package kcrcrash_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrcrash"
	"kingcuprun.example/kernel/kcrid"
)

// This file plays random schedules of upstreams on which runs end without an answer. Some runs
// crash their upstream, at once or after a while; other upstreams are only quiet.

const (
	watchedUpstreams = 5
	// latestCrash is how long after its run has ended an upstream may crash.
	latestCrash = 900
	// longestCheck is the time after the end of a run in which a crash must be found.
	longestCheck = kcrclock.Duration(1_300)
)

// watchPlay is the state of a play.
type watchPlay struct {
	watch     *kcrcrash.Watch
	now       kcrclock.Time
	heardAt   [watchedUpstreams]kcrclock.Time
	crashesAt [watchedUpstreams]kcrclock.Time // 0 for never
	culprits  map[kcrid.ContentHash]kcrclock.Time
	counted   map[kcrid.ContentHash]bool
	contents  kcrid.ContentHash
	harmless  bool // no run crashes its upstream
}

func newWatchPlay() *watchPlay {
	return &watchPlay{watch: kcrcrash.NewWatch(), now: 1, culprits: map[kcrid.ContentHash]kcrclock.Time{}, counted: map[kcrid.ContentHash]bool{}}
}

func (p *watchPlay) crashed(i int) bool { return p.crashesAt[i] > 0 && p.crashesAt[i] <= p.now }

// lose ends a run on an upstream.
func (p *watchPlay) lose(i int, culprit bool, after kcrclock.Duration, silent bool) {
	p.contents++
	run := kcrcrash.LostRun{Upstream: upstream(i), HeardAt: func() kcrclock.Time { return p.heardAt[i] }, Content: p.contents, At: p.now}
	if culprit && !p.harmless && p.crashesAt[i] == 0 {
		p.crashesAt[i] = p.now.Add(after)
		p.culprits[run.Content] = p.now
	}
	if silent {
		p.watch.Silent(run)
		return
	}
	p.watch.Lost(run)
}

// step plays 10 ms.
func (p *watchPlay) step(draw func(n int) int) {
	p.now += 10
	for i := range watchedUpstreams {
		if !p.crashed(i) && draw(100) < 10*(i+1) {
			p.heardAt[i] = p.now
		}
	}
	if draw(10) == 0 {
		p.lose(draw(watchedUpstreams), draw(30) == 0, kcrclock.Duration(draw(latestCrash)), draw(4) == 0)
	}
	for _, probe := range p.watch.Due(p.now) {
		for i := range watchedUpstreams {
			switch {
			case probe.Upstream != upstream(i):
			case !p.crashed(i):
				p.watch.Alive(p.now, probe.Upstream)
			default:
				for _, run := range p.watch.Unreachable(p.now, probe.Upstream) {
					p.counted[run.Content] = true
				}
			}
		}
	}
}

// Guards against runs that crash an upstream, at once or a while after they were given up, and
// never count.
func TestRunsThatCrashUpstreamsAreFound(t *testing.T) {
	t.Parallel()
	found, culprits, sound := 0, 0, 0
	for seed := range uint64(300) {
		p := newWatchPlay()
		draw := rand.New(rand.NewPCG(seed, 37)).IntN
		for range 600 {
			p.step(draw)
		}
		for content, at := range p.culprits {
			if p.now.Sub(at) < longestCheck {
				continue
			}
			culprits++
			if p.counted[content] {
				found++
			} else {
				t.Errorf("seed %d: run %d, at %d, crashed its upstream, and does not count", seed, content, at)
			}
		}
		sound += len(p.counted)
	}
	if culprits == 0 {
		t.Fatal("expected some runs that crash upstreams")
	}
	t.Logf("%d of %d crashes found, %d other runs count", found, culprits, sound-found)
}

// Guards against runs that count although their upstream goes on.
func TestRunsOnUpstreamsThatGoOnDoNotCount(t *testing.T) {
	t.Parallel()
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			t.Parallel()
			p := newWatchPlay()
			p.harmless = true
			draw := rand.New(rand.NewPCG(1, 37)).IntN
			for range 100 {
				p.lose(0, false, 0, silent)
				p.step(draw)
			}
			for range 150 {
				p.now += 10
				for _, probe := range p.watch.Due(p.now) {
					for i := range p.heardAt {
						p.heardAt[i] = p.now
					}
					if crashed := p.watch.Unreachable(p.now, probe.Upstream); len(crashed) > 0 {
						t.Errorf("expected no run to count on an upstream that was heard, got %d", len(crashed))
					}
				}
			}
			if len(p.counted) > 0 || !p.watch.Empty() {
				t.Errorf("expected no run to count, and none to be watched, got %d and %v", len(p.counted), p.watch.Empty())
			}
		})
	}
}
