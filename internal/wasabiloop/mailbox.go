package wasabiloop

import "github.com/wasabiridge/wasabiridge"

// Mailbox is the queue of effects for one request. The goroutine of the request
// receives from it; only the loop sends to it and closes it.
type Mailbox struct {
	effects chan wasabiridge.Effect
	closed  bool
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox {
	return &Mailbox{effects: make(chan wasabiridge.Effect, mailboxSize)}
}

// Effects returns the channel of effects, in the order of the decider. The channel is
// closed when the loop is closed, or when the mailbox overflows; the receiver must
// abort its request then.
func (m *Mailbox) Effects() <-chan wasabiridge.Effect {
	return m.effects
}

// offer adds an effect, or returns false if the mailbox is full or closed. It never
// blocks, because one stalled request must not delay the decisions for all others.
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
