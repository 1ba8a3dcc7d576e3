package kcrproof

import (
	"bytes"
	"fmt"
	"slices"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlist"
)

// This file proves that an accepted configuration never reverts: operators
// race, processes read the log late or in part, start from snapshots or from
// peers, and old snapshots arrive late.

const configReaders = 4

// configReader is a process that follows the configuration.
type configReader struct {
	state   *kcrlist.State
	version kcrid.Offset
	topups  int
}

// configWorld is one run of the proof.
type configWorld struct {
	pick     Pick
	rules    kcrlist.Rules
	log      []*kcrentry.Entry
	readers  []*configReader
	snaps    [][]byte
	mail     []*kcrentry.Entry
	serial   int
	accepted []kcrid.Offset
	broken   error
}

// Config runs one schedule and returns the first violation. Versions is the
// number of accepted publications.
func Config(rules kcrlist.Rules, pick Pick, steps int) (versions int, err error) {
	w := &configWorld{pick: pick, rules: rules}
	for range configReaders {
		w.readers = append(w.readers, &configReader{state: kcrlist.NewState(rules)})
	}
	for i := 0; i < steps && w.broken == nil; i++ {
		w.step()
	}
	return len(w.accepted), w.broken
}

func (w *configWorld) step() {
	r := w.readers[w.pick(len(w.readers))]
	switch w.pick(10) {
	case 0:
		w.publish(r)
	case 1, 2:
		w.land()
	case 3:
		w.snapshot(r)
	case 4:
		w.restore(r)
	case 5:
		w.restart()
	default:
		w.read(r)
	}
	w.check(r)
}

// publish lets an operator who read up to some point publish another top-up.
func (w *configWorld) publish(r *configReader) {
	w.serial++
	item := r.state.Items()["plan"]
	item.Plan.Name, item.Plan.Team = "plan", team
	item.Plan.Topups = append(slices.Clone(item.Plan.Topups), kcrlist.Topup{Name: fmt.Sprint(w.serial), Tokens: 1})
	data, err := kcrlist.Change{Set: []kcrlist.Item{item}}.Encode()
	if err != nil {
		w.broken = err
		return
	}
	w.mail = append(w.mail, &kcrentry.Entry{Kind: &kcrentry.Entry_Publish{Publish: &kcrentry.Publish{
		Base: uint64(r.state.Version()), Change: data,
	}}})
}

// land lets an append take effect, perhaps late and perhaps twice.
func (w *configWorld) land() {
	if len(w.mail) == 0 {
		return
	}
	i := w.pick(len(w.mail))
	w.log = append(w.log, w.mail[i])
	if w.pick(4) > 0 {
		w.mail = slices.Delete(w.mail, i, i+1)
	}
}

func (w *configWorld) snapshot(r *configReader) {
	_, data, err := r.state.Snapshot()
	if err != nil {
		w.broken = err
	}
	w.snaps = append(w.snaps, data)
}

// restore lets a process load any snapshot, old ones too.
func (w *configWorld) restore(r *configReader) {
	if len(w.snaps) == 0 {
		return
	}
	if _, err := r.state.Restore(w.snaps[w.pick(len(w.snaps))]); err != nil {
		w.broken = err
	}
}

func (w *configWorld) restart() {
	w.readers[w.pick(len(w.readers))] = &configReader{state: kcrlist.NewState(w.rules)}
}

func (w *configWorld) read(r *configReader) {
	at := int(r.state.At())
	if at >= len(w.log) {
		return
	}
	v := r.state.Apply(kcrid.Offset(at+1), w.log[at])
	if v.Accepted && !slices.Contains(w.accepted, kcrid.Offset(at+1)) {
		w.accepted = append(w.accepted, kcrid.Offset(at+1))
		slices.Sort(w.accepted)
	}
}

// check compares a process with its own past and with the others.
func (w *configWorld) check(r *configReader) {
	topups := len(r.state.Items()["plan"].Plan.Topups)
	if r.state.Version() < r.version || topups < r.topups {
		w.broken = fmt.Errorf("version %d with %d top-ups came after %d with %d", r.state.Version(), topups, r.version, r.topups)
	}
	r.version, r.topups = r.state.Version(), topups
	i := slices.Index(w.accepted, r.state.Version())
	if i >= 0 && topups != i+1 {
		w.broken = fmt.Errorf("version %d: expected %d top-ups, one of each accepted version, got %d", r.state.Version(), i+1, topups)
	}
	for _, o := range w.readers {
		if o.state.At() == r.state.At() && !same(o.state, r.state) {
			w.broken = fmt.Errorf("two processes at offset %d differ", r.state.At())
		}
	}
}

func same(a, b *kcrlist.State) bool {
	_, x, errX := a.Snapshot()
	_, y, errY := b.Snapshot()
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// ConfigMutants returns the mutants of this proof.
func ConfigMutants() []Mutant[kcrlist.Rules] {
	return []Mutant[kcrlist.Rules]{
		{"a publication may replace any version", func(r *kcrlist.Rules) {
			r.Replaces = func(_, _ kcrid.Offset) bool { return true }
		}},
		{"a late snapshot replaces a newer state", func(r *kcrlist.Rules) {
			r.Newer = func(_, _ kcrid.Offset) bool { return true }
		}},
	}
}
