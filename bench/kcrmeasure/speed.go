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

// This file measures the latency and the memory that a router and a sidecar add to a
// request. The same requests are sent alternately straight to the stand-in engine and
// through router and sidecar, in one process on loopback.

// Load of the measurement. Each caller sends speedRequests requests for each path and
// each form (complete or streamed).

const (
	speedCallers   = 4
	speedRequests  = 400
	speedTokens    = 20_000_000_000
	openStreams    = 1000
	openStreamTime = 8 * time.Second
)

// speedPath is a named path to the engine: the address to which requests are sent.
type speedPath struct {
	name string
	addr string
}

// speedTally is the result of some requests over one path.
type speedTally struct {
	firstByte *hdrhistogram.Histogram // µs
	duration  time.Duration
	failed    atomic.Int64
}

// PrintSpeedTable prints the table of latencies and the memory of open streams.
func PrintSpeedTable(w io.Writer) error {
	r, err := kcrrig.New(kcrrig.Size{Routers: 1, Engines: 1, PrepaidTokens: speedTokens, EngineSlots: 2 * openStreams})
	if err != nil {
		return err
	}
	defer r.Close()
	r.Engines[0].SetSettings(kcrstandin.EngineSettings{MaxRequests: 1 << 20, FirstTokenDelayMS: 5, TokenDelayMS: 1})
	paths := []speedPath{{"straight", r.Settings.Upstreams[0].Upstream}, {"through", r.Settings.Routers[0].Listen}}
	if _, err := fmt.Fprintf(w, "%-8s %-10s %9s %9s %9s %12s %6s\n", "form", "way", "p50 µs", "p95 µs", "p99 µs", "requests/s", "bad"); err != nil {
		return err
	}
	warmUp(paths)
	for _, stream := range []bool{false, true} {
		if err := comparePaths(w, paths, stream); err != nil {
			return err
		}
	}
	return measureOpenStreams(w, r)
}

// warmUp sends some requests over each path that don't count in the result.
func warmUp(paths []speedPath) {
	for _, path := range paths {
		_ = sendRequests(path, true, speedRequests/10)
	}
}

// comparePaths sends requests over both paths, alternately in small portions, and
// prints a row for each path.
func comparePaths(w io.Writer, paths []speedPath, stream bool) error {
	tallies := make([]*speedTally, len(paths))
	for i := range paths {
		tallies[i] = &speedTally{firstByte: hdrhistogram.New(1, 60_000_000, 3)}
	}
	const portions = 10
	for range portions {
		for i, path := range paths {
			t := sendRequests(path, stream, speedRequests/portions)
			tallies[i].firstByte.Merge(t.firstByte)
			tallies[i].duration += t.duration
			tallies[i].failed.Add(t.failed.Load())
		}
	}
	form := string(kcrbudget.Complete)
	if stream {
		form = "stream"
	}
	for i, path := range paths {
		t := tallies[i]
		rate := float64(t.firstByte.TotalCount()) / t.duration.Seconds()
		if _, err := fmt.Fprintf(w, "%-8s %-10s %9d %9d %9d %12.0f %6d\n", form, path.name, t.firstByte.ValueAtQuantile(50),
			t.firstByte.ValueAtQuantile(95), t.firstByte.ValueAtQuantile(99), rate, t.failed.Load()); err != nil {
			return err
		}
	}
	added := tallies[1].firstByte.ValueAtQuantile(50) - tallies[0].firstByte.ValueAtQuantile(50)
	_, err := fmt.Fprintf(w, "%-8s added at the median: %d µs\n", form, added)
	return err
}

// sendRequests sends requests over one path from concurrent callers.
func sendRequests(path speedPath, stream bool, requests int) *speedTally {
	t := &speedTally{firstByte: hdrhistogram.New(1, 60_000_000, 3)}
	results := make(chan time.Duration, speedCallers*requests)
	callers := pool.New()
	start := time.Now()
	for range speedCallers {
		callers.Go(func() {
			c := kcrcaller.New(kcrrig.APIKey)
			for range requests {
				a := c.Chat(context.Background(), path.addr, kcrrig.Model, "speed want=4", "", stream)
				if !a.Complete(stream) {
					t.failed.Add(1)
				}
				results <- a.TimeToFirstByte
			}
		})
	}
	callers.Wait()
	t.duration = time.Since(start)
	close(results)
	for d := range results {
		_ = t.firstByte.RecordValue(d.Microseconds())
	}
	return t
}

// measureOpenStreams opens many slow streams and prints the memory per stream, for
// callers, router, sidecar and engine together.
func measureOpenStreams(w io.Writer, r *kcrrig.Rig) error {
	r.Engines[0].SetSettings(kcrstandin.EngineSettings{MaxRequests: 1 << 20, FirstTokenDelayMS: 5, TokenDelayMS: 1000})
	measure := func(addr string) (perStream float64, complete int64) {
		before := heapBytes()
		var ok atomic.Int64
		callers := pool.New()
		for range openStreams {
			callers.Go(func() {
				c := kcrcaller.New(kcrrig.APIKey)
				if c.Chat(context.Background(), addr, kcrrig.Model, "open want=10", "", true).Complete(true) {
					ok.Add(1)
				}
			})
		}
		time.Sleep(openStreamTime / 2)
		after := heapBytes()
		callers.Wait()
		return (after - before) / openStreams, ok.Load()
	}
	straight, _ := measure(r.Settings.Upstreams[0].Upstream)
	through, complete := measure(r.Settings.Routers[0].Listen)
	_, err := fmt.Fprintf(w, "memory of an open stream: straight %.0f B (caller, engine), through %.0f B (caller, router, sidecar, engine); %d of %d whole\n",
		straight, through, complete, openStreams)
	return err
}
