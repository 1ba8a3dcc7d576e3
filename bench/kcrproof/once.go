package kcrproof

import (
	"fmt"
	"slices"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrintent"
)

// This file proves that a non-idempotent call runs at most once, and not at
// all where anybody was told "not run". Calls reach several sidecars, some of
// them long after they were sent; sidecars freeze between the decision to run
// and the run; appends are lost, repeated and late.

const (
	onceDesks  = 3
	onceMemory = 12 // calls that the book remembers
	onceRecent = 6  // newest calls that callers still retry
)

// deskNode is a sidecar of a plain service.
type deskNode struct {
	desk   *kcrintent.Desk
	cursor int
	frozen bool
	cut    bool
	dead   bool
	known  []kcrid.Call
	going  []kcrid.Call // runs that were decided and have not happened
}

// onceWorld is one run of the proof.
type onceWorld struct {
	pick    Pick
	rules   kcrintent.Rules
	log     []*kcrentry.Entry
	down    bool
	desks   []*deskNode
	mail    mailbox
	late    []func()
	serial  int
	calls   int
	effects map[kcrid.Call]int
	told    map[kcrid.Call]bool // "not run"
	broken  error
}

// Once runs one schedule and returns the first violation. Ran is the number of
// effects, to show that the run did something.
func Once(rules kcrintent.Rules, pick Pick, steps int) (ran int, err error) {
	w := &onceWorld{pick: pick, mail: mailbox{pick: pick}, rules: rules, effects: map[kcrid.Call]int{}, told: map[kcrid.Call]bool{}}
	for range onceDesks {
		w.addDesk()
	}
	for i := 0; i < steps && w.broken == nil; i++ {
		w.step()
	}
	for _, n := range w.effects {
		ran += n
	}
	return ran, w.broken
}

func (w *onceWorld) addDesk() {
	w.serial++
	name := kcrid.Incarnation(fmt.Sprintf("desk-%d", w.serial))
	w.desks = append(w.desks, &deskNode{desk: kcrintent.NewDesk(name, w.rules, onceMemory)})
}

func (w *onceWorld) step() {
	w.heal()
	switch n := w.pick(200); {
	case n < 60:
		w.deliver()
	case n < 90:
		w.read()
	case n < 115:
		w.write()
	case n < 140:
		w.send()
	case n < 160:
		w.run()
	case n < 185:
		w.happen()
	case n < 194:
		w.giveUp()
	default:
		w.fault()
	}
}

func (w *onceWorld) heal() {
	w.down = w.down && w.pick(healLog) > 0
	for _, d := range w.desks {
		if w.pick(healHome) == 0 {
			d.frozen, d.cut = false, false
		}
	}
}

func (w *onceWorld) any() *deskNode { return w.desks[w.pick(len(w.desks))] }

func (d *deskNode) acts() bool { return !d.frozen && !d.dead }

func (w *onceWorld) deliver() { w.mail.deliver() }

// deliverLate lets a copy arrive that was under way for long.
func (w *onceWorld) deliverLate() {
	if len(w.late) == 0 {
		return
	}
	i := w.pick(len(w.late))
	w.late[i]()
	w.late = slices.Delete(w.late, i, i+1)
}

func (w *onceWorld) read() {
	d := w.any()
	if !d.acts() || d.cut || w.down {
		return
	}
	for n := w.pick(8) + 1; n > 0 && d.cursor < len(w.log); n-- {
		d.desk.Apply(0, kcrid.Offset(d.cursor+1), w.log[d.cursor])
		d.cursor++
	}
	if d.cursor == len(w.log) {
		d.desk.Ready()
	}
}

func (w *onceWorld) write() {
	d := w.any()
	if !d.acts() || d.cut || w.down {
		return
	}
	records, _ := d.desk.Batch(w.pick(4) + 1)
	switch w.pick(5) {
	case 0:
	case 1:
		w.mail.put(func() { w.land(records) })
	default:
		w.land(records)
	}
}

func (w *onceWorld) land(records [][]byte) {
	batch, err := entries(records)
	if err != nil {
		w.broken = err
	}
	w.log = append(w.log, batch...)
}

