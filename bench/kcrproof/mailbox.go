package kcrproof

import (
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrlog"
)

// mailbox holds messages that are under way. They arrive mostly in order.
type mailbox struct {
	pick Pick
	mail []func()
}

func (m *mailbox) put(f func()) {
	m.mail = append(m.mail, f)
	if len(m.mail) > mailMost {
		m.mail = m.mail[1:]
	}
}

// deliver lets one message arrive, if there is one.
func (m *mailbox) deliver() {
	if len(m.mail) == 0 {
		return
	}
	i := m.pick(len(m.mail))
	if m.pick(3) > 0 {
		i = 0
	}
	f := m.mail[i]
	m.mail = append(m.mail[:i], m.mail[i+1:]...)
	f()
}

// entries reads the records of a batch.
func entries(records [][]byte) (out []*kcrentry.Entry, err error) {
	for _, data := range records {
		e, err := kcrlog.Decode(data)
		if err != nil {
			return out, err
		}
		out = append(out, e)
	}
	return out, nil
}
