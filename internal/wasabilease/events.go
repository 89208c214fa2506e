package wasabilease

import "github.com/wasabiridge/wasabiridge"

// event is something that a machine is told.
type event interface{ isEvent() }

// contended says whether this instance wants the lease.
type contended struct{ Wanted bool }

// rowRead answers a readRow.
type rowRead struct {
	Row wasabiridge.Row
	Err error
}

// committed answers a commitRow.
type committed struct{ Err error }

// ticked says that time has passed.
type ticked struct{}

func (contended) isEvent() {}
func (rowRead) isEvent()   {}
func (committed) isEvent() {}
func (ticked) isEvent()    {}

// effect is something that a machine wants done.
type effect interface{ isEffect() }

// readRow asks to read the row of the lease.
type readRow struct{ Key string }

// commitRow asks to carry out a transaction, once.
type commitRow struct{ Transaction wasabiridge.Transaction }

// granted says that the grant changed. The zero Grant means that the lease is
// not held any more.
type granted struct{ Grant Grant }

func (readRow) isEffect()   {}
func (commitRow) isEffect() {}
func (granted) isEffect()   {}
