package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// This file plays a hot tenant at a router of the site turnos-lima. Without the disruption all
// tenants send at their usual rate to the end.

// Figures of the case.
const (
	engineCount = 18
	appCount    = 4
	crowdPeriod = 30 * time.Second
	hotAt       = 8 * time.Second
	hotLength   = 6500 * time.Millisecond // largest for_s of hot_tenant at the site
	hotFactor   = 7.5                     // largest x of hot_tenant at the site
	hotShare    = 0.2                     // of the usual traffic that the tenant sends
	streamRate  = 240.0                   // a second, usually; each takes one of 864 slots for 3 s
	lookupRate  = 40.0                    // a second, usually
	streamWait  = 12000                   // ms, timeoutMs of the route
	streamStay  = 3200 * time.Millisecond // longest pause that a client waits for: 8 x gapTargetMs
	lookupWait  = 1000                    // ms, timeoutMs of the route
	lookupStay  = 3 * time.Second
	tenantCount = 10
	halfSecond  = 500 * time.Millisecond
	crowdHost   = "turnos.example"
)

// crowdRoutes are the routes of the case.
var crowdRoutes = []configRoute{
	{Name: "consulta-turno", Host: crowdHost, PathPrefix: streamPrefix + "/", Kind: "streaming", Service: "llm", TimeoutMs: streamWait, TargetLatencyMs: 600, GapTargetMs: 400, Priority: 1, MaxAttempts: 1, SessionAffinity: true},
	{Name: "ver-turno", Host: crowdHost, PathPrefix: "/ver/", Kind: "idempotent", Service: "app", TimeoutMs: lookupWait, TargetLatencyMs: 300, Priority: 2, MaxAttempts: 2},
}

// crowdTenants returns the tenants of the case, without prepaid budgets.
func crowdTenants() (list []tenant) {
	for i := range tenantCount {
		list = append(list, tenant{Name: fmt.Sprintf("t%d", i), APIKeys: []string{fmt.Sprintf("key%d", i)}})
	}
	return list
}

// startCrowd starts the engines and the router.
func startCrowd(l *lab) (*router, error) {
	for i := range engineCount {
		c := engineConfig{id: fmt.Sprintf("i-llm%02d", i), service: "llm", zone: "lima-a", slots: 48, queue: 144, keepAlive: 15, conns: 290, events: 10, gap: 300 * time.Millisecond}
		if _, err := l.startEngine(c, "127.0.0.1"); err != nil {
			return nil, err
		}
	}
	for i := range appCount {
		c := engineConfig{id: fmt.Sprintf("i-app%02d", i), service: "app", zone: "lima-a", slots: 6, queue: 24, keepAlive: 15, conns: 96, work: 15 * time.Millisecond}
		if _, err := l.startEngine(c, "127.0.0.1"); err != nil {
			return nil, err
		}
	}
	l.putConfig(1, crowdRoutes, crowdTenants())
	r, err := l.startRouter(routerMachine{name: "edge-lima-a-1", ip: "127.0.0.1", zone: "lima-a", memoryMB: 284, descriptors: 4200, linkMbps: 1000, first: true, homePort: freePort("127.0.0.1")})
	if err != nil {
		return nil, err
	}
	if !r.awaitReady(10 * time.Second) {
		return nil, errors.New("the router is not ready")
	}
	return r, nil
}

// streamAttempt returns an attempt of a stream.
func streamAttempt() *attempt {
	part := rand.IntN(400)
	return &attempt{id: newID(), host: crowdHost, method: http.MethodPost, path: streamPrefix + "/x", body: "question",
		tokens: "628,290", prefix: fmt.Sprintf("%x:119,%x:79,%x:430", 1000+part%40, 2000+part, rand.Uint32()), deadline: 10 * time.Second, pause: streamStay}
}

// lookupAttempt returns an attempt of a look-up.
func lookupAttempt() *attempt {
	return &attempt{id: newID(), host: crowdHost, method: http.MethodGet, path: fmt.Sprintf("/ver/%d", rand.IntN(1000)), deadline: lookupStay}
}

// playCrowd plays the case. Its rule is CONFIG: of the look-ups that are unanswered at timeoutMs,
// more than half, and eight or more, have no answer half a second later.
func playCrowd(l *lab) (broken bool, err error) {
	r, err := startCrowd(l)
	if err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	begin := time.Now()
	send := func(rate float64, next func() *attempt) {
		defer clients.Done()
		for due := begin; ; {
			hot := 1.0
			if since := due.Sub(begin); l.trouble && since > hotAt && since < hotAt+hotLength {
				hot = hotFactor
			}
			all := 1 - hotShare + hotShare*hot
			due = due.Add(time.Duration(rand.ExpFloat64() / rate / all * float64(time.Second)))
			if due.Sub(begin) > crowdPeriod {
				return
			}
			time.Sleep(time.Until(due))
			a := next()
			a.key = "key0"
			if rand.Float64() > hotShare*hot/all {
				a.key = fmt.Sprintf("key%d", 1+rand.IntN(tenantCount-1))
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				a.run(l, r.callers)
			}()
		}
	}
	clients.Add(2)
	go send(streamRate, streamAttempt)
	go send(lookupRate, lookupAttempt)
	clients.Wait()
	l.sayf("ready after the day: %t", r.isReady())
	if os.Getenv("KEEP") != "" {
		r.signal(syscall.SIGQUIT)
		time.Sleep(time.Second)
	}
	return l.judgeTimeouts(time.Duration(lookupWait) * time.Millisecond), nil
}

// judgeTimeouts judges look-ups by the rule CONFIG.
func (l *lab) judgeTimeouts(timeout time.Duration) (broken bool) {
	l.mu.Lock()
	all, over, unanswered := 0, 0, 0
	statuses := map[int]int{}
	for _, a := range l.attempts {
		statuses[a.status]++
		if a.method != http.MethodGet {
			continue
		}
		all++
		took := a.ended.Sub(a.sent)
		if took <= timeout || a.written.IsZero() {
			continue
		}
		over++
		if took > timeout+halfSecond {
			unanswered++
		}
	}
	l.mu.Unlock()
	l.sayf("look-ups: %d sent, %d unanswered at timeoutMs, %d of them without an answer half a second later; statuses of all requests %v", all, over, unanswered, statuses)
	return unanswered >= 8 && 2*unanswered > over
}
