package kcrnode

import (
	"encoding/json"
	"strconv"
	"time"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrcrash"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file shares with the other routers which requests and parts of prompts crash upstreams.
// Invariants: what an upstream's crash has counted is undone once its entry shows that it still
// runs; each router decides that for itself. A router that has just started sends requests only
// once it has learned of the crashes, or as neither the log nor a peer told of them in time.

// reportCrash tells the other routers that a request crashed an upstream.
func (n *Node) reportCrash(c kcrcrash.Crash) {
	n.noteCrash(c.Upstream)
	n.reportSuspect(c.Content, c.Upstream)
}

// reportCleared tells the other routers that a request content is harmless.
func (n *Node) reportCleared(content kcrid.ContentHash) { n.reportSuspect(content, "") }

// reportSuspect tells the other routers of a crash, or without an upstream that the content
// is harmless.
func (n *Node) reportSuspect(content kcrid.ContentHash, upstream kcrid.Incarnation) {
	n.peers.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Suspect{Suspect: &kcrentry.Suspect{
		Content: uint64(content), Server: string(upstream),
	}}})
	n.peerFollower.Wake()
}

// reportParts tells the other routers the levels of parts of prompts.
func (n *Node) reportParts(levels []kcrcrash.PartLevel) {
	parts := &kcrentry.Parts{}
	for _, p := range levels {
		n.noteCrash(p.Upstream)
		parts.Parts = append(parts.Parts, &kcrentry.Part{Id: uint64(p.Part), Level: uint32(p.Level), Server: string(p.Upstream)})
	}
	n.peers.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Parts{Parts: parts}})
	n.peerFollower.Wake()
}

// applySuspect applies what another router has reported of a request content: a crash, or
// that it is harmless.
func (n *Node) applySuspect(e *kcrentry.Entry) {
	s := e.GetSuspect()
	if s == nil || kcrid.Incarnation(e.GetWriter()) == n.self {
		return
	}
	crash := kcrcrash.Crash{Content: kcrid.ContentHash(s.GetContent()), Upstream: kcrid.Incarnation(s.GetServer())}
	if crash.Upstream == "" {
		n.crashes.Clear(crash.Content)
		n.logger.Info("content cleared by another router", "content", s.GetContent(), "by", e.GetWriter())
		return
	}
	if n.peers.Ready() {
		n.table.RecordLost(n.clock.Now(), crash.Upstream)
	}
	counted, mustClear := n.crashes.RecordReport(crash)
	if counted {
		n.noteCrash(crash.Upstream)
		n.logger.Info("crash reported", "content", s.GetContent(), "id", s.GetServer(), "count", n.crashes.CrashedUpstreams(crash.Content), "by", e.GetWriter())
	}
	if mustClear && n.peers.Ready() {
		n.reportCleared(crash.Content)
	}
}

// applyParts applies the levels of parts of prompts that another router has reported.
func (n *Node) applyParts(e *kcrentry.Entry) {
	if kcrid.Incarnation(e.GetWriter()) == n.self {
		return
	}
	var cleared []kcrcrash.PartLevel
	for _, p := range e.GetParts().GetParts() {
		level := kcrcrash.PartLevel{Part: kcrcrash.Part(p.GetId()), Level: int(p.GetLevel()), Upstream: kcrid.Incarnation(p.GetServer())}
		switch {
		case level.Level == 0:
			n.partSuspects.Clear(level.Part)
		case n.partSuspects.Raise(level):
			cleared = append(cleared, kcrcrash.PartLevel{Part: level.Part})
		default:
			n.noteCrash(level.Upstream)
		}
		n.logger.Info("part reported", "part", strconv.FormatUint(p.GetId(), 16), "level", level.Level, "by", e.GetWriter())
	}
	if len(cleared) > 0 && n.peers.Ready() {
		n.reportParts(cleared)
	}
}

