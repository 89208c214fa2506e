package wasabimember

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// queuedUpdate is an entry whose state is still being sent to other members,
// with the number of messages that carried it.
type queuedUpdate struct {
	entry *entry
	sends int
}

// updateQueue holds the updates to send, the most recent last.
type updateQueue struct {
	items []*queuedUpdate
}

// add appends the update of an entry and drops an older update of the same
// entry.
func (q *updateQueue) add(e *entry) {
	kept := q.items[:0]
	for _, u := range q.items {
		if u.entry != e {
			kept = append(kept, u)
		}
	}
	q.items = append(kept, &queuedUpdate{entry: e})
}

// take returns the updates for one message and counts them as sent. Updates
// that were sent least often go first, the most recent of them before the
// others: when a whole availability zone fails at once, no death has to wait
// until all other deaths were sent often enough.
func (q *updateQueue) take(now wasabiridge.Millis, limit int) []*entry {
	kept := q.items[:0]
	for _, u := range q.items {
		if u.sends < maxUpdateSends && now-u.entry.since <= updateLifetime {
			kept = append(kept, u)
		}
	}
	q.items = kept
	var out []*entry
	for sends := 0; sends < maxUpdateSends && len(out) < min(limit, len(q.items)); sends++ {
		for i := len(q.items) - 1; i >= 0 && len(out) < limit; i-- {
			if q.items[i].sends == sends {
				out = append(out, q.items[i].entry)
			}
		}
	}
	for _, u := range q.items {
		if slices.Contains(out, u.entry) {
			u.sends++
		}
	}
	return out
}

// tokenBucket limits how often something may happen. It refills at rate tokens
// per second up to burst. The zero value is empty and never refills.
type tokenBucket struct {
	burst, rate float64
	left        float64
	at          wasabiridge.Millis
}

func newTokenBucket(now wasabiridge.Millis, burst, rate float64) tokenBucket {
	return tokenBucket{burst: burst, rate: rate, left: burst, at: now}
}

func (a *tokenBucket) spend(now wasabiridge.Millis) bool {
	a.left = min(a.burst, a.left+a.rate*float64(now-a.at)/float64(wasabiridge.Second))
	a.at = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}

type leavingBackend struct {
	id       wasabiridge.BackendServerID
	received wasabiridge.Millis
}

// leavingBackends holds the names of backend servers that are leaving, and when
// each name was received.
type leavingBackends struct {
	names []leavingBackend
}

// add stores a name and reports whether it was new. After a name has been sent
// for backendUpdateLifetime it is still remembered until backendRetention has
// passed, or two instances would send it back and forth for ever.
func (l *leavingBackends) add(now wasabiridge.Millis, id wasabiridge.BackendServerID) bool {
	kept := l.names[:0]
	known := false
	for _, b := range l.names {
		if now-b.received > backendRetention {
			continue
		}
		kept = append(kept, b)
		known = known || b.id == id
	}
	l.names = kept
	if known {
		return false
	}
	l.names = append(l.names, leavingBackend{id: id, received: now})
	return true
}

// take returns the names for one message, the most recent first.
func (l *leavingBackends) take(now wasabiridge.Millis) []wasabiridge.BackendServerID {
	var out []wasabiridge.BackendServerID
	for i := len(l.names) - 1; i >= 0 && len(out) < backendsPerMessage; i-- {
		if now-l.names[i].received <= backendUpdateLifetime {
			out = append(out, l.names[i].id)
		}
	}
	return out
}