// send lets a caller send a call, new or again, to a sidecar; copies of it may
// arrive at others, late.
func (w *onceWorld) send() {
	if w.calls == 0 || w.pick(3) == 0 {
		w.calls++
	}
	c := kcrid.Call{Team: team, Key: kcrid.Key(fmt.Sprint(w.calls - w.pick(min(w.calls, onceRecent))))}
	seen := kcrid.Offset(len(w.log))
	w.mail.put(w.arrive(c, seen))
	switch w.pick(4) {
	case 0:
		w.mail.put(w.arrive(c, seen))
	case 1:
		w.late = append(w.late, w.arrive(c, seen))
	}
}

// arrive returns the arrival of a call at a sidecar.
func (w *onceWorld) arrive(c kcrid.Call, seen kcrid.Offset) func() {
	return func() {
		if d := w.any(); d.acts() {
			d.desk.Claim(c, seen, 0)
			d.known = append(d.known, c)
		}
	}
}

// run lets a sidecar decide; the run itself comes later, if at all.
func (w *onceWorld) run() {
	d := w.any()
	if !d.acts() {
		return
	}
	for i := len(d.known) - 1; i >= max(0, len(d.known)-onceMemory); i-- {
		if c := d.known[i]; d.desk.Run(c) {
			d.going = append(d.going, c)
			return
		}
	}
}

// happen lets a decided run reach the upstream.
func (w *onceWorld) happen() {
	d := w.any()
	if !d.acts() || len(d.going) == 0 {
		return
	}
	c := d.going[0]
	d.going = d.going[1:]
	if w.pick(8) == 0 {
		d.desk.Release(c)
		d.desk.Bar(c)
		return
	}
	w.effects[c]++
	d.desk.Finish(c, 200, "", nil, w.pick(4) == 0)
	w.check(c)
}

// giveUp lets a router bar a call at a sidecar and tell its caller.
func (w *onceWorld) giveUp() {
	if w.calls == 0 {
		return
	}
	c := kcrid.Call{Team: team, Key: kcrid.Key(fmt.Sprint(w.calls - w.pick(min(w.calls, onceRecent))))}
	d := w.any()
	if !d.acts() {
		return
	}
	if p, _ := d.desk.Ask(c); p == kcrintent.Refused {
		w.told[c] = true
		w.check(c)
		return
	}
	d.desk.Bar(c)
}

func (w *onceWorld) fault() {
	d := w.any()
	switch w.pick(12) {
	case 0:
		d.dead = true
		w.desks = slices.DeleteFunc(w.desks, func(o *deskNode) bool { return o == d })
		w.addDesk()
	case 1:
		w.down = true
	case 2:
		d.cut = true
	case 3, 4:
		d.frozen = true
	case 5, 6:
		w.deliverLate()
	}
}

func (w *onceWorld) check(c kcrid.Call) {
	switch n := w.effects[c]; {
	case n > 1:
		w.broken = fmt.Errorf("call %s: expected at most 1 effect, got %d", c.Key, n)
	case n > 0 && w.told[c]:
		w.broken = fmt.Errorf("call %s: told \"not run\", and it ran", c.Key)
	}
}

// OnceMutants returns the mutants of this proof.
func OnceMutants() []Mutant[kcrintent.Rules] {
	return []Mutant[kcrintent.Rules]{
		{"a second intent wins too", func(r *kcrintent.Rules) {
			r.First = func(s kcrintent.State) bool { return s == kcrintent.Unheard || s == kcrintent.Claimed }
		}},
		{"a barred call can be claimed", func(r *kcrintent.Rules) {
			r.First = func(s kcrintent.State) bool { return s == kcrintent.Unheard || s == kcrintent.Barred }
		}},
		{"a call older than the book's memory can be claimed", func(r *kcrintent.Rules) {
			r.Recent = func(_, _ kcrid.Offset) bool { return true }
		}},
		{"a bar wins over the claim of another", func(r *kcrintent.Rules) {
			r.Bars = func(kcrintent.State, bool) bool { return true }
		}},
	}
}
