package wasabiquarantine

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// record holds the evidence against one request, or one part of prompts. Without ends it records that the request
// was cleared.
type record struct {
	fingerprint wasabiridge.Fingerprint
	// part says that the fingerprint is that of a part.
	part    bool
	account wasabiridge.ClientAccountID
	model   wasabiridge.ModelID
	epoch   uint32
	// ends are the server ends of the present epoch, the oldest first. One end of a server
	// is listed once.
	ends []wasabiridge.ServerCrash
	// changed is when the record last changed at this instance.
	changed wasabiridge.Millis
	// ownEndAt is when this instance last saw a server end itself.
	ownEndAt wasabiridge.Millis
	// wasWide says that ends from before the present epoch were sent to all instances.
	wasWide bool
	// running counts the attempts of this instance in flight.
	running int
	// triedAt is when this instance last sent a request with a blocked part.
	triedAt wasabiridge.Millis
}

// isWide reports whether the record is sent to all instances, and not only to those that
// callers are routed to: some callers reach others, and a request that has ended two
// servers may end a third one there. Requests with a single end are many, and most of them
// are harmless.
func (m *record) isWide() bool { return m.count() >= wideThreshold || m.count() == 0 && m.wasWide }

// wideThreshold is the number of ends from which a record is sent to all instances.
const wideThreshold = 2

// add adds an end. It reports whether the record has changed.
func (m *record) add(e wasabiridge.ServerCrash) bool {
	for i := range m.ends {
		known := &m.ends[i]
		if known.Backend != e.Backend || !isSameEnd(*known, e) {
			continue
		}
		if e.RunTime <= known.RunTime {
			return false
		}
		// The server may have ended under the earliest of several attempts.
		known.RunTime = e.RunTime
		return true
	}
	if len(m.ends) >= maxKeptEnds {
		if e.At <= m.ends[0].At {
			return false
		}
		m.ends = m.ends[1:]
	}
	m.ends = append(m.ends, e)
	slices.SortStableFunc(m.ends, func(a, b wasabiridge.ServerCrash) int { return int(a.At - b.At) })
	return true
}

// isSameEnd reports whether two reports on one server are of the same end: they have the
// same incarnation, or are so close in time that the server cannot have restarted in
// between.
func isSameEnd(a, b wasabiridge.ServerCrash) bool {
	if a.Incarnation != 0 && a.Incarnation == b.Incarnation {
		return true
	}
	distance := a.At - b.At
	return max(distance, -distance) < minRestartTime
}

// count returns the number of server ends.
func (m *record) count() int { return len(m.ends) }

// newest returns when a server last ended, or zero if none has.
func (m *record) newest() wasabiridge.Millis {
	if len(m.ends) == 0 {
		return 0
	}
	return m.ends[len(m.ends)-1].At
}

// moments returns the number of distinct moments at which servers ended: an end is at a new
// moment if its attempt was sent after the first end of the moment before. If other servers
// ended too at that time, the attempt must have been sent at least rackLossSpan later.
//
// The failure it guards against: the servers of a rack end one after the other, and a
// request that is retried at once reaches the next of them each time. It would be taken for
// the cause.
func (m *record) moments(hasOthers func(at wasabiridge.Millis) bool) int {
	count, next := 0, wasabiridge.Millis(0)
	for _, e := range m.ends {
		if count > 0 && e.At-e.RunTime < next {
			continue
		}
		count++
		next = e.At
		if hasOthers(e.At) {
			next += rackLossSpan
		}
	}
	return count
}

// hasEnded reports whether a server ended while it ran the request.
func (m *record) hasEnded(b wasabiridge.BackendServerID) bool {
	return slices.ContainsFunc(m.ends, func(e wasabiridge.ServerCrash) bool { return e.Backend == b })
}

// contains reports whether an end of a server is in the record.
func (m *record) contains(e wasabiridge.ServerCrash) bool {
	return slices.ContainsFunc(m.ends, func(known wasabiridge.ServerCrash) bool {
		return known.Backend == e.Backend && isSameEnd(known, e)
	})
}

// without returns a copy of the record without the ends for which drop returns true. It
// returns the record itself if there are none.
func (m *record) without(drop func(e wasabiridge.ServerCrash) bool) *record {
	if !slices.ContainsFunc(m.ends, drop) {
		return m
	}
	rest := *m
	rest.ends = slices.DeleteFunc(slices.Clone(m.ends), drop)
	return &rest
}

// weights returns the newest weights version that was announced when a server ended.
func (m *record) weights() wasabiridge.WeightsVersion {
	newest := wasabiridge.WeightsVersion(0)
	for _, e := range m.ends {
		newest = max(newest, e.Weights)
	}
	return newest
}

// evictedBefore reports whether a record is evicted before another one.
func (m *record) evictedBefore(other *record) bool {
	if a, b := m.count(), other.count(); a != b {
		return a < b
	}
	if m.changed != other.changed {
		return m.changed < other.changed
	}
	return m.fingerprint < other.fingerprint
}

// snapshot returns the record in the form that is sent to other instances.
func (m *record) snapshot(now wasabiridge.Millis) wasabiridge.CrashUpdate {
	out := wasabiridge.CrashUpdate{Fingerprint: m.fingerprint, Part: m.part, Account: m.account, Model: m.model, Epoch: m.epoch, Crashes: slices.Clone(m.ends)}
	for i := range out.Crashes {
		out.Crashes[i].Age = max(0, now-out.Crashes[i].At)
	}
	return out
}
