package kcrgateway

import (
	"testing"

	"kingcuprun.example/kernel/kcradmission"
	"kingcuprun.example/kernel/kcrrule"
)

// Guards against a turn that is lost to those that wait when its request leaves at the same moment.
func TestTurnOfRequestThatLeavesIsPassedOn(t *testing.T) {
	t.Parallel()
	a := &admission{queue: kcradmission.New(kcradmission.DefaultConfig()), turns: map[kcradmission.Ticket]chan struct{}{}}
	first, firstTurn, _, _ := a.enter(1, kcradmission.Request{Latest: 1000})
	_, turn, entered, _ := a.enter(1, kcradmission.Request{Latest: 2000})
	if !entered {
		t.Fatal("expected the second request to enter")
	}
	a.next(1)
	<-firstTurn
	a.leave(1, first)
	select {
	case <-turn:
	default:
		t.Error("expected the second request to have the turn of the first, which left")
	}
}

// Guards against refusals, without a wait, of streams that go on only at upstreams of their version,
// since all of these have refused another request a moment ago.
func TestStreamOfOneVersionIsSentToFullUpstreams(t *testing.T) {
	t.Parallel()
	if x := (&exchange{version: "v1", route: &kcrrule.Route{}}); x.placementRequest().SkipsFull {
		t.Error("expected full upstreams of the version to be tried")
	}
}
