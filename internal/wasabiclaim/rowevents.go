package wasabiclaim

import "github.com/wasabiridge/wasabiridge"

// rowEvent is something that a rowBook is told.
type rowEvent interface{ isRowEvent() }

// claimAsked says that a caller of Claim waits for a decision.
type claimAsked struct{ asker asker }

// claimAbandoned says that a caller of Claim left without its answer.
type claimAbandoned struct {
	Ask uint64
	Key string
}

// claimEnded says how a claimed request ended.
type claimEnded struct{ Result wasabiridge.ClaimResult }

// batchCommitted answers a commitBatch.
type batchCommitted struct {
	ID  wasabiridge.WriteID
	Err error
}

// rowRead answers a readRow.
type rowRead struct {
	Key    string
	Number uint64
	Row    wasabiridge.Row
	Err    error
}

// rowTicked says that time has passed.
type rowTicked struct {
	// Instances share the writes of the table.
	Instances int
	// Lives are the incarnations that were heard of.
	Lives lives
	// Agreed is a time that is no earlier than that of other instances.
	Agreed wasabiridge.Millis
}

func (claimAsked) isRowEvent()     {}
func (claimAbandoned) isRowEvent() {}
func (claimEnded) isRowEvent()     {}
func (batchCommitted) isRowEvent() {}
func (rowRead) isRowEvent()        {}
func (rowTicked) isRowEvent()      {}

// rowEffect is something that a rowBook wants done.
type rowEffect interface{ isRowEffect() }

// commitBatch asks to carry out a transaction, once.
type commitBatch struct{ Transaction wasabiridge.Transaction }

// readRow asks to read a row.
type readRow struct {
	Key    string
	Number uint64
}

// replyClaim answers a caller of Claim.
type replyClaim struct {
	Ask     uint64
	Outcome wasabiridge.ClaimOutcome
}

func (commitBatch) isRowEffect() {}
func (readRow) isRowEffect()     {}
func (replyClaim) isRowEffect()  {}
