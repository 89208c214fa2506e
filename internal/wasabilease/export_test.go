package wasabilease

import "github.com/wasabiridge/wasabiridge"

// The decider of a lease, its events and effects, for tests.
type (
	Machine   = machine
	Event     = event
	Contended = contended
	RowRead   = rowRead
	Committed = committed
	Ticked    = ticked
	ReadRow   = readRow
	CommitRow = commitRow
	Granted   = granted
	Record    = record
)

var (
	NewMachine   = newMachine
	EncodeRecord = encodeRecord
	DecodeRecord = decodeRecord
)

func (m *machine) Handle(now wasabiridge.Millis, e Event) []effect { return m.handle(now, e) }
