package wasabiridge

// Dispatch asks for an attempt of a request at a backend server.
type Dispatch struct {
	Request RequestID
	Attempt AttemptID
	Backend BackendServer
	// Weights is the version the answer must come from. Zero means any.
	Weights WeightsVersion
	// Incarnation is the life of the engine whose cache was counted on.
	Incarnation Incarnation
	// ClaimedTokens counts prompt tokens expected to be cached.
	ClaimedTokens int
	// HeldTokens counts prompt tokens that some engine of the pool is
	// believed to hold. What the answer reuses less than this was wasted.
	HeldTokens int
	// ResumeFrom counts output tokens that the caller already has.
	ResumeFrom int
	// Hedge marks a second attempt beside one that still runs.
	Hedge bool
	// FetchFrom and SaveTo are where the engine imports and exports cached
	// parts of the prompt, as IP:port. Empty means nowhere.
	FetchFrom string
	SaveTo    string
	// MemoryFrom names the memory of the attempt before, which was moved to this
	// server.
	MemoryFrom string
	// FirstByte bounds the wait for the first byte of the answer. It is set where
	// the request may go to another server after it, and where it must not begin
	// later because the server's weights may not answer any more. Zero means no
	// bound of its own.
	FirstByte Millis
	// ExpectedWait and Why are those of the Placement, for the log.
	ExpectedWait Millis
	Why          string
	// Quota is how the account stood when the request was let in.
	Quota QuotaState
}

// Cancel asks to give up an attempt. An AttemptEnded event still follows.
type Cancel struct {
	Request RequestID
	Attempt AttemptID
}

// RefuseReason says why a request is turned down.
type RefuseReason string

// Reasons of a refusal.
const (
	// RefusedByRule means that the matching rule refuses.
	RefusedByRule RefuseReason = "rule"
	// RefusedOverload means that the queue is full or the wait too long.
	RefusedOverload RefuseReason = "overload"
	// RefusedRetryBudget means that an attempt failed and that the retry budget of all
	// instances allows no further one here.
	RefusedRetryBudget RefuseReason = "retry_budget"
	// RefusedServerLimit means that all backend servers that could serve the request name
	// limits, and that none of them takes a further request now.
	RefusedServerLimit RefuseReason = "server_limit"
	// RefusedDeadline means that the deadline passed while waiting.
	RefusedDeadline RefuseReason = "deadline"
	// RefusedNoBackend means that no backend server may serve the request.
	RefusedNoBackend RefuseReason = "no_backend"
	// RefusedQuarantined means that servers ended under the request. It is not sent to
	// any, now or when it comes again soon.
	RefusedQuarantined RefuseReason = "quarantined"
	// RefusedSuspect means that servers ended under the request, and that it is being
	// tried whether more do.
	RefusedSuspect RefuseReason = "suspect"
	// RefusedQuota means that the client account has used up its limit.
	RefusedQuota RefuseReason = "quota"
	// RefusedBroken means that attempts failed and no further one is allowed.
	RefusedBroken RefuseReason = "broken"
)

// Refuse asks to give the caller a final negative answer at once.
type Refuse struct {
	Request     RequestID
	Reason      RefuseReason
	Disposition Disposition
	// RetryAfter tells the caller when to come back. Zero means no advice.
	RetryAfter Millis
	// Quota is how the account stood when the request was judged.
	Quota QuotaState
}

// Record asks to write an event to the time line.
type Record struct{ Event TimelineEvent }

func (Dispatch) isEffect() {}
func (Cancel) isEffect()   {}
func (Refuse) isEffect()   {}
func (Record) isEffect()   {}
