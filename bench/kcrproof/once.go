package kcrproof

import (
	"fmt"
	"slices"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrintent"
)

// This file proves that a non-idempotent call runs at most once, and never if a
// caller was told "not run". In the simulation calls reach several sidecars, some
// of them long after they were sent; sidecars freeze between the decision to run a
// call and the run itself; appends are lost, repeated and late.

// Sizes of the simulation.
const (
	onceSidecars     = 3
	onceMaxCalls     = 12 // calls that a sidecar's claimer keeps
	onceRetriedCalls = 6  // newest calls that callers still retry
)

// plainSidecar is a sidecar of a plain service and the faults that it suffers. Its
// claimer decides whether it may run a call. Cursor is the number of log records it
// has read; arrived lists the calls that it received.
type plainSidecar struct {
	claimer     *kcrintent.Claimer
	cursor      int
	frozen      bool
	cutFromLog  bool
	killed      bool
	arrived     []kcrid.CallID
	pendingRuns []kcrid.CallID // decided, and not yet sent to the upstream
}

// onceSim is the simulation of the proof. Effects counts how often each call ran at
// an upstream.
type onceSim struct {
	pick       Pick
	rules      kcrintent.Rules
	log        []*kcrentry.Entry
	logDown    bool
	sidecars   []*plainSidecar
	queue      messageQueue
	lateCopies []func()
	serial     int
	callCount  int
	effects    map[kcrid.CallID]int
	toldNotRun map[kcrid.CallID]bool // calls whose caller was told "not run"
	violation  error
}

// CheckOnce runs one schedule and returns the first violation. Ran is the number of
// calls that ran, which shows that the simulation did some work.
func CheckOnce(rules kcrintent.Rules, pick Pick, steps int) (ran int, err error) {
	sim := &onceSim{pick: pick, queue: messageQueue{pick: pick}, rules: rules, effects: map[kcrid.CallID]int{}, toldNotRun: map[kcrid.CallID]bool{}}
	for range onceSidecars {
		sim.addSidecar()
	}
	for i := 0; i < steps && sim.violation == nil; i++ {
		sim.step()
	}
	for _, n := range sim.effects {
		ran += n
	}
	return ran, sim.violation
}

// addSidecar starts a new sidecar that has read nothing of the log.
func (sim *onceSim) addSidecar() {
	sim.serial++
	name := kcrid.Incarnation(fmt.Sprintf("desk-%d", sim.serial))
	sim.sidecars = append(sim.sidecars, &plainSidecar{claimer: kcrintent.NewClaimer(name, sim.rules, onceMaxCalls)})
}

// step makes one random step.
func (sim *onceSim) step() {
	sim.endFaults()
	switch n := sim.pick(200); {
	case n < 60:
		sim.deliver()
	case n < 90:
		sim.readLog()
	case n < 115:
		sim.appendLog()
	case n < 140:
		sim.sendCall()
	case n < 160:
		sim.decideRun()
	case n < 185:
		sim.executeRun()
	case n < 194:
		sim.barCall()
	default:
		sim.injectFault()
	}
}

// endFaults ends faults at random, so that a simulation is not spent in one outage.
func (sim *onceSim) endFaults() {
	sim.logDown = sim.logDown && sim.pick(meanLogOutageSteps) > 0
	for _, s := range sim.sidecars {
		if sim.pick(meanNodeFaultSteps) == 0 {
			s.frozen, s.cutFromLog = false, false
		}
	}
}

func (sim *onceSim) randomSidecar() *plainSidecar { return sim.sidecars[sim.pick(len(sim.sidecars))] }

func (s *plainSidecar) canAct() bool { return !s.frozen && !s.killed }

func (sim *onceSim) deliver() { sim.queue.deliver() }

// deliverLateCopy delivers a copy of a call that was sent much earlier.
func (sim *onceSim) deliverLateCopy() {
	if len(sim.lateCopies) == 0 {
		return
	}
	i := sim.pick(len(sim.lateCopies))
	sim.lateCopies[i]()
	sim.lateCopies = slices.Delete(sim.lateCopies, i, i+1)
}

// readLog makes a sidecar read the next few records.
func (sim *onceSim) readLog() {
	s := sim.randomSidecar()
	if !s.canAct() || s.cutFromLog || sim.logDown {
		return
	}
	for n := sim.pick(8) + 1; n > 0 && s.cursor < len(sim.log); n-- {
		s.claimer.Apply(0, kcrid.Offset(s.cursor+1), sim.log[s.cursor])
		s.cursor++
	}
	if s.cursor == len(sim.log) {
		s.claimer.MarkReady()
	}
}

// appendLog makes a sidecar append its pending records. The append may be lost or late.
func (sim *onceSim) appendLog() {
	s := sim.randomSidecar()
	if !s.canAct() || s.cutFromLog || sim.logDown {
		return
	}
	records, _ := s.claimer.Batch(sim.pick(4) + 1)
	switch sim.pick(5) {
	case 0:
	case 1:
		sim.queue.enqueue(func() { sim.appendRecords(records) })
	default:
		sim.appendRecords(records)
	}
}

