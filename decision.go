package wasabiridge

// Event is something that a Decider is told. The concrete types are listed in
// event.go and quota.go; a Decider ignores types that it does not know.
type Event interface{ isEvent() }

// Effect is something that a Decider wants done. The caller carries out
// effects in the order in which they were returned.
type Effect interface{ isEffect() }

// Decider is a deterministic state machine. It is not safe for concurrent
// use; one goroutine owns it.
type Decider interface {
	// Handle takes one event and returns what has to be done. The returned
	// slice is valid until the next call.
	Handle(now Millis, e Event) []Effect
}
