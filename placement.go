package wasabiridge

// PlaceQuery is the input of a placement. Slices are owned by the caller and valid only
// during the call.
type PlaceQuery struct {
	Request Request
	Pool    Pool
	// Excluded lists servers that must not be chosen, such as those at which the
	// request already failed.
	Excluded []BackendServerID
	// Weights is the version that must produce the response, such as that of a stream
	// to be continued. Zero means any that may serve.
	Weights WeightsVersion
	// Origin is where the stream began that the request continues. Nil means that it
	// continues none.
	Origin *StreamOrigin
	// IsolationKey selects, among all servers that may serve the request, the one that
	// wasabiquarantine.IsolationRank ranks first for the fingerprint, whatever the cost.
	// Zero means no such constraint.
	IsolationKey Fingerprint
}

// CanContinue reports whether a backend server can continue the stream of the request, as far
// as its pool and software matter. It can if there is none to continue.
func (q PlaceQuery) CanContinue(b BackendServer) bool {
	return q.Origin == nil || q.Origin.Accepts(q.Pool.ID, b)
}

// Placement is a chosen backend server.
type Placement struct {
	Backend     BackendServer
	Incarnation Incarnation
	// ClaimedTokens is the number of prompt tokens expected to be cached at the server.
	ClaimedTokens int
	// HeldTokens is the number of prompt tokens that some server of the pool, chosen or
	// not, is estimated to hold.
	HeldTokens int
	// ExpectedWait estimates the time to the first token.
	ExpectedWait Millis
	// Slowness is how long work takes at the server, as a multiple of the average of its
	// pool. Zero means that it is not known.
	Slowness float64
	// Why is the deciding reason, for the time line, such as "holder" or "home".
	Why string
	// WaitUntil is the point in time until which the request should wait because the
	// prefix is being computed right now. Zero means to send at once.
	WaitUntil Millis
	// Weights is the version that the server is expected to serve. A server with
	// another version refuses the request as not run. Zero means any.
	Weights WeightsVersion
	// ImportFrom, ExportTo and FirstByte are copied to the Dispatch.
	ImportFrom string
	ExportTo   string
	FirstByte  Millis
	// CacheHandle is copied to the Dispatch.
	CacheHandle string
	// Allotment is what this instance may use of a server that states how much it takes.
	Allotment Allotment
	// Unplaceable is set when no server was found. It reports that none will be found
	// however long the request waits.
	Unplaceable bool
}

// Allotment is what one instance may use of a server that has announced a rate limit or that
// it is brittle. The zero value is that of a server that has announced neither.
type Allotment struct {
	// Rate is the announced limit in requests per second, and zero without one.
	Rate float64
	// Brittle is set if servers of the pool have announced that they are brittle. Part is the
	// number of slots that this instance may use, and Used the number that it uses.
	Brittle    bool
	Part, Used int
	// Instances is the number of instances that share the server, as this one knows them.
	Instances int
	// Age is how long ago the last announcement was received.
	Age Millis
}

// WhyMoved is the reason of a placement that follows the moved KV cache of the previous
// attempt.
const WhyMoved = "moved"

// Placer chooses backend servers. Implementations are deterministic and not
// safe for concurrent use.
type Placer interface {
	// Place chooses a server of the pool. The result is false when none is eligible.
	Place(now Millis, q PlaceQuery) (Placement, bool)
	// Sent records that an attempt is being sent to the server of the placement.
	Sent(now Millis, r Request, a AttemptID, p Placement)
	// Observe receives every event that the decider receives.
	Observe(now Millis, e Event)
}

// Verdict is the decision of a Limiter.
type Verdict uint8

// Verdicts of a Limiter.
const (
	// Admitted means that the request may be placed now.
	Admitted Verdict = iota
	// Queued means that the request waits until Next returns it.
	Queued
	// Rejected means that the request is refused.
	Rejected
)

// Admission is the decision on an offered request.
type Admission struct {
	Verdict Verdict
	// RetryAfter is how long the caller of a rejected request should wait before a
	// retry.
	RetryAfter Millis
	Reason     RefuseReason
	// Share is set with the reason RefusedShare. Such a request has to return exactly
	// after RetryAfter, and not at all if that is zero.
	Share ShareState
}

// Limiter decides when requests may be sent, in which order they leave the queue and
// which are refused early. Implementations are deterministic and not safe for
// concurrent use.
type Limiter interface {
	// Offer submits a new request.
	Offer(now Millis, r Request) Admission
	// Next removes and returns a queued request that may be sent now. The result is
	// false when there is none.
	Next(now Millis) (Request, bool)
	// Expired removes and returns a queued request whose deadline has expired. The
	// result is false when there is none.
	Expired(now Millis) (Request, bool)
	// Withdraw removes a request from the queue because its caller closed the
	// connection.
	Withdraw(id RequestID)
	// HasRoom reports whether a backend server has capacity for one more attempt.
	HasRoom(now Millis, b BackendServer) bool
	// Sent counts an attempt against its backend server.
	Sent(now Millis, r Request, a AttemptID, b BackendServerID)
	// Observe receives every event that the decider receives.
	Observe(now Millis, e Event)
	// MayRetry reports whether the retry budget allows one more attempt. If so, it
	// deducts the attempt from the budget.
	MayRetry(now Millis, r Request) bool
}

// ExpiryRefuser is implemented by a Limiter that decides how the requests are refused that
// its queue returned as expired.
type ExpiryRefuser interface {
	// Refusal returns how the request is refused that Expired returned last. The result is
	// false for any other.
	Refusal(id RequestID) (Admission, bool)
}