// tellBans tells which contents and parts are banned to a router that has joined, or once the
// log has come back from an older copy: it may lack the records. A few routers do it.
func (n *Node) tellBans() {
	if n.peers.Rank(n.clock.Now(), string(kcrid.PeerStream)) >= banTellers {
		return
	}
	for _, crash := range n.crashes.BannedCrashes() {
		n.reportSuspect(crash.Content, crash.Upstream)
	}
	if banned := n.partSuspects.Banned(); len(banned) > 0 {
		n.reportParts(banned)
	}
}

// banTellers is how many routers tell one that has joined what is banned.
const banTellers = 2

// noteCrash records that a crash of an upstream was counted.
func (n *Node) noteCrash(upstream kcrid.Incarnation) {
	n.crashesKnown.Store(true)
	n.crashReview.Counted(n.clock.Now(), upstream)
}

// crashState is what a snapshot of the peer stream holds: the log deletes the reports after its
// retention time, and all routers may end at once.
type crashState struct {
	Crashes []kcrcrash.Crash     `json:"crashes"`
	Parts   []kcrcrash.PartLevel `json:"parts"`
}

// maxSnapshotCrashes bounds the contents and the parts in a snapshot.
const maxSnapshotCrashes = 1024

// snapshotCrashes returns the encoded crashes, as of the last record of the peer stream.
func (n *Node) snapshotCrashes() (kcrid.Offset, []byte, error) {
	at := n.peers.At()
	state, err := json.Marshal(n.crashState())
	return at, state, err
}

// crashState returns the newest crashes.
func (n *Node) crashState() crashState {
	return crashState{Crashes: n.crashes.NewestCrashes(maxSnapshotCrashes), Parts: n.partSuspects.Newest(maxSnapshotCrashes)}
}

// maxCrashWait is how long after its first configuration a router waits until it learns of the
// crashes. It allows for a read of the log that fails and another one.
const maxCrashWait = 500 * kcrclock.Millisecond

// awaitCrashes waits until this router has learned of the crashes, or maxCrashWait is over.
func (n *Node) awaitCrashes() {
	left := n.configuredAt.Load() + int64(maxCrashWait) - int64(n.clock.Now())
	if left <= 0 {
		return
	}
	timer := time.NewTimer(kcrclock.Duration(left).Std())
	defer timer.Stop()
	select {
	case <-n.crashesLearned:
	case <-timer.C:
	}
}

// writesCrashes reports whether this router writes the snapshots of the peer stream. None are
// written before any upstream has crashed.
func (n *Node) writesCrashes() bool {
	return n.crashesKnown.Load() && n.peers.Ready() && n.peers.OwnsItem(n.clock.Now(), string(kcrid.PeerStream))
}

// restoreCrashes adds the crashes of a snapshot.
func (n *Node) restoreCrashes(data []byte) (bool, error) {
	var state crashState
	if err := json.Unmarshal(data, &state); err != nil {
		return false, err
	}
	n.addCrashes(state)
	n.logger.Info("crashes read from a snapshot", "crashes", len(state.Crashes), "parts", len(state.Parts))
	return true, nil
}

// addCrashes adds the crashes of a snapshot or of a peer.
func (n *Node) addCrashes(state crashState) {
	for _, crash := range state.Crashes {
		if counted, _ := n.crashes.RecordReport(crash); counted {
			n.noteCrash(crash.Upstream)
		}
	}
	for _, level := range state.Parts {
		n.partSuspects.Raise(level)
		n.noteCrash(level.Upstream)
	}
}

// retractCrashes undoes the crashes of upstreams that still run.
func (n *Node) retractCrashes(now kcrclock.Time) {
	for _, upstream := range n.crashReview.Running(now, n.presentSince) {
		contents, parts := n.crashes.Retract(upstream), n.partSuspects.Retract(upstream)
		n.logger.Info("crash retracted: the upstream still runs", "id", string(upstream), "contents", len(contents), "parts", len(parts))
	}
}

// presentSince returns since when the store has an entry of an upstream.
func (n *Node) presentSince(upstream kcrid.Incarnation) (since kcrclock.Time, ok bool) {
	born, err := strconv.ParseInt(upstream.Run(), 10, 64)
	if err != nil {
		return 0, false
	}
	return n.fleet.PresentSince(upstream.VM(), born)
}
