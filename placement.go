package wasabiridge

// PlaceQuery asks for a backend server. Slices are owned by the caller and
// valid during the call only.
type PlaceQuery struct {
	Request Request
	Pool    Pool
	// Excluded lists servers that must not be chosen, such as those that
	// this request already failed at.
	Excluded []BackendServerID
	// Weights is the version that the answer must come from, such as that of
	// a stream that is continued. Zero means any that may serve.
	Weights WeightsVersion
	// Isolate wants the server that Isolation ranks first for the fingerprint among all
	// that may serve, whatever it costs. Zero means none.
	Isolate Fingerprint
}

// Placement is the choice of a backend server.
type Placement struct {
	Backend     BackendServer
	Incarnation Incarnation
	// ClaimedTokens counts prompt tokens expected to be cached.
	ClaimedTokens int
	// HeldTokens counts prompt tokens that some server of the pool is
	// believed to hold, whether it was chosen or not.
	HeldTokens int
	// ExpectedWait estimates the time to the first token.
	ExpectedWait Millis
	// Why names what decided, for the time line, such as "holder" or "home".
	Why string
	// Join asks to wait until the named time because the prefix is being
	// computed right now. Zero means to go at once.
	Join Millis
	// Weights is the version that the server is expected to serve. A server
	// that serves another one refuses as not run. Zero means any.
	Weights WeightsVersion
	// FetchFrom, SaveTo and FirstByte go to the Dispatch.
	FetchFrom string
	SaveTo    string
	FirstByte Millis
	// MemoryFrom goes to the Dispatch.
	MemoryFrom string
	// Never says, of a placement that was not found, that none will be found
	// however long the request waits.
	Never bool
}

// WhyMoved is why an attempt goes where the memory of the one before was moved.
const WhyMoved = "moved"

// Placer chooses backend servers. Implementations are deterministic and not
// safe for concurrent use.
type Placer interface {
	// Place chooses a server of the pool. It reports false when none is
	// eligible.
	Place(now Millis, q PlaceQuery) (Placement, bool)
	// Sent tells that an attempt goes to the placement's server.
	Sent(now Millis, r Request, a AttemptID, p Placement)
	// Observe takes every event that the decider takes.
	Observe(now Millis, e Event)
}

// Verdict is the answer of a Limiter.
type Verdict uint8

// Verdicts of a Limiter.
const (
	// Admitted lets the request be placed now.
	Admitted Verdict = iota
	// Queued keeps the request until Next returns it.
	Queued
	// Rejected turns the request down.
	Rejected
)

// Admission tells what becomes of an offered request.
type Admission struct {
	Verdict Verdict
	// RetryAfter tells a rejected caller when to come back.
	RetryAfter Millis
	Reason     RefuseReason
}

// Limiter decides when requests may be sent, in which order they leave the
// queue and which are turned down early. Implementations are deterministic
// and not safe for concurrent use.
type Limiter interface {
	// Offer presents a new request.
	Offer(now Millis, r Request) Admission
	// Next returns a queued request that may go now. It reports false when
	// none may.
	Next(now Millis) (Request, bool)
	// Expired returns a queued request whose deadline passed. It reports
	// false when there is none.
	Expired(now Millis) (Request, bool)
	// Withdraw takes a request out of the queue, because its caller left.
	Withdraw(id RequestID)
	// HasRoom reports whether a backend server may get one more attempt.
	HasRoom(now Millis, b BackendServer) bool
	// Sent counts an attempt against its backend server.
	Sent(now Millis, r Request, a AttemptID, b BackendServerID)
	// Observe takes every event that the decider takes.
	Observe(now Millis, e Event)
	// MayRetry reports whether the retry budget allows one more attempt and
	// spends it when it does.
	MayRetry(now Millis, r Request) bool
}
