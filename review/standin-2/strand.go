package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// This file plays the loss of machines, one after the other, each of which holds the home of the
// budgets at that moment. Without the disruption no machine is lost.

// Figures of the case.
const (
	strandMachines = 10
	strandLosses   = 4
	strandFirst    = 6 * time.Second
	strandGap      = 4 * time.Second
	strandPeriod   = 40 * time.Second
	strandRate     = 40.0 // requests of the tenant a second
	strandPrompt   = 628
	strandOutput   = 290
	strandPrepaid  = 900_000
	strandEvents   = 10
	strandStride   = 7
	settleTime     = 1500 * time.Millisecond // settle_ms
	owedShare      = 0.97                    // of prepaid, from which on a request is not owed
	entryLifetime  = 3 * heartbeat
)

// sideMachine is a machine with an engine and a home of budgets.
type sideMachine struct {
	name   string
	engine *engine
	side   *process
	lost   bool
}

// lose ends a machine for good: both of its programs end, and its entry is removed after three
// heartbeats.
func (m *sideMachine) lose(l *lab) {
	m.lost = true
	l.sayf("machine %s is lost for good", m.name)
	m.side.kill()
	m.engine.stopBeat()
	_ = m.engine.server.Close()
	time.AfterFunc(entryLifetime, func() { l.store.put("keyed.servers", m.engine.id, nil) })
}

// startStrand starts the machines and the router.
func startStrand(l *lab) (machines []*sideMachine, r *router, err error) {
	homePort := freePort("127.0.0.1")
	for i := range strandMachines {
		ip := fmt.Sprintf("127.0.1.%d", i+1)
		if listener, err := net.Listen("tcp", net.JoinHostPort(ip, homePort)); err != nil {
			return nil, nil, err
		} else if err := listener.Close(); err != nil {
			return nil, nil, err
		}
		m := &sideMachine{name: fmt.Sprintf("side-%d", i+1)}
		c := engineConfig{id: fmt.Sprintf("i-llm%02d", i), service: "llm", zone: "lima-a", slots: 48, queue: 144, keepAlive: 15, conns: 290, events: strandEvents, gap: 30 * time.Millisecond}
		if m.engine, err = l.startEngine(c, ip); err != nil {
			return nil, nil, err
		}
		if m.side, err = l.startSide(m.name, ip, homePort); err != nil {
			return nil, nil, err
		}
		machines = append(machines, m)
	}
	prepaid := int64(strandPrepaid)
	l.putConfig(1, crowdRoutes, []tenant{{Name: "t0", APIKeys: []string{"key0"}, Prepaid: &prepaid}})
	r, err = l.startRouter(routerMachine{name: "edge-lima-a-1", ip: "127.0.0.1", zone: "lima-a", memoryMB: 284, descriptors: 4200, linkMbps: 1000, first: true, homePort: homePort})
	if err != nil {
		return nil, nil, err
	}
	if !r.awaitReady(10 * time.Second) {
		return nil, nil, errors.New("the router is not ready")
	}
	time.Sleep(time.Second)
	return machines, r, nil
}

// currentHome returns the machine that opened a home last and is not lost.
func currentHome(l *lab, machines []*sideMachine) (home *sideMachine) {
	latest := ""
	for _, m := range machines {
		if lines := l.outputOf(m.name, `"home opened"`); !m.lost && len(lines) > 0 {
			if at := lines[len(lines)-1]; at > latest {
				latest, home = at, m
			}
		}
	}
	return home
}

// playStrand plays the case. Its rule is DENIED: more than 5 and one in 500 of all requests are
// answered 402 though they fit, at their most, into 97 in 100 of what the tenant has prepaid.
func playStrand(l *lab) (broken bool, err error) {
	machines, r, err := startStrand(l)
	if err != nil {
		return false, err
	}
	begin := time.Now()
	var clients sync.WaitGroup
	if l.trouble {
		clients.Go(func() {
			for i := range strandLosses {
				time.Sleep(time.Until(begin.Add(strandFirst + time.Duration(i)*strandGap)))
				if m := currentHome(l, machines); m != nil {
					m.lose(l)
				}
			}
		})
	}
	for due := begin; due.Sub(begin) < strandPeriod; {
		due = due.Add(time.Duration(rand.ExpFloat64() / strandRate * float64(time.Second)))
		time.Sleep(time.Until(due))
		a := streamAttempt()
		a.key, a.tokens = "key0", fmt.Sprintf("%d,%d", strandPrompt, strandOutput)
		clients.Go(func() { a.run(l, r.callers) })
	}
	clients.Wait()
	return l.judgeDenied(), nil
}

// consumed returns the tokens that an attempt has got: its prompt, once an event was delivered, and
// the tokens of the events.
func (a *attempt) consumed() int {
	events := strings.Count(a.payload, "\n\n")
	if events == 0 {
		return 0
	}
	return strandPrompt + events*strandStride
}

// judgeDenied judges the answers 402. Requests that had not ended settleTime before count at their
// most.
func (l *lab) judgeDenied() (broken bool) {
	l.mu.Lock()
	attempts := slices.Clone(l.attempts)
	l.mu.Unlock()
	total, denied, false402, firstAt := 0, 0, 0, 0
	statuses := map[int]int{}
	for _, a := range attempts {
		total += a.consumed()
		statuses[a.status]++
		if a.status != http.StatusPaymentRequired {
			continue
		}
		denied++
		most := strandPrompt + strandOutput
		for _, other := range attempts {
			switch {
			case other == a || other.sent.After(a.ended) || other.status == http.StatusPaymentRequired:
			case a.sent.Sub(other.ended) > settleTime:
				most += other.consumed()
			default:
				most += strandPrompt + strandOutput
			}
		}
		if float64(most) <= owedShare*strandPrepaid {
			false402++
			if firstAt == 0 {
				firstAt = most
			}
		}
	}
	l.sayf("prepaid %d, consumed %d in all; %d of %d requests answered 402, %d of them though they fitted (the first at %d); statuses %v", strandPrepaid, total, denied, len(attempts), false402, firstAt, statuses)
	return float64(false402) > 5+float64(len(attempts))/500
}
