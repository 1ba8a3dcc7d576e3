// Package kcrtransfer bounds the time of a transfer by its progress, so that a large message
// over a slow link is not given up while it arrives.
package kcrtransfer

import (
	"net"
	"time"
)

// This file defines Conn. Invariant: a peer that falls silent, sends a few bytes now and then,
// or sends more than the largest message is given up.

const (
	// MinRate is the average rate, in bytes per second, below which a transfer is given up.
	MinRate = 64 << 10
	// MaxPause is the longest pause within a transfer.
	MaxPause = 1200 * time.Millisecond
)

// Conn is a connection whose read deadline bounds the wait for the first bytes of a message;
// while they arrive, it moves on. SetReadDeadline must be called before each message, and not
// while a read is in progress.
type Conn struct {
	net.Conn
	maxMessage int       // bytes of the largest message
	deadline   time.Time // as it was set, zero for none
	began      time.Time // when the first bytes of the message arrived
	received   int       // bytes of the message
}

// New returns a connection that extends the read deadlines of c, for messages of at most
// maxMessage bytes.
func New(c net.Conn, maxMessage int) *Conn { return &Conn{Conn: c, maxMessage: maxMessage} }

// SetReadDeadline sets the time until which the first bytes of the next message must arrive.
// The zero time removes the bound.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadline, c.received = t, 0
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the write deadline, and the read deadline as SetReadDeadline does.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Read reads and moves the deadline on.
func (c *Conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if n == 0 || err != nil || c.deadline.IsZero() {
		return n, err
	}
	now := time.Now()
	if c.received == 0 {
		c.began = now
	}
	c.received += n
	if c.received > c.maxMessage {
		return n, c.Conn.SetReadDeadline(now)
	}
	latest := c.began.Add(MaxPause + time.Duration(c.received)*time.Second/MinRate)
	if next := now.Add(MaxPause); next.Before(latest) {
		latest = next
	}
	if latest.Before(c.deadline) {
		return n, nil
	}
	return n, c.Conn.SetReadDeadline(latest)
}
