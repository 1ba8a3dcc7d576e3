package kcrproof

import (
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the message queue of the simulations and the decoding of
// appended records.

// messageQueue holds messages that were sent and not delivered. They are delivered
// mostly in order. A full queue drops its oldest message.
type messageQueue struct {
	pick     Pick
	messages []func()
}

// enqueue adds the function that delivers a message.
func (m *messageQueue) enqueue(f func()) {
	m.messages = append(m.messages, f)
	if len(m.messages) > maxQueuedMessages {
		m.messages = m.messages[1:]
	}
}

// deliver delivers one message, if there is one: mostly the oldest, otherwise a random
// one.
func (m *messageQueue) deliver() {
	if len(m.messages) == 0 {
		return
	}
	i := m.pick(len(m.messages))
	if m.pick(3) > 0 {
		i = 0
	}
	f := m.messages[i]
	m.messages = append(m.messages[:i], m.messages[i+1:]...)
	f()
}

// decodeRecords decodes the records of a batch.
func decodeRecords(records [][]byte) (entries []*kcrentry.Entry, err error) {
	for _, data := range records {
		e, err := kcrlog.DecodeEntry(data)
		if err != nil {
			return entries, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}
