package wasabiridge

// ServerNumbering is what an instance knows of how one backend server numbers the events of its
// streams.
type ServerNumbering struct {
	Backend BackendServerID
	// Proven reports that a stream of the server was complete beyond doubt although its identifiers
	// skipped others.
	Proven bool
	// Doubted is the number of its streams that skipped identifiers so close to the end that their
	// own bytes do not show whether they were complete.
	Doubted int
}

// StepCounts counts steps between the identifiers of events, and those that skip some.
type StepCounts struct{ All, Skips int }

// NumberingUpdate is what the sender knows of how the servers of a pool with one version of
// software number events. Applying it again changes nothing.
type NumberingUpdate struct {
	Pool     PoolID
	Software SoftwareVersion
	// Largest is the largest step between two identifiers of a complete stream that skips some.
	Largest int64
	// Begins counts the first steps of such streams, and Steps all others.
	Begins, Steps StepCounts
	// Servers are those that the sender knows more of than before, and some of which no stream
	// skips identifiers.
	Servers []ServerNumbering
}

// NumberingExchange shares what is known of how servers number events with the other instances.
// Implementations are safe for concurrent use.
type NumberingExchange interface {
	// TakeNumberings returns what is due to be sent to the other instances.
	TakeNumberings(now Millis) []NumberingUpdate
	// Numberings returns what is known of all pools, for an instance that asks.
	Numberings() []NumberingUpdate
	// ReceiveNumbering applies an update of another instance. It returns what is known then, and
	// whether that is more than before.
	ReceiveNumbering(u NumberingUpdate) (NumberingEvidence, bool)
}
