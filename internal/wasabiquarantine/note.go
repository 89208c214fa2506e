package wasabiquarantine

import (
	"github.com/wasabiridge/wasabiridge"
)

// maxLogEvents bounds the events that wait to be taken. Beyond that, the oldest are
// dropped.
const maxLogEvents = 256

// Lifted is the reason why a suspicion or a block was lifted.
type Lifted string

// Reasons for lifting.
const (
	LiftedByAnswer   Lifted = "answered"
	LiftedByOperator Lifted = "released"
	LiftedByTime     Lifted = "forgotten"
)

// LogEventKind is the kind of event that a LogEvent reports.
type LogEventKind uint8

// Kinds of log events.
const (
	// LogEventCrash reports the newest server end in Record.
	LogEventCrash LogEventKind = iota
	// LogEventBlocked reports that a request is blocked from now on, with all its
	// server ends.
	LogEventBlocked
	// LogEventLifted reports that the suspicion or block of a request was lifted.
	LogEventLifted
	// LogEventTrial reports that a request with a part whose block has expired is sent.
	LogEventTrial
)

// LogEvent is an event for the log.
type LogEvent struct {
	Kind   LogEventKind
	Record wasabiridge.CrashUpdate
	// From is the instance that sent the update. Empty means that this instance saw the
	// event itself.
	From wasabiridge.InstanceID
	Why  Lifted
	// For is how long the block lasts at this instance.
	For wasabiridge.Millis
}

// Counts are totals since the start of the process.
type Counts struct {
	// Ends counts attempts during which a server ended, Blocked requests that were
	// blocked, Lifted suspicions and blocks that were lifted, Refused the requests that
	// were refused because of a block, Deferred those that were deferred because other
	// instances may try them.
	Ends, Blocked, Lifted, Refused, Deferred int
}

func (t *Table) addLogEvent(_ wasabiridge.Millis, n LogEvent) {
	if n.Kind == LogEventLifted {
		t.counts.Lifted++
		if len(n.Record.Crashes) == 1 {
			// Every request that ran beside one that ends a server is suspected once.
			// These are too many to log.
			return
		}
	}
	if len(t.logEvents) >= maxLogEvents {
		t.logEvents = t.logEvents[1:]
	}
	t.logEvents = append(t.logEvents, n)
	t.changed()
}

// noteEnds records events about server ends. First ends that other instances report are
// left out, because each end makes all requests suspects that ran at the server.
func (t *Table) noteEnds(now wasabiridge.Millis, m *record, from wasabiridge.InstanceID, before int, blocked bool) {
	if m.part && m.count() < wideThreshold {
		// Each end of a server counts against all parts that were inside.
		return
	}
	if from == "" || m.count() > max(before, 1) {
		t.addLogEvent(now, LogEvent{Kind: LogEventCrash, Record: m.snapshot(now), From: from})
	}
	if !m.part && !blocked && t.isBlocked(now, m) {
		t.counts.Blocked++
		t.addLogEvent(now, LogEvent{Kind: LogEventBlocked, Record: m.snapshot(now), From: from, For: t.blockDuration(m)})
	}
}

// TakeLogEvents returns the events to log since the last call.
func (t *Table) TakeLogEvents() []LogEvent {
	out := t.logEvents
	t.logEvents = nil
	return out
}

// Counts returns totals since the start of the process.
func (t *Table) Counts() Counts { return t.counts }

// IsSuspect reports whether a request is suspect or blocked.
func (t *Table) IsSuspect(f wasabiridge.Fingerprint) bool {
	m := t.records[f]
	return m != nil && m.count() > 0
}

// Entry is a suspect or blocked request.
type Entry struct {
	wasabiridge.CrashUpdate
	Blocked bool
	// Left is how long the block still lasts at this instance.
	Left wasabiridge.Millis
}

// Entries returns all suspect and blocked requests, ordered by fingerprint.
func (t *Table) Entries(now wasabiridge.Millis) []Entry {
	var out []Entry
	for _, f := range t.fingerprints() {
		m := t.records[f]
		if m.count() == 0 {
			continue
		}
		e := Entry{CrashUpdate: m.snapshot(now), Blocked: t.isBlocked(now, m)}
		if e.Blocked {
			e.Left = max(0, m.newest()+t.blockDuration(m)-now)
		}
		out = append(out, e)
	}
	return out
}
