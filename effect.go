package wasabiridge

// Dispatch requests an attempt of a request at a backend server.
type Dispatch struct {
	Request RequestID
	Attempt AttemptID
	Backend BackendServer
	// Pool is the pool of the server.
	Pool PoolID
	// Weights is the version that must produce the response. Zero means any.
	Weights WeightsVersion
	// Incarnation is the incarnation of the engine whose cache content the placement
	// relied on.
	Incarnation Incarnation
	// ClaimedTokens is the number of prompt tokens expected to be cached.
	ClaimedTokens int
	// HeldTokens is the number of prompt tokens that some engine of the pool is
	// estimated to hold. Any shortfall of the reused tokens against this number counts
	// as wasted.
	HeldTokens int
	// ResumeFrom is the number of output tokens that the caller already has.
	ResumeFrom int
	// Hedge marks a second attempt that runs concurrently with an earlier one.
	Hedge bool
	// ImportFrom and ExportTo are the addresses, as IP:port, from which the engine
	// imports and to which it exports cached prompt segments. Empty means none.
	ImportFrom string
	ExportTo   string
	// CacheHandle is the handle of the KV cache of the previous attempt, which was moved
	// to this server.
	CacheHandle string
	// FirstByte is the time-out for the first byte of the response. It is set when the
	// request can go to another server after the time-out, and when the response must
	// not begin later because the server's weights may not answer any more by then.
	// Zero means no separate time-out.
	FirstByte Millis
	// ExpectedWait and Why are copied from the Placement, for the log.
	ExpectedWait Millis
	Why          string
	// Slowness and Allotment are copied from the Placement, for the log.
	Slowness  float64
	Allotment Allotment
	// Quota is the state of the account limit when the request was admitted.
	Quota QuotaState
}

// Cancel requests that an attempt be cancelled. An AttemptEnded event still follows.
type Cancel struct {
	Request RequestID
	Attempt AttemptID
}

// RefuseReason is why a request is refused.
type RefuseReason string

// Reasons of a refusal.
const (
	// RefusedByRule means that the matching rule refuses the request.
	RefusedByRule RefuseReason = "rule"
	// RefusedOverload means that the queue is full or the expected wait too long.
	RefusedOverload RefuseReason = "overload"
	// RefusedRetryBudget means that an attempt failed and that this instance has no
	// retry left from the budget that all instances share.
	RefusedRetryBudget RefuseReason = "retry_budget"
	// RefusedServerLimit means that all backend servers that could serve the request
	// announce rate limits and none of them accepts a further request now.
	RefusedServerLimit RefuseReason = "server_limit"
	// RefusedDeadline means that the deadline expired while the request was waiting.
	RefusedDeadline RefuseReason = "deadline"
	// RefusedServerPause means that all backend servers that could serve the request have
	// refused requests of this instance and asked for a pause.
	RefusedServerPause RefuseReason = "server_pause"
	// RefusedNoBackend means that no backend server is eligible for the request.
	RefusedNoBackend RefuseReason = "no_backend"
	// RefusedSoftwareGone means that the request resumes a stream and that no backend
	// server has the software that began it.
	RefusedSoftwareGone RefuseReason = "software_gone"
	// RefusedQuarantined means that backend servers ended while running the request. It
	// is blocked and not sent to any server, nor when it is repeated soon.
	RefusedQuarantined RefuseReason = "quarantined"
	// RefusedSuspect means that backend servers ended while running the request, and
	// that an attempt elsewhere is testing whether further ones do.
	RefusedSuspect RefuseReason = "suspect"
	// RefusedQuota means that the client account has used up its limit.
	RefusedQuota RefuseReason = "quota"
	// RefusedShare means that the pool is short of capacity and the client account has
	// used its share of it.
	RefusedShare RefuseReason = "share"
	// RefusedBroken means that attempts failed and that no further one is allowed.
	RefusedBroken RefuseReason = "broken"
)

// Refuse requests that the caller be sent a final error response at once.
type Refuse struct {
	Request     RequestID
	Reason      RefuseReason
	Disposition Disposition
	// RetryAfter is how long the caller should wait before a retry. Zero means that no
	// hint is sent.
	RetryAfter Millis
	// Quota is the state of the account limit when the request was checked against it.
	Quota QuotaState
	// Share is what a refusal with the reason RefusedShare was based on.
	Share ShareState
}

// Record requests that an event be added to the time line.
type Record struct{ Event TimelineEvent }

func (Dispatch) isEffect() {}
func (Cancel) isEffect()   {}
func (Refuse) isEffect()   {}
func (Record) isEffect()   {}
