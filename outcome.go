package wasabiridge

// Outcome holds the figures that are recorded for one finished request.
type Outcome struct {
	Account ClientAccountID
	Rule    RuleID
	Model   ModelID
	At      Millis
	// FirstToken is the time from arrival to the first token. Zero means that no token
	// arrived.
	FirstToken Millis
	// BetweenMicros is the mean time between tokens, in microseconds.
	BetweenMicros int64
	PromptTokens  int
	CachedTokens  int
	// WastedTokens counts prompt tokens that were computed although a live engine had
	// them cached, and the tokens of hedged attempts that lost.
	WastedTokens int
	OutputTokens int
	Disposition  Disposition
	Refused      RefuseReason
	// Truncated reports that a stream ended before its end marker.
	Truncated bool
	// RanTwice reports that a non-idempotent request is known to have run twice.
	RanTwice bool
}

// OutcomeRecorder records outcomes. Implementations are safe for concurrent use and
// never block.
type OutcomeRecorder interface {
	RecordOutcome(o Outcome)
}
