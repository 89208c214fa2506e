package wasabiquarantine

import (
	"github.com/wasabiridge/wasabiridge"
)

// maxNotes bounds the notes that wait to be taken. Beyond that, the oldest are dropped.
const maxNotes = 256

// Lifted is the reason why a suspicion or a block was lifted.
type Lifted string

// Reasons for lifting.
const (
	LiftedByAnswer   Lifted = "answered"
	LiftedByOperator Lifted = "released"
	LiftedByTime     Lifted = "forgotten"
)

// NoteKind is the kind of event that a LogEvent reports.
type NoteKind uint8

// Kinds of notes.
const (
	// NoteEnd reports the newest server end in Mark.
	NoteEnd NoteKind = iota
	// NoteBarred reports that a request is blocked from now on, with all its server ends.
	NoteBarred
	// NoteLifted reports that the suspicion or block of a request was lifted.
	NoteLifted
)

// Note is an event for the log.
type Note struct {
	Kind NoteKind
	Mark wasabiridge.CrashUpdate
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
	Ends, Barred, Lifted, Refused, Deferred int
}

func (t *Table) note(_ wasabiridge.Millis, n Note) {
	if n.Kind == NoteLifted {
		t.counts.Lifted++
		if len(n.Mark.Crashes) == 1 {
			// Every request that ran beside one that ends a server is suspected once.
			// These are too many to log.
			return
		}
	}
	if len(t.notes) >= maxNotes {
		t.notes = t.notes[1:]
	}
	t.notes = append(t.notes, n)
	t.changed()
}

// noteEnds records notes on server ends. First ends that other instances report are left
// out, because each end makes all requests suspects that ran at the server.
func (t *Table) noteEnds(now wasabiridge.Millis, m *record, from wasabiridge.InstanceID, before int, blocked bool) {
	if from == "" || m.count() > max(before, 1) {
		t.note(now, Note{Kind: NoteEnd, Mark: m.snapshot(now), From: from})
	}
	if !blocked && t.isBlocked(now, m) {
		t.counts.Barred++
		t.note(now, Note{Kind: NoteBarred, Mark: m.snapshot(now), From: from, For: t.blockDuration(m)})
	}
}

// TakeNotes returns the events to log since the last call.
func (t *Table) TakeNotes() []Note {
	out := t.notes
	t.notes = nil
	return out
}

// Counts returns totals since the start of the process.
func (t *Table) Counts() Counts { return t.counts }

// Holds reports whether a request is suspect or blocked.
func (t *Table) Holds(f wasabiridge.Fingerprint) bool {
	m := t.records[f]
	return m != nil && m.count() > 0
}

// Entry is a suspect or blocked request.
type Entry struct {
	wasabiridge.CrashUpdate
	Barred bool
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
		e := Entry{CrashUpdate: m.snapshot(now), Barred: t.isBlocked(now, m)}
		if e.Barred {
			e.Left = max(0, m.newest()+t.blockDuration(m)-now)
		}
		out = append(out, e)
	}
	return out
}
