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

// WriterOptions configures a Writer.
type WriterOptions struct {
	// Name is the prefix of every write identifier. It must differ between all
	// incarnations of all instances, for example by containing the instance and
	// its incarnation.
	Name string
	// Attempts bounds how often one transaction is sent. Zero means 4.
	Attempts int
	// Pause is the wait after the first failed attempt; it doubles after each
	// further one. Zero means 50 ms.
	Pause wasabiridge.Millis
	// Sleep waits and reports false when the context ended first. Nil waits in
	// real time.
	Sleep wasabifault.SleepFunc
}

// Write is a set of changes that a Writer applies at most once.
type Write struct {
	Changes []wasabiridge.RowChange
	// Witness is the key of one of the changed rows that, once it exists, no
	// other writer ever changes or deletes, such as a row of a history. When
	// another write has changed the other rows, it shows whether this write
	// took effect before that. Without it that case is reported as
	// ErrOutcomeUnknown.
	Witness string
}

// Writer guards against writes that take effect twice.
//
// The failure: the table applies a transaction, but its response is lost. The
// caller sees an error, reads fresh revisions and writes again, and a booking
// or a version number counts twice. The guard: all attempts at one Write carry
// the same identifier and the same conditions. An attempt that takes effect
// raises the revisions, so that no other copy, however late, can still satisfy
// its conditions. Rows that carry the identifier prove that the write took
// effect.
//
// The guard does not cover a Write that only creates rows which another writer
// may delete in the meantime: a late copy then creates them again. Mark such
// rows as ended instead of deleting them, or change one permanent row along
// with them.
//
// A Writer is safe for concurrent use.
type Writer struct {
	table   wasabiridge.Table
	options WriterOptions
	last    atomic.Uint64
}

// NewWriter returns a writer for the table.
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

// Commit applies a write. A nil error means that the write took effect once;
// ErrConflict, that a condition did not hold and nothing took effect;
// ErrUnavailable, that nothing took effect or ever will; ErrOutcomeUnknown,
// that the write may have taken effect or may still do so, at most once.
// ErrInvalid is returned for a transaction that the table does not accept.
func (w *Writer) Commit(ctx context.Context, write Write) error {
	return w.CommitAs(ctx, w.NextID(), write)
}

// CommitAs is Commit with an identifier that the caller chose, so that the
// caller can look up its write later.
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
		return wasabiridge.ErrUnavailable.New("write %q was rejected %d times", id, w.options.Attempts)
	}
	return ambiguous.err(id)
}

// readBack reads the rows of the transaction, the witness last. If the witness
// were read first, a late copy could take effect after that read and be
// overwritten before the other rows are read, and a write that took effect
// would be classified as superseded.
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
	return classify(tx, rows, witness), nil
}

// verdict is the result of a read-back.
type verdict uint8

const (
	// pending means that no copy has taken effect yet, and one still may.
	pending verdict = iota
	// committed means that a copy took effect.
	committed
	// superseded means that no copy took effect and none can any more.
	superseded
	// ambiguous means that another write changed the rows, and that this one
	// may have taken effect before it.
	ambiguous
)

// classify compares the rows, read after an unknown outcome, with the transaction.
// rows[i] is the row of tx.Changes[i].
func classify(tx wasabiridge.Transaction, rows []wasabiridge.Row, witness string) verdict {
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
		return superseded
	default:
		return ambiguous
	}
}

func (v verdict) err(id wasabiridge.WriteID) error {
	switch v {
	case committed:
		return nil
	case superseded:
		return wasabiridge.ErrConflict.New("write %q was overtaken by another write and did not take effect", id)
	default:
		return wasabiridge.ErrOutcomeUnknown.New("write %q may have taken effect", id)
	}
}
