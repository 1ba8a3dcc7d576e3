package kcrnode

import (
	"strconv"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrcrash"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file shares with the other routers which requests and parts of prompts crash upstreams.
// Invariant: what an upstream's crash has counted is undone once its entry shows that it still
// runs; each router decides that for itself.

// reportCrash tells the other routers that a request crashed an upstream.
func (n *Node) reportCrash(c kcrcrash.Crash) {
	n.crashReview.Counted(n.clock.Now(), c.Upstream)
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
		n.crashReview.Counted(n.clock.Now(), p.Upstream)
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
	counted, mustClear := n.crashes.RecordReport(crash)
	if counted {
		n.crashReview.Counted(n.clock.Now(), crash.Upstream)
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
			n.crashReview.Counted(n.clock.Now(), level.Upstream)
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
		n.reportCrash(crash)
	}
	if banned := n.partSuspects.Banned(); len(banned) > 0 {
		n.reportParts(banned)
	}
}

// banTellers is how many routers tell one that has joined what is banned.
const banTellers = 2

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
