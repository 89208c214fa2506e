package wasabiclaim

import "github.com/wasabiridge/wasabiridge"

// rowEvent is an input of a rowMachine.
type rowEvent interface{ isRowEvent() }

// claimRequested reports that a caller of Claim waits for an outcome.
type claimRequested struct{ Call claimCall }

// claimAbandoned reports that a caller of Claim left before it had an outcome.
type claimAbandoned struct {
	Call uint64
	Key  string
}

// claimEnded reports how a claimed request ended.
type claimEnded struct{ Result wasabiridge.ClaimResult }

// batchCommitted is the result of a commitBatch.
type batchCommitted struct {
	ID  wasabiridge.WriteID
	Err error
}

// rowRead is the result of a readRow with the same key and number.
type rowRead struct {
	Key    string
	Number uint64
	Row    wasabiridge.Row
	Err    error
}

// rowTicked reports that time has passed.
type rowTicked struct {
	// Instances is the number of instances that share the table's writes.
	Instances int
	// Incarnations are those in the membership view.
	Incarnations incarnations
	// Agreed is a time that is no earlier than any received from other instances.
	Agreed wasabiridge.Millis
}

func (claimRequested) isRowEvent() {}
func (claimAbandoned) isRowEvent() {}
func (claimEnded) isRowEvent()     {}
func (batchCommitted) isRowEvent() {}
func (rowRead) isRowEvent()        {}
func (rowTicked) isRowEvent()      {}

// rowEffect is an output of a rowMachine, to be executed by its owner.
type rowEffect interface{ isRowEffect() }

// commitBatch commits a transaction, with one call to the table.
type commitBatch struct{ Transaction wasabiridge.Transaction }

// readRow reads a row. Number identifies the read.
type readRow struct {
	Key    string
	Number uint64
}

// replyClaim returns an outcome to a caller of Claim.
type replyClaim struct {
	Call    uint64
	Outcome wasabiridge.ClaimOutcome
}

func (commitBatch) isRowEffect() {}
func (readRow) isRowEffect()     {}
func (replyClaim) isRowEffect()  {}
