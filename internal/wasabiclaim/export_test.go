package wasabiclaim

import "github.com/wasabiridge/wasabiridge"

// The decoders of untrusted bytes and the row machine, for tests and benchmarks.
var (
	DecodeTicket = decodeTicket
	EncodeTicket = encodeTicket
	DecodeRecord = decodeRecord
	EncodeRecord = encodeRecord
)

type (
	Ticket         = ticket
	Record         = record
	ClaimRequested = claimRequested
	ClaimEnded     = claimEnded
	BatchCommitted = batchCommitted
	RowRead        = rowRead
	RowTicked      = rowTicked
	RowEvent       = rowEvent
	CommitBatch    = commitBatch
	ReadRow        = readRow
	ReplyClaim     = replyClaim
	RowMachine     = rowMachine
)

// NewRowMachine returns a row machine with default limits for one of n instances.
func NewRowMachine(self wasabiridge.InstanceID, n int) *RowMachine {
	b := newRowMachine(self, 1, Limits{}.withDefaults())
	b.setInstances(n)
	return b
}

// Ticked returns the event of a tick among n instances.
func Ticked(n int) RowTicked { return rowTicked{Instances: n} }

func (b *rowMachine) Handle(now wasabiridge.Millis, e RowEvent) []rowEffect { return b.handle(now, e) }

// Requested returns the event of a call of Claim.
func Requested(call uint64, q wasabiridge.ClaimQuery) ClaimRequested {
	return claimRequested{Call: claimCall{number: call, query: q}}
}
