package wasabiclaim

import "github.com/wasabiridge/wasabiridge"

// The decoders of outside bytes and the row book, for tests and measurements.
var (
	DecodeTicket = decodeTicket
	EncodeTicket = encodeTicket
	DecodeRecord = decodeRecord
	EncodeRecord = encodeRecord
)

type (
	Ticket         = ticket
	Record         = record
	ClaimAsked     = claimAsked
	ClaimEnded     = claimEnded
	BatchCommitted = batchCommitted
	RowRead        = rowRead
	RowTicked      = rowTicked
	RowEvent       = rowEvent
	CommitBatch    = commitBatch
	ReadRow        = readRow
	ReplyClaim     = replyClaim
	RowBook        = rowBook
)

// NewRowBook returns a row book with default limits for one of n instances.
func NewRowBook(self wasabiridge.InstanceID, n int) *RowBook {
	b := newRowBook(self, 1, Limits{}.withDefaults())
	b.setInstances(n)
	return b
}

// Ticked returns the event of a tick among n instances.
func Ticked(n int) RowTicked { return rowTicked{Instances: n} }

func (b *rowBook) Handle(now wasabiridge.Millis, e RowEvent) []rowEffect { return b.handle(now, e) }

// Asked returns the event of a caller's question.
func Asked(ask uint64, q wasabiridge.ClaimQuery) ClaimAsked {
	return claimAsked{asker: asker{ask: ask, query: q}}
}
