package wasabiridge

// Outcome is what is counted of one finished request.
type Outcome struct {
	Account ClientAccountID
	Rule    RuleID
	Model   ModelID
	At      Millis
	// FirstToken is the time from arrival to the first token. Zero when no
	// token came.
	FirstToken Millis
	// Between is the mean time between tokens, in microseconds.
	BetweenMicros int64
	PromptTokens  int
	CachedTokens  int
	// WastedTokens counts prompt tokens that were computed although a live
	// engine still held them, and the work of hedges that lost.
	WastedTokens int
	OutputTokens int
	Disposition  Disposition
	Refused      RefuseReason
	// Cut says that a stream ended before its end marker.
	Cut bool
	// Doubled says that a non-idempotent request is known to have run twice.
	Doubled bool
}

// OutcomeRecorder takes outcomes. Implementations are safe for concurrent use
// and never block.
type OutcomeRecorder interface {
	RecordOutcome(o Outcome)
}
