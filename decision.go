package wasabiridge

// Event is an input of a Decider. The concrete types are listed in event.go and
// quota.go; a Decider ignores types that it does not handle.
type Event interface{ isEvent() }

// Effect is an action that a Decider requests. The caller carries out effects in the
// order in which they were returned.
type Effect interface{ isEffect() }

// Decider is a deterministic state machine. It is not safe for concurrent
// use; one goroutine owns it.
type Decider interface {
	// Handle processes one event and returns the requested actions. The returned slice
	// is valid until the next call.
	Handle(now Millis, e Event) []Effect
}