// appendRecords appends a batch to the log.
func (sim *onceSim) appendRecords(records [][]byte) {
	batch, err := decodeRecords(records)
	if err != nil {
		sim.violation = err
	}
	sim.log = append(sim.log, batch...)
}

// sendCall sends a new or a repeated call to a sidecar. Copies of it may arrive at
// other sidecars, some of them late.
func (sim *onceSim) sendCall() {
	if sim.callCount == 0 || sim.pick(3) == 0 {
		sim.callCount++
	}
	c := kcrid.CallID{Team: team, Key: kcrid.IdempotencyKey(fmt.Sprint(sim.callCount - sim.pick(min(sim.callCount, onceRetriedCalls))))}
	seen := kcrid.Offset(len(sim.log))
	sim.queue.enqueue(sim.arrival(c, seen))
	switch sim.pick(4) {
	case 0:
		sim.queue.enqueue(sim.arrival(c, seen))
	case 1:
		sim.lateCopies = append(sim.lateCopies, sim.arrival(c, seen))
	}
}

// arrival returns a function that delivers a call to a random sidecar, which claims
// it. Seen is the length of the log when the call was sent.
func (sim *onceSim) arrival(c kcrid.CallID, seen kcrid.Offset) func() {
	return func() {
		if s := sim.randomSidecar(); s.canAct() {
			s.claimer.Claim(c, seen, 0)
			s.arrived = append(s.arrived, c)
		}
	}
}

// decideRun makes a sidecar decide to run one of its calls. ExecuteRun runs it later,
// if the sidecar lives so long.
func (sim *onceSim) decideRun() {
	s := sim.randomSidecar()
	if !s.canAct() {
		return
	}
	for i := len(s.arrived) - 1; i >= max(0, len(s.arrived)-onceMaxCalls); i-- {
		if c := s.arrived[i]; s.claimer.TryStart(c) {
			s.pendingRuns = append(s.pendingRuns, c)
			return
		}
	}
}

// executeRun sends a call whose run was decided to the upstream. Sometimes the
// connection fails before the call is sent. The sidecar then undoes the start and bars
// the call.
func (sim *onceSim) executeRun() {
	s := sim.randomSidecar()
	if !s.canAct() || len(s.pendingRuns) == 0 {
		return
	}
	c := s.pendingRuns[0]
	s.pendingRuns = s.pendingRuns[1:]
	if sim.pick(8) == 0 {
		s.claimer.UndoStart(c)
		s.claimer.Bar(c)
		return
	}
	sim.effects[c]++
	s.claimer.Finish(c, 200, "", nil, sim.pick(4) == 0)
	sim.checkCall(c)
}

// barCall makes a router give up a call: its caller is told "not run" if a sidecar
// refuses the call, and otherwise the sidecar is asked to bar it.
func (sim *onceSim) barCall() {
	if sim.callCount == 0 {
		return
	}
	c := kcrid.CallID{Team: team, Key: kcrid.IdempotencyKey(fmt.Sprint(sim.callCount - sim.pick(min(sim.callCount, onceRetriedCalls))))}
	s := sim.randomSidecar()
	if !s.canAct() {
		return
	}
	if progress, _ := s.claimer.Progress(c); progress == kcrintent.Refused {
		sim.toldNotRun[c] = true
		sim.checkCall(c)
		return
	}
	s.claimer.Bar(c)
}

// injectFault injects a random fault, or none.
func (sim *onceSim) injectFault() {
	s := sim.randomSidecar()
	switch sim.pick(12) {
	case 0:
		s.killed = true
		sim.sidecars = slices.DeleteFunc(sim.sidecars, func(o *plainSidecar) bool { return o == s })
		sim.addSidecar()
	case 1:
		sim.logDown = true
	case 2:
		s.cutFromLog = true
	case 3, 4:
		s.frozen = true
	case 5, 6:
		sim.deliverLateCopy()
	}
}

// checkCall records a violation if a call ran twice, or ran and was reported as "not run".
func (sim *onceSim) checkCall(c kcrid.CallID) {
	switch n := sim.effects[c]; {
	case n > 1:
		sim.violation = fmt.Errorf("call %s: expected at most 1 effect, got %d", c.Key, n)
	case n > 0 && sim.toldNotRun[c]:
		sim.violation = fmt.Errorf("call %s: told \"not run\", and it ran", c.Key)
	}
}

// OnceMutants returns the mutants of the proof that a call runs at most once.
func OnceMutants() []Mutant[kcrintent.Rules] {
	return []Mutant[kcrintent.Rules]{
		{"a second intent wins too", func(r *kcrintent.Rules) {
			r.CanClaim = func(s kcrintent.State) bool { return s == kcrintent.Unrecorded || s == kcrintent.Claimed }
		}},
		{"a barred call can be claimed", func(r *kcrintent.Rules) {
			r.CanClaim = func(s kcrintent.State) bool { return s == kcrintent.Unrecorded || s == kcrintent.Barred }
		}},
		{"a call older than the book's memory can be claimed", func(r *kcrintent.Rules) {
			r.WithinHorizon = func(_, _ kcrid.Offset) bool { return true }
		}},
		{"a bar wins over the claim of another", func(r *kcrintent.Rules) {
			r.CanBar = func(kcrintent.State, bool) bool { return true }
		}},
	}
}
