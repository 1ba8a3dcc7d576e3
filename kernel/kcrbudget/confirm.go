package kcrbudget

import "kingcuprun.example/kernel/kcrclock"

// This file measures how long a log takes to bring a record into effect: from when it is queued until
// its writer has read it back. Invariant: while a record is under way for longer than usual, the time
// is at least its age, so that a log that turns slow is noticed before it answers.

// confirmDecay is the weight of a record that was confirmed sooner than usual. One that took longer
// counts in full.
const confirmDecay = 0.5

// confirmTimer measures one record at a time. Its zero value is ready to use.
type confirmTimer struct {
	usual  kcrclock.Duration
	seq    uint64        // sequence number of the record that is measured, 0 for none
	sentAt kcrclock.Time // when it was queued
}

// sent starts to measure a record, unless one is measured already.
func (c *confirmTimer) sent(now kcrclock.Time, seq uint64) {
	if c.seq == 0 {
		c.seq, c.sentAt = seq, now
	}
}

// confirm ends the measurement if its record is among those up to applied.
func (c *confirmTimer) confirm(now kcrclock.Time, applied uint64) {
	if c.seq == 0 || c.seq > applied {
		return
	}
	took := now.Sub(c.sentAt)
	if took < c.usual {
		took = c.usual - kcrclock.Duration(confirmDecay*float64(c.usual-took))
	}
	c.usual, c.seq = took, 0
}

// time returns how long a record takes that is queued now.
func (c *confirmTimer) time(now kcrclock.Time) kcrclock.Duration {
	if c.seq == 0 {
		return c.usual
	}
	return max(c.usual, now.Sub(c.sentAt))
}

// ConfirmTime returns how long the log takes to bring a record of the wallet into effect.
func (w *Wallet) ConfirmTime(now kcrclock.Time) kcrclock.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirms.time(now)
}
