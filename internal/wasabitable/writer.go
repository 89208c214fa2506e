package wasabitable

import (
	"context"
	"strconv"
	"sync/atomic"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
)

// Defaults of a Writer.
const (
	defaultAttempts = 4
	defaultPause    = wasabiridge.Millis(50)
)

// WriterOptions set up a Writer.
type WriterOptions struct {
	// Name starts every identifier. It must differ between all lives of all
	// instances, such as instance and incarnation together.
	Name string
	// Attempts bounds how often one transaction is sent. Zero means 4.
	Attempts int
	// Pause is the wait before the first read-back; it doubles each time.
	// Zero means 50 ms.
	Pause wasabiridge.Millis
	// Sleep waits and reports false when the context ended first. Nil waits
	// in real time.
	Sleep wasabifault.SleepFunc
}

// Write is a set of changes that a Writer carries out at most once.
type Write struct {
	Changes []wasabiridge.RowChange
	// Witness names one of the changed rows that nobody else ever writes or
	// deletes once it exists, such as a row of a history. When it is set, an
	// overtaken write can be told from one that never took effect. Without
	// it that case is reported as ErrOutcomeUnknown.
	Witness string
}

// Writer guards against a write that takes effect twice.
//
// The failure: the table carries out a transaction, but its answer is lost.
// The caller sees an error, reads fresh revisions and writes again, and a
// booking or a version number counts twice. The guard: all sends of one Write
// carry the same identifier and the same conditions. Any send that takes
// effect raises the revisions, so that no other copy, however late, can still
// meet its conditions. Rows that carry the identifier prove that it happened.
//
// The guard does not hold for a Write that only makes new rows which another
// writer may delete meanwhile: a late copy then makes them once more. Mark
// such rows as ended instead of deleting them, or change one lasting row
// along with them.
//
// A Writer is safe for concurrent use.
type Writer struct {
	table   wasabiridge.Table
	options WriterOptions
	last    atomic.Uint64
}

// NewWriter returns a writer to the table.
func NewWriter(table wasabiridge.Table, o WriterOptions) *Writer {
	if o.Attempts == 0 {
		o.Attempts = defaultAttempts
	}
	if o.Pause == 0 {
		o.Pause = defaultPause
	}
	if o.Sleep == nil {
		o.Sleep = wasabifault.Sleep
	}
	return &Writer{table: table, options: o}
}

// NextID returns an identifier that no other write has.
func (w *Writer) NextID() wasabiridge.WriteID {
	return wasabiridge.WriteID(w.options.Name + "/" + strconv.FormatUint(w.last.Add(1), 10))
}

// Commit carries out a write. It reports nil, the write took effect once;
// ErrConflict, a condition did not hold and nothing took effect;
// ErrUnavailable, nothing took effect or ever will; ErrOutcomeUnknown, the
// write may have taken effect or may yet do so, at most once.
func (w *Writer) Commit(ctx context.Context, write Write) error {
	return w.CommitAs(ctx, w.NextID(), write)
}

// CommitAs is Commit under an identifier that the caller chose, so that the
// caller can look for its write later.
func (w *Writer) CommitAs(ctx context.Context, id wasabiridge.WriteID, write Write) error {
	tx := wasabiridge.Transaction{ID: id, Changes: write.Changes}
	inFlight := false
	for attempt := range w.options.Attempts {
		err := w.table.Commit(ctx, tx)
		if err == nil || errorx.IsOfType(err, wasabiridge.ErrInvalid) {
			return err
		}
		if !errorx.IsOfType(err, wasabiridge.ErrUnavailable) {
			if !inFlight && errorx.IsOfType(err, wasabiridge.ErrConflict) {
				return err
			}
			inFlight = true
		}
		if !w.options.Sleep(ctx, w.options.Pause<<attempt) {
			break
		}
		if !inFlight {
			continue
		}
		var found verdict
		if found, err = w.readBack(ctx, tx, write.Witness); err != nil || found == pending {
			continue
		}
		return found.err(id)
	}
	if !inFlight {
		return wasabiridge.ErrUnavailable.New("write %q was turned away %d times", id, w.options.Attempts)
	}
	return ambiguous.err(id)
}

// readBack reads the rows of the transaction, and the witness after all
// others. Were it read first, a late copy could take effect behind it and be
// overwritten before the other rows are read, and a write that happened would
// be called overtaken.
func (w *Writer) readBack(ctx context.Context, tx wasabiridge.Transaction, witness string) (verdict, error) {
	rows := make([]wasabiridge.Row, len(tx.Changes))
	for _, last := range []bool{false, true} {
		for i, c := range tx.Changes {
			if (c.Key == witness) != last {
				continue
			}
			var err error
			if rows[i], err = w.table.Get(ctx, c.Key); err != nil {
				return ambiguous, err
			}
		}
	}
	return judge(tx, rows, witness), nil
}

// verdict is what a read-back says of a write.
type verdict uint8

const (
	// pending means that no copy took effect yet and that one still may.
	pending verdict = iota
	// committed means that a copy took effect.
	committed
	// overtaken means that no copy took effect and none can.
	overtaken
	// ambiguous means that another write changed the rows, and that ours may
	// have come before it.
	ambiguous
)

// judge compares the rows, read after an unknown outcome, with the
// transaction. rows[i] belongs to tx.Changes[i].
func judge(tx wasabiridge.Transaction, rows []wasabiridge.Row, witness string) verdict {
	met, witnessed := true, false
	for i, c := range tx.Changes {
		if rows[i].Revision != 0 && rows[i].LastWrite == tx.ID {
			return committed
		}
		met = met && rows[i].Revision == c.IfRevision
		witnessed = witnessed || c.Key == witness
	}
	switch {
	case met:
		return pending
	case witnessed:
		return overtaken
	default:
		return ambiguous
	}
}

func (v verdict) err(id wasabiridge.WriteID) error {
	switch v {
	case committed:
		return nil
	case overtaken:
		return wasabiridge.ErrConflict.New("write %q was overtaken and did not take effect", id)
	default:
		return wasabiridge.ErrOutcomeUnknown.New("write %q may have taken effect", id)
	}
}
