package kcrhome

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/link/kcrwire"
)

// This file defines the answers to loans and returns that a host remembers, so that a router
// whose answer was lost can ask again. Invariants: a call with an id takes effect once, however
// often it arrives; a call that asks again and is not remembered takes no effect.

// Limits of the memory of answers.
const (
	answerLifetime = 10 * kcrclock.Second
	maxAnswers     = 8192
)

// answers remembers the replies to calls by id. It is safe for concurrent use.
type answers struct {
	mu    sync.Mutex
	byID  map[string]*answer
	order []string // ids, oldest first
}

// answer is the reply to one call; done is closed once reply is set.
type answer struct {
	at    kcrclock.Time
	done  chan struct{}
	reply *kcrwire.Reply
}

func newAnswers() *answers { return &answers{byID: map[string]*answer{}} }

// once returns the reply of the first call with an id, which it gets from handle. It returns
// nil if the call asks again and the first is not remembered. Calls without an id are handled
// each time.
func (a *answers) once(now kcrclock.Time, id string, again bool, handle func() *kcrwire.Reply) *kcrwire.Reply {
	if id == "" {
		return handle()
	}
	a.mu.Lock()
	known := a.byID[id]
	if known != nil || again {
		a.mu.Unlock()
		if known == nil {
			return nil
		}
		<-known.done
		return known.reply
	}
	first := &answer{at: now, done: make(chan struct{})}
	a.byID[id] = first
	a.order = append(a.order, id)
	a.forget(now)
	a.mu.Unlock()
	first.reply = handle()
	close(first.done)
	return first.reply
}

// forget removes the answers that are too old or too many.
func (a *answers) forget(now kcrclock.Time) {
	expired := 0
	for len(a.order)-expired > maxAnswers || expired < len(a.order) && now.Sub(a.byID[a.order[expired]].at) > answerLifetime {
		delete(a.byID, a.order[expired])
		expired++
	}
	a.order = a.order[expired:]
}
