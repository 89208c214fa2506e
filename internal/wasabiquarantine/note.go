package wasabiquarantine

import (
	"github.com/wasabiridge/wasabiridge"
)

// notesMost bounds the notes that wait to be taken. The oldest are dropped.
const notesMost = 256

// Lifted says why a suspicion or a bar was lifted.
type Lifted string

// Reasons for lifting.
const (
	LiftedByAnswer   Lifted = "answered"
	LiftedByOperator Lifted = "released"
	LiftedByTime     Lifted = "forgotten"
)

// NoteKind says what a Note tells.
type NoteKind uint8

// Kinds of notes.
const (
	// NoteEnd tells of the newest end in Mark.
	NoteEnd NoteKind = iota
	// NoteBarred tells that a request is barred from now on, with all its ends.
	NoteBarred
	// NoteLifted tells that what was held against a request does not count any more.
	NoteLifted
)

// Note is something for the log.
type Note struct {
	Kind NoteKind
	Mark wasabiridge.CrashNews
	// From is the instance that told it. Empty means that it was seen here.
	From wasabiridge.InstanceID
	Why  Lifted
	// For is how long the bar holds here.
	For wasabiridge.Millis
}

// Counts are totals since the start.
type Counts struct {
	// Ends counts attempts under which a server ended, Barred requests that were barred,
	// Lifted those that were let go again, Refused times that a barred one was asked about,
	// Deferred times that one was that others may try.
	Ends, Barred, Lifted, Refused, Deferred int
}

func (t *Table) note(_ wasabiridge.Millis, n Note) {
	if n.Kind == NoteLifted {
		t.counts.Lifted++
		if len(n.Mark.Ends) == 1 {
			// Whatever ran beside a request that ended a server is suspected once.
			return
		}
	}
	if len(t.notes) >= notesMost {
		t.notes = t.notes[1:]
	}
	t.notes = append(t.notes, n)
	t.changed()
}

// noteEnds tells of ends. What others tell of a first end is left out: those that ran
// beside the request are many.
func (t *Table) noteEnds(now wasabiridge.Millis, m *mark, from wasabiridge.InstanceID, before int, barred bool) {
	if from == "" || m.count() > max(before, 1) {
		t.note(now, Note{Kind: NoteEnd, Mark: m.snapshot(now), From: from})
	}
	if !barred && t.isBarred(now, m) {
		t.counts.Barred++
		t.note(now, Note{Kind: NoteBarred, Mark: m.snapshot(now), From: from, For: t.barFor(m)})
	}
}

// TakeNotes returns what the log should say, and forgets it.
func (t *Table) TakeNotes() []Note {
	out := t.notes
	t.notes = nil
	return out
}

// Counts returns totals since the start.
func (t *Table) Counts() Counts { return t.counts }

// Holds reports whether something is held against a request.
func (t *Table) Holds(f wasabiridge.Fingerprint) bool {
	m := t.marks[f]
	return m != nil && m.count() > 0
}

// Entry is a request with something against it.
type Entry struct {
	wasabiridge.CrashNews
	Barred bool
	// Left is how long the bar holds here.
	Left wasabiridge.Millis
}

// Entries returns all requests with something against them, in the order of their
// fingerprints.
func (t *Table) Entries(now wasabiridge.Millis) []Entry {
	var out []Entry
	for _, f := range t.fingerprints() {
		m := t.marks[f]
		if m.count() == 0 {
			continue
		}
		e := Entry{CrashNews: m.snapshot(now), Barred: t.isBarred(now, m)}
		if e.Barred {
			e.Left = max(0, m.newest()+t.barFor(m)-now)
		}
		out = append(out, e)
	}
	return out
}
