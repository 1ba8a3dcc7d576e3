package kcrproof

import (
	"bytes"
	"fmt"
	"slices"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlist"
)

// This file proves that an accepted configuration never reverts. In the simulation
// operators publish concurrently, processes read the log late or in part, start
// from snapshots or from peers, and old snapshots arrive late. Each publication
// adds one top-up, so an accepted version must have as many top-ups as there are
// accepted versions up to it.

const configReaderCount = 4

// configReader is a process that reads the configuration from the log. Version and
// topupCount are those of the last check.
type configReader struct {
	state      *kcrlist.State
	version    kcrid.Offset
	topupCount int
}

// configSim is the simulation of the configuration proof. PendingAppends are appends
// that have not taken effect; acceptedVersions is sorted.
type configSim struct {
	pick             Pick
	rules            kcrlist.Rules
	log              []*kcrentry.Entry
	readers          []*configReader
	snapshots        [][]byte
	pendingAppends   []*kcrentry.Entry
	serial           int
	acceptedVersions []kcrid.Offset
	violation        error
}

// CheckConfig runs one schedule and returns the first violation. Versions is the
// number of accepted publications.
func CheckConfig(rules kcrlist.Rules, pick Pick, steps int) (versions int, err error) {
	sim := &configSim{pick: pick, rules: rules}
	for range configReaderCount {
		sim.readers = append(sim.readers, &configReader{state: kcrlist.NewState(rules)})
	}
	for i := 0; i < steps && sim.violation == nil; i++ {
		sim.step()
	}
	return len(sim.acceptedVersions), sim.violation
}

// step makes one random step and checks the reader that may have taken part.
func (sim *configSim) step() {
	r := sim.readers[sim.pick(len(sim.readers))]
	switch sim.pick(10) {
	case 0:
		sim.publish(r)
	case 1, 2:
		sim.completeAppend()
	case 3:
		sim.takeSnapshot(r)
	case 4:
		sim.restoreSnapshot(r)
	case 5:
		sim.restartReader()
	default:
		sim.applyNextRecord(r)
	}
	sim.checkReader(r)
}

// publish makes an operator publish one more top-up, based on the version that the
// reader has, which may be old.
func (sim *configSim) publish(r *configReader) {
	sim.serial++
	config := r.state.PlanConfigs()["plan"]
	config.Plan.Name, config.Plan.Team = "plan", team
	config.Plan.TopUps = append(slices.Clone(config.Plan.TopUps), kcrlist.TopUp{Name: fmt.Sprint(sim.serial), Tokens: 1})
	data, err := kcrlist.Change{Set: []kcrlist.PlanConfig{config}}.Encode()
	if err != nil {
		sim.violation = err
		return
	}
	sim.pendingAppends = append(sim.pendingAppends, &kcrentry.Entry{Kind: &kcrentry.Entry_Publish{Publish: &kcrentry.Publish{
		Base: uint64(r.state.Version()), Change: data,
	}}})
}

// completeAppend makes a random pending append take effect, perhaps late and perhaps
// twice.
func (sim *configSim) completeAppend() {
	if len(sim.pendingAppends) == 0 {
		return
	}
	i := sim.pick(len(sim.pendingAppends))
	sim.log = append(sim.log, sim.pendingAppends[i])
	if sim.pick(4) > 0 {
		sim.pendingAppends = slices.Delete(sim.pendingAppends, i, i+1)
	}
}

// takeSnapshot adds a snapshot of a process to those that can be restored.
func (sim *configSim) takeSnapshot(r *configReader) {
	_, data, err := r.state.Snapshot()
	if err != nil {
		sim.violation = err
	}
	sim.snapshots = append(sim.snapshots, data)
}

// restoreSnapshot makes a process load a random snapshot, which may be old.
func (sim *configSim) restoreSnapshot(r *configReader) {
	if len(sim.snapshots) == 0 {
		return
	}
	if _, err := r.state.Restore(sim.snapshots[sim.pick(len(sim.snapshots))]); err != nil {
		sim.violation = err
	}
}

// restartReader replaces a random process with a new one that has no state.
func (sim *configSim) restartReader() {
	sim.readers[sim.pick(len(sim.readers))] = &configReader{state: kcrlist.NewState(sim.rules)}
}

// applyNextRecord makes a process read one record of the log.
func (sim *configSim) applyNextRecord(r *configReader) {
	applied := int(r.state.At())
	if applied >= len(sim.log) {
		return
	}
	verdict := r.state.Apply(kcrid.Offset(applied+1), sim.log[applied])
	if verdict.Accepted && !slices.Contains(sim.acceptedVersions, kcrid.Offset(applied+1)) {
		sim.acceptedVersions = append(sim.acceptedVersions, kcrid.Offset(applied+1))
		slices.Sort(sim.acceptedVersions)
	}
}

// checkReader compares a process with its own previous state and with the processes
// that have read as much of the log.
func (sim *configSim) checkReader(r *configReader) {
	topups := len(r.state.PlanConfigs()["plan"].Plan.TopUps)
	if r.state.Version() < r.version || topups < r.topupCount {
		sim.violation = fmt.Errorf("version %d with %d top-ups came after %d with %d", r.state.Version(), topups, r.version, r.topupCount)
	}
	r.version, r.topupCount = r.state.Version(), topups
	i := slices.Index(sim.acceptedVersions, r.state.Version())
	if i >= 0 && topups != i+1 {
		sim.violation = fmt.Errorf("version %d: expected %d top-ups, one of each accepted version, got %d", r.state.Version(), i+1, topups)
	}
	for _, o := range sim.readers {
		if o.state.At() == r.state.At() && !equalStates(o.state, r.state) {
			sim.violation = fmt.Errorf("two processes at offset %d differ", r.state.At())
		}
	}
}

// equalStates reports whether two states have the same snapshot.
func equalStates(a, b *kcrlist.State) bool {
	_, x, errX := a.Snapshot()
	_, y, errY := b.Snapshot()
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// ConfigMutants returns the mutants of the configuration proof.
func ConfigMutants() []Mutant[kcrlist.Rules] {
	return []Mutant[kcrlist.Rules]{
		{"a publication may replace any version", func(r *kcrlist.Rules) {
			r.BaseMatches = func(_, _ kcrid.Offset) bool { return true }
		}},
		{"a late snapshot replaces a newer state", func(r *kcrlist.Rules) {
			r.SnapshotNewer = func(_, _ kcrid.Offset) bool { return true }
		}},
	}
}
