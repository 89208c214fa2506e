package wasabilease

import "github.com/wasabiridge/wasabiridge"

// Event is an input of a Machine.
type Event interface{ isEvent() }

// Contended reports whether this instance wants the lease, and the newest known epoch of
// the store. Zero means that none is known. Handover is written for the next holder when the
// lease is released.
type Contended struct {
	Wanted   bool
	Epoch    wasabiridge.StoreEpoch
	Handover string
}

// RowRead is the result of a ReadRow.
type RowRead struct {
	Row wasabiridge.Row
	Err error
}

// Committed is the result of a CommitRow.
type Committed struct{ Err error }

// Ticked reports that time has passed.
type Ticked struct{}

func (Contended) isEvent() {}
func (RowRead) isEvent()   {}
func (Committed) isEvent() {}
func (Ticked) isEvent()    {}

// Effect is an action that a Machine requests from its driver.
type Effect interface{ isEffect() }

// ReadRow requests a read of the lease's row.
type ReadRow struct{ Key string }

// CommitRow requests that a transaction be sent once, without retries.
type CommitRow struct{ Transaction wasabiridge.Transaction }

// Granted reports that the grant changed. The zero Grant means that the lease
// is no longer held.
type Granted struct{ Grant Grant }

func (ReadRow) isEffect()   {}
func (CommitRow) isEffect() {}
func (Granted) isEffect()   {}
