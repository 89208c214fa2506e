package wasabiloop

import "github.com/wasabiridge/wasabiridge"

// Mailbox holds the effects that wait for one request. The goroutine of the
// request reads it; only the loop writes and closes it.
type Mailbox struct {
	effects chan wasabiridge.Effect
	closed  bool
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox {
	return &Mailbox{effects: make(chan wasabiridge.Effect, mailboxSize)}
}

// Effects returns the effects in their order. The channel is closed when the
// loop ends or when the mailbox overflowed; the request is to be given up
// then.
func (m *Mailbox) Effects() <-chan wasabiridge.Effect {
	return m.effects
}

// offer reports false when the mailbox is full. It never waits: one request
// that stands still must not hold up the decisions of all others.
func (m *Mailbox) offer(e wasabiridge.Effect) bool {
	if m.closed {
		return false
	}
	select {
	case m.effects <- e:
		return true
	default:
		return false
	}
}

func (m *Mailbox) close() {
	if !m.closed {
		m.closed = true
		close(m.effects)
	}
}
