package wasabilease

import "github.com/wasabiridge/wasabiridge"

// Event is something that a Machine is told.
type Event interface{ isEvent() }

// Contended says whether this instance wants the lease.
type Contended struct{ Wanted bool }

// RowRead answers a ReadRow.
type RowRead struct {
	Row wasabiridge.Row
	Err error
}

// Committed answers a CommitRow.
type Committed struct{ Err error }

// Ticked says that time has passed.
type Ticked struct{}

func (Contended) isEvent() {}
func (RowRead) isEvent()   {}
func (Committed) isEvent() {}
func (Ticked) isEvent()    {}

// Effect is something that a Machine wants done.
type Effect interface{ isEffect() }

// ReadRow asks to read the row of the lease.
type ReadRow struct{ Key string }

// CommitRow asks to carry out a transaction, once.
type CommitRow struct{ Transaction wasabiridge.Transaction }

// Granted says that the grant changed. The zero Grant means that the lease is
// not held any more.
type Granted struct{ Grant Grant }

func (ReadRow) isEffect()   {}
func (CommitRow) isEffect() {}
func (Granted) isEffect()   {}
