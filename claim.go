package wasabiridge

import "context"

// ClaimQuery asks for the right to run a non-idempotent request.
type ClaimQuery struct {
	Account ClientAccountID
	// Key is the caller's idempotency key.
	Key     string
	Request RequestID
	// Holder is the instance that wants to run the request.
	Holder      InstanceID
	Incarnation Incarnation
	// Digest covers method, path and body. A key that comes again with
	// another digest is an error of the caller.
	Digest uint64
}

// ClaimState says what becomes of a claimed request.
type ClaimState uint8

// States of a claim.
const (
	// ClaimGranted gives the right to run the request, once.
	ClaimGranted ClaimState = iota
	// ClaimRunning says that an earlier request with the key still runs.
	ClaimRunning
	// ClaimAnswered carries the first answer.
	ClaimAnswered
	// ClaimUnknown says that an earlier request may have run and that its
	// answer is not known.
	ClaimUnknown
	// ClaimMismatch says that the key was used for another request.
	ClaimMismatch
	// ClaimUnavailable says that no claim was granted and that nothing ever
	// ran under the key.
	ClaimUnavailable
)

// Answer is a whole answer of a plain service, kept for repeats.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// ClaimOutcome answers a ClaimQuery.
type ClaimOutcome struct {
	State ClaimState
	// Answer is set when State is ClaimAnswered.
	Answer Answer
	// NotSent goes with ClaimUnknown. It says that the request of the query
	// itself was not sent anywhere and will not be; an earlier request with
	// the key may have run. Asking again with the same key is safe.
	NotSent bool
}

// ClaimResult tells how a claimed request ended.
type ClaimResult struct {
	Query       ClaimQuery
	Disposition Disposition
	// Answer is kept for repeats when Disposition is Ran.
	Answer Answer
}

// Claimer decides whether a non-idempotent request may run. Implementations
// are safe for concurrent use.
type Claimer interface {
	// Claim asks for the right to run.
	Claim(ctx context.Context, q ClaimQuery) (ClaimOutcome, error)
	// Finish records the end. A result that is NotRun releases the claim.
	Finish(ctx context.Context, r ClaimResult) error
	// Ticket returns a new key that the issuing instance decides on without
	// a write to the platform.
	Ticket(account ClientAccountID) string
}
