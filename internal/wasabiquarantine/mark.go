package wasabiquarantine

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// mark is what is known of one request. Without ends it remembers that the request was
// cleared.
type mark struct {
	fingerprint wasabiridge.Fingerprint
	account     wasabiridge.ClientAccountID
	model       wasabiridge.ModelID
	epoch       uint32
	// ends are those of the epoch, the oldest first. One server's end stands once.
	ends []wasabiridge.ServerEnd
	// changed is when anything of it last changed here.
	changed wasabiridge.Millis
	// own is when this instance last saw an end itself.
	own wasabiridge.Millis
	// wide says that all instances were told of ends before the epoch.
	wide bool
	// running counts the attempts of this instance that have not ended.
	running int
}

// isWide reports whether all instances should know the mark, and not just those that
// callers are sent to: some callers come to others, and what has ended two servers may
// end a third one there. First ends are many, and harmless by themselves.
func (m *mark) isWide() bool { return m.count() >= wideEnds || m.count() == 0 && m.wide }

// wideEnds is how many ends all instances are told of.
const wideEnds = 2

// add takes an end. It reports whether that was news.
func (m *mark) add(e wasabiridge.ServerEnd) bool {
	for i := range m.ends {
		known := &m.ends[i]
		if known.Backend != e.Backend || !isSameEnd(*known, e) {
			continue
		}
		if e.Ran <= known.Ran {
			return false
		}
		// The server may have ended under the first of several sends.
		known.Ran = e.Ran
		return true
	}
	if len(m.ends) >= keptEnds {
		if e.At <= m.ends[0].At {
			return false
		}
		m.ends = m.ends[1:]
	}
	m.ends = append(m.ends, e)
	slices.SortStableFunc(m.ends, func(a, b wasabiridge.ServerEnd) int { return int(a.At - b.At) })
	return true
}

// isSameEnd reports whether two ends of one server are the same one: of the same life,
// or so close to each other that the server cannot have run in between.
func isSameEnd(a, b wasabiridge.ServerEnd) bool {
	if a.Incarnation != 0 && a.Incarnation == b.Incarnation {
		return true
	}
	apart := a.At - b.At
	return max(apart, -apart) < reborn
}

// count returns how many servers have ended.
func (m *mark) count() int { return len(m.ends) }

// newest is when a server last ended.
func (m *mark) newest() wasabiridge.Millis {
	if len(m.ends) == 0 {
		return 0
	}
	return m.ends[len(m.ends)-1].At
}

// moments counts the ends that follow each other: the request was sent after the first
// end of the moment before. Where it was crowded then, because other servers ended too,
// it must have been sent well after that.
//
// The failure it guards against: the servers of a rack end one after the other, and what
// is sent on at once meets the next of them. It would pass for what ended them.
func (m *mark) moments(crowded func(at wasabiridge.Millis) bool) int {
	count, next := 0, wasabiridge.Millis(0)
	for _, e := range m.ends {
		if count > 0 && e.At-e.Ran < next {
			continue
		}
		count++
		next = e.At
		if crowded(e.At) {
			next += apart
		}
	}
	return count
}

// has reports whether a server ended under the request.
func (m *mark) has(b wasabiridge.BackendServerID) bool {
	return slices.ContainsFunc(m.ends, func(e wasabiridge.ServerEnd) bool { return e.Backend == b })
}

// weights are the newest that were named when a server ended.
func (m *mark) weights() wasabiridge.WeightsVersion {
	newest := wasabiridge.WeightsVersion(0)
	for _, e := range m.ends {
		newest = max(newest, e.Weights)
	}
	return newest
}

// before reports whether a mark is forgotten sooner than another one.
func (m *mark) before(other *mark) bool {
	if a, b := m.count(), other.count(); a != b {
		return a < b
	}
	if m.changed != other.changed {
		return m.changed < other.changed
	}
	return m.fingerprint < other.fingerprint
}

// snapshot returns the mark as news.
func (m *mark) snapshot(now wasabiridge.Millis) wasabiridge.CrashNews {
	out := wasabiridge.CrashNews{Fingerprint: m.fingerprint, Account: m.account, Model: m.model, Epoch: m.epoch, Ends: slices.Clone(m.ends)}
	for i := range out.Ends {
		out.Ends[i].Age = max(0, now-out.Ends[i].At)
	}
	return out
}
