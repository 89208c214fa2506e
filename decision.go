package wasabiridge

// Event is something that a Decider is told. The concrete types are listed in
// this file; a Decider ignores types that it does not know.
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

// RequestArrived says that a request passed authentication and rules.
type RequestArrived struct{ Request Request }

// CallerGone says that the caller closed its connection.
type CallerGone struct{ Request RequestID }

// AttemptSent says that the first byte of an attempt is about to be handed to
// a connection of the backend server. From here on the request may have run.
type AttemptSent struct {
	Request RequestID
	Attempt AttemptID
}

// AttemptFirstToken says that the first token of an attempt arrived.
type AttemptFirstToken struct {
	Request RequestID
	Attempt AttemptID
}

// AttemptResult tells how an attempt ended.
type AttemptResult uint8

// Results of an attempt.
const (
	// AttemptCompleted means that the whole answer arrived.
	AttemptCompleted AttemptResult = iota
	// AttemptNotRun means that nothing was executed: no byte was sent, or
	// the backend server said so in a trusted form.
	AttemptNotRun
	// AttemptBroken means that the connection or the stream ended early.
	AttemptBroken
	// AttemptCancelled means that this router gave the attempt up.
	AttemptCancelled
)

// String returns the result as logs and the time line show it.
func (r AttemptResult) String() string {
	switch r {
	case AttemptNotRun:
		return "not_run"
	case AttemptCancelled:
		return "cancelled"
	case AttemptCompleted:
		return "completed"
	default:
		return "broken"
	}
}

// AttemptEnded says that an attempt is over. Exactly one such event follows
// every Dispatch.
type AttemptEnded struct {
	Request RequestID
	Attempt AttemptID
	Backend BackendServerID
	Result  AttemptResult
	// Overloaded says that the backend server refused for lack of room.
	Overloaded bool
	// RetryAfter is when the backend server asked to be tried again.
	RetryAfter Millis
	// Unreachable says that no connection to the backend server could be had.
	Unreachable bool
	// Failed says that the backend server answered with a failure of its own.
	Failed bool
	// Silent says that no byte came within the time that was allowed for the
	// first one.
	Silent bool
	// ServerEnded says that the connection broke and that nothing listens at the
	// server's address any more: its process ended while it had the request.
	ServerEnded bool
	// Misdirected says that the address belongs to another backend server
	// now, which did not run the request.
	Misdirected bool
	// OtherWeights says that the server refused because it serves another
	// version of the weights.
	OtherWeights bool
	// Delivered counts output tokens that already reached the caller.
	Delivered int
	Usage     Usage
	// Moved says where the answer goes on, when its memory was moved. It is not a
	// failure of the server then, and the next attempt not one more run.
	Moved Moved
}

// LoadReported carries a load report.
type LoadReported struct{ Report LoadReport }

// CacheChanged carries entries of one model engine's cache event stream, in
// the order in which they came.
type CacheChanged struct{ Events []CacheEvent }

// BackendLost says that a backend server cannot be reached.
type BackendLost struct{ Backend BackendServerID }

// BackendLeaving says that a backend server must get no new work.
type BackendLeaving struct{ Backend BackendServerID }

// WeightsReported says which version of a model a backend server serves.
type WeightsReported struct {
	Backend BackendServerID
	Model   ModelID
	Weights WeightsVersion
	// Incarnation is the life in which the server said so. Zero means its present
	// one, as far as that is known.
	Incarnation Incarnation
}

// WeightsNamed says which version of a model the operators want served. At is
// when the version was first heard of.
type WeightsNamed struct {
	Model   ModelID
	Weights WeightsVersion
	At      Millis
}

// BackendResting says that a backend server takes no new work until a point
// in time, because it is about to load weights or is loading them. A time that
// has passed ends an earlier rest.
type BackendResting struct {
	Backend BackendServerID
	Until   Millis
}

// BackendEasing says that a backend server takes only light work until a point in
// time, because it will load weights soon and should have little to finish then.
// A time that has passed ends that.
type BackendEasing struct {
	Backend BackendServerID
	Until   Millis
}

// PeerPlaced says what another instance has sent to backend servers.
type PeerPlaced struct {
	From  InstanceID
	Loads []LoadNews
	Parts []PartNews
}

// KeptCacheSeen says whether a store of kept KV cache can be reached.
type KeptCacheSeen struct {
	Address string
	Up      bool
}

// KeptCacheListed says which parts a store of kept KV cache holds.
type KeptCacheListed struct {
	Address string
	Parts   []PartNews
}

// ConfigAdopted says that a configuration is in force at this instance.
type ConfigAdopted struct{ Config Config }

// Ticked says that time has passed. The driver sends one at least every
// 50 ms.
type Ticked struct{}

func (RequestArrived) isEvent()    {}
func (CallerGone) isEvent()        {}
func (AttemptSent) isEvent()       {}
func (AttemptFirstToken) isEvent() {}
func (AttemptEnded) isEvent()      {}
func (LoadReported) isEvent()      {}
func (CacheChanged) isEvent()      {}
func (BackendLost) isEvent()       {}
func (BackendLeaving) isEvent()    {}
func (WeightsReported) isEvent()   {}
func (WeightsNamed) isEvent()      {}
func (BackendResting) isEvent()    {}
func (BackendEasing) isEvent()     {}
func (PeerPlaced) isEvent()        {}
func (KeptCacheSeen) isEvent()     {}
func (KeptCacheListed) isEvent()   {}
func (ConfigAdopted) isEvent()     {}
func (Ticked) isEvent()            {}

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
