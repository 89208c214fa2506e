package wasabimember

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// item is one piece of news that is handed on for a while.
type item struct {
	entry *entry
	sends int
}

// news holds what is handed on, the most recent last.
type news struct {
	items []*item
}

// add puts an entry in front. News of an entry replaces older news of it.
func (n *news) add(e *entry) {
	kept := n.items[:0]
	for _, it := range n.items {
		if it.entry != e {
			kept = append(kept, it)
		}
	}
	n.items = append(kept, &item{entry: e})
}

// take returns the entries for one message and counts them as sent. Those that
// were sent least go first, and the most recent among them: when a whole zone
// fails at once, no death waits until all others were told often enough.
func (n *news) take(now wasabiridge.Millis, limit int) []*entry {
	kept := n.items[:0]
	for _, it := range n.items {
		if it.sends < newsSends && now-it.entry.since <= newsLife {
			kept = append(kept, it)
		}
	}
	n.items = kept
	var out []*entry
	for sends := 0; sends < newsSends && len(out) < min(limit, len(n.items)); sends++ {
		for i := len(n.items) - 1; i >= 0 && len(out) < limit; i-- {
			if n.items[i].sends == sends {
				out = append(out, n.items[i].entry)
			}
		}
	}
	for _, it := range n.items {
		if slices.Contains(out, it.entry) {
			it.sends++
		}
	}
	return out
}

// allowance is a budget that fills up with time. The zero allowance is empty.
type allowance struct {
	burst, rate float64
	left        float64
	at          wasabiridge.Millis
}

func newAllowance(now wasabiridge.Millis, burst, rate float64) allowance {
	return allowance{burst: burst, rate: rate, left: burst, at: now}
}

func (a *allowance) spend(now wasabiridge.Millis) bool {
	a.left = min(a.burst, a.left+a.rate*float64(now-a.at)/float64(wasabiridge.Second))
	a.at = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}

type leavingBackend struct {
	id    wasabiridge.BackendServerID
	heard wasabiridge.Millis
}

// leavingBackends holds the names of backend servers that are handed on.
type leavingBackends struct {
	names []leavingBackend
}

// add takes up a name and reports whether it was new. A name rests for a while
// after it was handed on, or else two instances would pass it back and forth
// for ever.
func (l *leavingBackends) add(now wasabiridge.Millis, id wasabiridge.BackendServerID) bool {
	kept := l.names[:0]
	known := false
	for _, b := range l.names {
		if now-b.heard > backendRest {
			continue
		}
		kept = append(kept, b)
		known = known || b.id == id
	}
	l.names = kept
	if known {
		return false
	}
	l.names = append(l.names, leavingBackend{id: id, heard: now})
	return true
}

// take returns the names for one message, the most recent first.
func (l *leavingBackends) take(now wasabiridge.Millis) []wasabiridge.BackendServerID {
	var out []wasabiridge.BackendServerID
	for i := len(l.names) - 1; i >= 0 && len(out) < backendsPerMessage; i-- {
		if now-l.names[i].heard <= backendLife {
			out = append(out, l.names[i].id)
		}
	}
	return out
}
