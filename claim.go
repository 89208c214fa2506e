package wasabiridge

import "context"

// ClaimQuery requests the right to run a non-idempotent request.
type ClaimQuery struct {
	Account ClientAccountID
	// Key is the caller's idempotency key.
	Key     string
	Request RequestID
	// Holder is the instance that wants to run the request.
	Holder      InstanceID
	Incarnation Incarnation
	// Digest covers method, path and body. A reused key with another digest is an error
	// of the caller.
	Digest uint64
}

// ClaimState is the decision on a claim.
type ClaimState uint8

// States of a claim.
const (
	// ClaimGranted gives the right to run the request, once.
	ClaimGranted ClaimState = iota
	// ClaimRunning means that an earlier request with the key is still running.
	ClaimRunning
	// ClaimAnswered means that the first response is known; it is returned again.
	ClaimAnswered
	// ClaimUnknown means that an earlier request with the key may have run and that its
	// response is not known.
	ClaimUnknown
	// ClaimMismatch means that the key was used for a different request.
	ClaimMismatch
	// ClaimUnavailable means that no claim was granted and that no request ever ran
	// under the key.
	ClaimUnavailable
)

// Answer is a complete response of a plain service, stored to be replayed.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// ClaimOutcome is the response to a ClaimQuery.
type ClaimOutcome struct {
	State ClaimState
	// Answer is set when State is ClaimAnswered.
	Answer Answer
	// NotSent is used with ClaimUnknown. It reports that the request of this query was
	// not and will not be sent to a backend server, although an earlier request with
	// the key may have run. A retry with the same key is safe.
	NotSent bool
}

// ClaimResult is how a claimed request ended.
type ClaimResult struct {
	Query       ClaimQuery
	Disposition Disposition
	// Answer is stored for replays when Disposition is Ran.
	Answer Answer
}

// Claimer decides whether a non-idempotent request may run. Implementations
// are safe for concurrent use.
type Claimer interface {
	// Claim requests the right to run.
	Claim(ctx context.Context, q ClaimQuery) (ClaimOutcome, error)
	// Finish records the end of the request. A result that is NotRun releases the
	// claim.
	Finish(ctx context.Context, r ClaimResult) error
	// Ticket returns a new idempotency key whose claims the issuing instance decides
	// without a write to the platform.
	Ticket(account ClientAccountID) string
}
