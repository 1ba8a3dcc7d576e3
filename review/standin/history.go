package main

import (
	"context"
	"errors"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// This case: all processes are killed at the same moment and started again, at a time when the
// store has deleted the oldest records of its topics, since the system has run longer than the
// store keeps records. So that this needs no more than two minutes, the system is run, stopped as
// planned, and started again when all records are older than that. The check is RECOVER.

// Times of the case, in seconds.
const (
	keepS     = 300  // for which the store keeps records
	startS    = 6.0  // from the start of the processes to the first request
	earlierS  = 6.0  // traffic before the planned stop
	trafficS  = 14.0 // traffic before the fault
	downS     = 1.0  // the processes are down
	recoveryS = 12.0 // bound of RECOVER
	judgedS   = 20.0 // for which requests are judged
)

// setting returns a number from the environment.
func setting(name string, otherwise float64) float64 {
	if v, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return v
	}
	return otherwise
}

func playHistory(sc *scene) (broken bool, err error) {
	keep := setting("KEEP", keepS)
	s, err := newSystem(sc.root, sc.dir, sc.rec, plan{routers: 2, sides: 3, plain: 1, keep: inSeconds(keep)})
	if err != nil {
		return false, err
	}
	sc.system = s
	t := newTenant(1, 100_000_000)
	s.putConfig(7, t)
	c := &clients{system: s}
	earlier := setting("EARLIER", earlierS)
	stop, err := c.startTraffic(t)
	if err != nil {
		return false, err
	}
	time.Sleep(inSeconds(earlier))
	stop()
	if os.Getenv("STOP") != "0" {
		groups := [][]*machine{s.routers, s.sides}
		if os.Getenv("TOGETHER") != "" {
			groups = [][]*machine{s.all()}
		}
		for _, machines := range groups {
			for _, m := range machines {
				m.signal(syscall.SIGTERM)
			}
			for _, m := range machines {
				m.wait()
			}
		}
		s.store.age(inSeconds(keep))
		sc.rec.say("all processes are stopped, and started again when the store has deleted all records, %.0f s later", keep)
		if stop, err = c.startTraffic(t); err != nil {
			return false, err
		}
	}
	from := sc.rec.since()
	time.Sleep(inSeconds(trafficS))
	faultAt, back := sc.rec.since(), sc.rec.since()
	if sc.trouble {
		s.putConfig(9, t)
		struck, signal := s.all(), syscall.SIGKILL
		if only := os.Getenv("ONLY_HOME"); only != "" {
			home, err := s.home()
			if err != nil {
				return false, err
			}
			struck = []*machine{home}
			if only == "TERM" {
				signal = syscall.SIGTERM
			}
		}
		sc.rec.say("%d processes get %v", len(struck), signal)
		for _, m := range struck {
			m.signal(signal)
		}
		for _, m := range struck {
			m.wait()
		}
		time.Sleep(inSeconds(downS))
		for _, m := range struck {
			if err := m.start(); err != nil {
				return false, err
			}
		}
		back = sc.rec.since()
		sc.rec.say("they are started again")
	}
	sleepUntil(sc.rec, back+recoveryS+judgedS)
	stop()
	sentBefore, servedBefore := c.share("", from, faultAt-2)
	sent, served := c.share("", back+recoveryS, back+recoveryS+judgedS)
	streams, streamsServed := c.share("stream", back+recoveryS, back+recoveryS+judgedS)
	sc.rec.say("before the fault: %d of %d requests served", servedBefore, sentBefore)
	sc.rec.say("later than %.0f s after the machines are back: %d of %d requests served, %d of %d generations", recoveryS, served, sent, streamsServed, streams)
	if os.Getenv("TOGETHER") == "" && 4*servedBefore < sentBefore {
		return false, errors.New("less than a quarter was served before the fault")
	}
	return 4*servedBefore >= sentBefore && 4*served < sent, nil
}

// startTraffic starts all processes and, a little later, the requests of a tenant. stop ends
// these.
func (c *clients) startTraffic(t tenant) (stop func(), err error) {
	if err := c.system.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(inSeconds(startS))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for kind, perSecond := range map[string]float64{"stream": 15, "look": 1, "swap": 1} {
		wg.Go(func() { c.run(ctx, &wg, t, kind, perSecond, 1460) })
	}
	return func() {
		cancel()
		wg.Wait()
	}, nil
}

func inSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleepUntil sleeps until a time of the record.
func sleepUntil(rec *recorder, at float64) { time.Sleep(inSeconds(at - rec.since())) }
