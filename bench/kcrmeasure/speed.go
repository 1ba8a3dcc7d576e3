package kcrmeasure

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"

	"kingcuprun.example/bench/kcrcaller"
	"kingcuprun.example/bench/kcrrig"
	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/standin/kcrstandin"
)

// This file measures what a router and a sidecar add to a request: the same
// requests go in turn straight to the stand-in engine and through both, in one
// process on loopback.

const (
	speedCallers  = 4
	speedRequests = 400 // of each caller, way and form
	speedTokens   = 20_000_000_000
	openStreams   = 1000
	openTime      = 8 * time.Second
)

// way is a path to the engine.
type way struct {
	name string
	addr string
}

type speedTally struct {
	first *hdrhistogram.Histogram // µs
	took  time.Duration
	bad   atomic.Int64
}

// Speed prints the table of speed.
func Speed(w io.Writer) error {
	r, err := kcrrig.New(kcrrig.Size{Routers: 1, Engines: 1, Tokens: speedTokens, Slots: 2 * openStreams})
	if err != nil {
		return err
	}
	defer r.Close()
	r.Engines[0].Fault(kcrstandin.EngineFaults{Slots: 1 << 20, FirstMS: 5, GapMS: 1})
	ways := []way{{"straight", r.Settings.Upstreams[0].Upstream}, {"through", r.Settings.Routers[0].Listen}}
	if _, err := fmt.Fprintf(w, "%-8s %-10s %9s %9s %9s %12s %6s\n", "form", "way", "p50 µs", "p95 µs", "p99 µs", "requests/s", "bad"); err != nil {
		return err
	}
	warm(ways)
	for _, stream := range []bool{false, true} {
		if err := compare(w, ways, stream); err != nil {
			return err
		}
	}
	return streams(w, r)
}

func warm(ways []way) {
	for _, v := range ways {
		_ = drive(v, true, speedRequests/10)
	}
}

// compare drives both ways in turn, in small portions.
func compare(w io.Writer, ways []way, stream bool) error {
	tallies := make([]*speedTally, len(ways))
	for i := range ways {
		tallies[i] = &speedTally{first: hdrhistogram.New(1, 60_000_000, 3)}
	}
	const portions = 10
	for range portions {
		for i, v := range ways {
			t := drive(v, stream, speedRequests/portions)
			tallies[i].first.Merge(t.first)
			tallies[i].took += t.took
			tallies[i].bad.Add(t.bad.Load())
		}
	}
	form := string(kcrbudget.Whole)
	if stream {
		form = "stream"
	}
	for i, v := range ways {
		t := tallies[i]
		rate := float64(t.first.TotalCount()) / t.took.Seconds()
		if _, err := fmt.Fprintf(w, "%-8s %-10s %9d %9d %9d %12.0f %6d\n", form, v.name, t.first.ValueAtQuantile(50),
			t.first.ValueAtQuantile(95), t.first.ValueAtQuantile(99), rate, t.bad.Load()); err != nil {
			return err
		}
	}
	added := tallies[1].first.ValueAtQuantile(50) - tallies[0].first.ValueAtQuantile(50)
	_, err := fmt.Fprintf(w, "%-8s added at the median: %d µs\n", form, added)
	return err
}

func drive(v way, stream bool, requests int) *speedTally {
	t := &speedTally{first: hdrhistogram.New(1, 60_000_000, 3)}
	results := make(chan time.Duration, speedCallers*requests)
	callers := pool.New()
	start := time.Now()
	for range speedCallers {
		callers.Go(func() {
			c := kcrcaller.New(kcrrig.APIKey)
			for range requests {
				a := c.Chat(context.Background(), v.addr, kcrrig.Model, "speed want=4", "", stream)
				if !a.Whole(stream) {
					t.bad.Add(1)
				}
				results <- a.First
			}
		})
	}
	callers.Wait()
	t.took = time.Since(start)
	close(results)
	for d := range results {
		_ = t.first.RecordValue(d.Microseconds())
	}
	return t
}

// streams opens many slow streams and prints the memory of each, for callers,
// router, sidecar and engine together.
func streams(w io.Writer, r *kcrrig.Rig) error {
	r.Engines[0].Fault(kcrstandin.EngineFaults{Slots: 1 << 20, FirstMS: 5, GapMS: 1000})
	measure := func(addr string) (perStream float64, whole int64) {
		before := heap()
		var ok atomic.Int64
		callers := pool.New()
		for range openStreams {
			callers.Go(func() {
				c := kcrcaller.New(kcrrig.APIKey)
				if c.Chat(context.Background(), addr, kcrrig.Model, "open want=10", "", true).Whole(true) {
					ok.Add(1)
				}
			})
		}
		time.Sleep(openTime / 2)
		after := heap()
		callers.Wait()
		return (after - before) / openStreams, ok.Load()
	}
	straight, _ := measure(r.Settings.Upstreams[0].Upstream)
	through, whole := measure(r.Settings.Routers[0].Listen)
	_, err := fmt.Fprintf(w, "memory of an open stream: straight %.0f B (caller, engine), through %.0f B (caller, router, sidecar, engine); %d of %d whole\n",
		straight, through, whole, openStreams)
	return err
}
