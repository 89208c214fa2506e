package wasabiridge

// RequestArrived reports a request that passed authentication and matched a rule.
type RequestArrived struct{ Request Request }

// CallerGone reports that the caller closed its connection.
type CallerGone struct{ Request RequestID }

// RequestForwarded reports that another instance serves the request. None of its attempts
// here has sent anything.
type RequestForwarded struct{ Request RequestID }

// PathRestored reports that this instance has a path to the backend servers of a pool
// again. What failed before says nothing about the servers.
type PathRestored struct{ Pool PoolID }

// AttemptSent reports that the first byte of an attempt is about to be written to a
// connection of the backend server. From here on the request may have run.
type AttemptSent struct {
	Request RequestID
	Attempt AttemptID
}

// AttemptFirstToken reports that the first token of an attempt arrived.
type AttemptFirstToken struct {
	Request RequestID
	Attempt AttemptID
}

// AttemptResult is how an attempt ended.
type AttemptResult uint8

// Results of an attempt.
const (
	// AttemptCompleted means that the complete response arrived.
	AttemptCompleted AttemptResult = iota
	// AttemptNotRun means that the request was not executed: no byte was sent, or the
	// backend server said so in a trusted form.
	AttemptNotRun
	// AttemptBroken means that the connection or the stream ended prematurely.
	AttemptBroken
	// AttemptCancelled means that this router cancelled the attempt.
	AttemptCancelled
)

// String returns the result as it appears in logs and the time line.
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

// AttemptEnded reports the end of an attempt. Exactly one such event follows every
// Dispatch.
type AttemptEnded struct {
	Request RequestID
	Attempt AttemptID
	Backend BackendServerID
	Result  AttemptResult
	// Unsent reports that no byte of the request was written to a connection.
	Unsent bool
	// Overloaded reports that the backend server refused for lack of capacity.
	Overloaded bool
	// RetryAfter is the time to wait before a retry, as requested by the backend
	// server.
	RetryAfter Millis
	// Unreachable reports that no connection to the backend server could be
	// established.
	Unreachable bool
	// Failed reports that the backend server responded with an error of its own.
	Failed bool
	// ServerError reports that the response is an error of the backend server, also where it
	// is the answer to the caller.
	ServerError bool
	// FirstByteTimeout reports that no byte arrived before the first-byte time-out.
	FirstByteTimeout bool
	// ServerCrashed reports that the connection broke and that nothing listens at the
	// server's address any more: its process ended while it had the request.
	ServerCrashed bool
	// Misdirected reports that the address now belongs to another backend server, which
	// did not run the request.
	Misdirected bool
	// OtherWeights reports that the server refused because it serves another version of
	// the weights.
	OtherWeights bool
	// Delivered is the number of output tokens that already reached the caller.
	Delivered int
	// Framing is how the response stated where its body ends.
	Framing Framing
	// PartialEvent is the number of bytes of the event within which a stream ended.
	PartialEvent int
	Usage        Usage
	// Moved is where the response continues when its KV cache was moved. The next attempt
	// then does not count as another run.
	Moved MigrationResult
	// Malformed is the event that ended the attempt, because it belongs to no run.
	Malformed MalformedEvent
	// Stopped reports that the server may have ended the response because it was asked to
	// move the request. The end is then not a failure of the server.
	Stopped bool
	// Response is the response that ended the attempt.
	Response ResponseEvidence
}

// IdentifierMatch is whose identifier a response carries.
type IdentifierMatch string

// Identifiers of responses.
const (
	IdentifierOwn     IdentifierMatch = "own"
	IdentifierMissing IdentifierMatch = "missing"
	IdentifierOther   IdentifierMatch = "other"
)

// ResponseEvidence is what shows whether a response belongs to an attempt, and what was
// concluded from it.
type ResponseEvidence struct {
	// Status is the status code. Zero means that no response was received.
	Status     int
	Identifier IdentifierMatch
	// Requests is the number of requests that the connection carried before, Earlier that of
	// the responses that it had received before this one, and Skipped that of those responses
	// among them that arrived since the request was sent, and belong to others.
	Requests, Earlier, Skipped int
	// Behind is the number of bytes that were received with the response, behind its end.
	Behind int
	// Cause is why the attempt has its result.
	Cause string
}

// LoadReported carries a load report of a backend server.
type LoadReported struct{ Report LoadReport }

// CacheChanged carries entries of one model engine's cache event stream, in order of
// arrival.
type CacheChanged struct{ Events []CacheEvent }

// BackendLost reports that a backend server is unreachable.
type BackendLost struct{ Backend BackendServerID }

// BackendLeaving reports that a backend server must get no new work.
type BackendLeaving struct {
	Backend BackendServerID
	// Incarnation is the incarnation of the server that the request was sent to. Zero
	// means that it is not known.
	Incarnation Incarnation
	// Fault describes why the server's announcement is unusable. Such an announcement
	// is ignored. Empty means that it is usable.
	Fault string
}

// UnknownAnnouncement reports that a backend server announced something about itself that
// this version does not know.
type UnknownAnnouncement struct {
	Backend BackendServerID
	// Name is the name of the header that carried it.
	Name string
}

// ResponsePart is a part of what a backend server sends.
type ResponsePart string

// Parts of a response. PartBody is a whole body that is no answer to the request, PartCall a
// response to a call of the router itself, PartList a list of cached prefix segments, and
// PartExtra what follows the end of a response.
const (
	PartHead    ResponsePart = "head"
	PartRefusal ResponsePart = "refusal"
	PartFraming ResponsePart = "framing"
	PartEvent   ResponsePart = "event"
	PartBody    ResponsePart = "body"
	PartCall    ResponsePart = "call"
	PartList    ResponsePart = "list"
	PartExtra   ResponsePart = "extra"
)

// ResponseMalformed reports that a backend server sent bytes that are no response, or more of
// a part than is read. The connection was closed.
type ResponseMalformed struct {
	// Backend is empty if Address is that of a KV cache store.
	Backend BackendServerID
	Address string
	// Request is empty if the response is one to a call of the router itself. If Part is
	// PartExtra, it is the last request of the connection.
	Request RequestID
	Part    ResponsePart
	// Extra is what was received if Part is PartExtra, and Event if it is PartEvent.
	Extra ExtraResponse
	Event MalformedEvent
	// Cause describes what is wrong, without the bytes that were received.
	Cause string
}

// MalformedEvent describes bytes in a stream that are not the next event of a run.
type MalformedEvent struct {
	// Cause is what is wrong with them. Empty means that there were none.
	Cause string
	// Delivered is the number of events of the stream that the caller had then, or of output
	// tokens if its events have no identifiers, and LastID the identifier of the last one.
	Delivered int
	LastID    int64
	// ID is the identifier that they have, or -1.
	ID int64
	// Bytes is the number of bytes that were received of them.
	Bytes int
	// Doubt is set if the bytes may belong to the run, and too little is known of how the server
	// numbers events.
	Doubt Doubt
}

// Doubt is why the router did not pass on events whose identifiers skip others, although the bytes
// of the server are sound.
type Doubt struct {
	// Set reports that the router did not pass on events for this reason.
	Set bool
	NumberingEvidence
}

// NumberingEvidence is what streams have shown this instance of how the servers of a pool number
// events.
type NumberingEvidence struct {
	// Score is negative if identifiers skip others, and 8 if they are consecutive.
	Score int
	// Servers is the number of servers that ended streams lately, Skipping that of those whose
	// identifiers skipped others, and Doubted that of the streams of these that were cut.
	Servers, Skipping, Doubted int
	// Distrusted reports that the server sent an event that belongs to no run in one of its last
	// streams.
	Distrusted bool
}

// NumberingChanged reports that the servers of a pool with one version of software have begun to
// skip identifiers of events, or do so no more, as far as their streams have shown it.
type NumberingChanged struct {
	Pool     PoolID
	Software SoftwareVersion
	// Request is that of the stream which showed it.
	Request  RequestID
	Skips    bool
	Evidence NumberingEvidence
}

// StreamDoubted reports that a stream of a backend server ended so that its bytes do not show
// whether its last events belong to it. The streams of other servers do.
type StreamDoubted struct{ Backend BackendServerID }

// DoubtLifted reports that events at the end of a stream were passed on after a wait, because other
// streams have shown meanwhile that they belong to it.
type DoubtLifted struct {
	Request  RequestID
	Backend  BackendServerID
	Waited   Millis
	Evidence NumberingEvidence
}

// ExtraResponse describes what was received behind the last response of a connection.
type ExtraResponse struct {
	// Bytes is the number of bytes that were examined.
	Bytes int
	// Status is the status code. Zero means that the bytes do not begin with the head of a
	// response.
	Status int
	// Identifier is own if the bytes carry that of the last request of the connection.
	Identifier IdentifierMatch
	// Sealed reports that the bytes carry the proof of a server that it wrote the response, and
	// NotRun that they state that a request did not run.
	Sealed, NotRun bool
}

// PauseRequested reports that a backend server refused a request and wants no further
// requests from this instance for a while.
type PauseRequested struct {
	Backend BackendServerID
	// Incarnation is as in BackendLeaving.
	Incarnation Incarnation
	Duration    Millis
	// Fault describes why the requested duration is unusable. Such a request is ignored.
	// Empty means that it is usable.
	Fault string
}

// BrittleAnnounced reports what an answer says about how its server bears overload. The
// server ends when it refuses more than Refusals requests in a second for want of room.
type BrittleAnnounced struct {
	Backend BackendServerID
	// Incarnation is as in BackendLeaving.
	Incarnation Incarnation
	// Brittle is false for a successful answer that announces nothing.
	Brittle  bool
	Refusals float64
	// RequestSentAt is when the request of the answer was sent.
	RequestSentAt Millis
	// Fault describes why the announcement is unusable. The server then counts as one
	// that ends at the first refusal. Empty means that it is usable.
	Fault string
}

// WeightsReported reports which version of a model a backend server serves.
type WeightsReported struct {
	Backend BackendServerID
	Model   ModelID
	Weights WeightsVersion
	// Incarnation is the incarnation in which the server reported the version. Zero
	// means its present one, as far as known.
	Incarnation Incarnation
	// RequestSentAt is set if the version was read from the response to a request that was
	// sent then. Zero means that it is from the list, a report or another instance.
	RequestSentAt Millis
	// Unlisted is set if the version is from a report, and the list may not have it yet.
	Unlisted bool
}

// TargetWeightsSet reports which version of a model the operators want served. At is when
// the version was first seen.
type TargetWeightsSet struct {
	Model   ModelID
	Weights WeightsVersion
	At      Millis
}

// BackendInBackoff reports that a backend server is in backoff: it takes no new work
// until a point in time, because it is about to load weights or is loading them. A time
// in the past ends an earlier backoff.
type BackendInBackoff struct {
	Backend BackendServerID
	Until   Millis
}

// BackendDraining reports that a backend server is being drained: until a point in time
// it takes only light work, so that it has little to finish when it loads weights. A
// time in the past ends the drain.
type BackendDraining struct {
	Backend BackendServerID
	Until   Millis
}

// PeerPlaced reports what another instance has sent to backend servers.
type PeerPlaced struct {
	From     InstanceID
	Loads    []LoadUpdate
	Segments []SegmentUpdate
}

// CacheStoreChecked reports whether a KV cache store is reachable.
type CacheStoreChecked struct {
	Address string
	Up      bool
}

// CacheStoreListed reports which prompt segments a KV cache store holds.
type CacheStoreListed struct {
	Address  string
	Segments []SegmentUpdate
}

// ConfigAdopted reports that a configuration is in force at this instance.
type ConfigAdopted struct{ Config Config }

// Ticked reports the passage of time. The driver sends one at least every 50 ms.
type Ticked struct{}

func (RequestArrived) isEvent()      {}
func (CallerGone) isEvent()          {}
func (RequestForwarded) isEvent()    {}
func (PathRestored) isEvent()        {}
func (AttemptSent) isEvent()         {}
func (AttemptFirstToken) isEvent()   {}
func (AttemptEnded) isEvent()        {}
func (LoadReported) isEvent()        {}
func (CacheChanged) isEvent()        {}
func (BackendLost) isEvent()         {}
func (BackendLeaving) isEvent()      {}
func (UnknownAnnouncement) isEvent() {}
func (ResponseMalformed) isEvent()   {}
func (NumberingChanged) isEvent()    {}
func (StreamDoubted) isEvent()       {}
func (DoubtLifted) isEvent()         {}
func (PauseRequested) isEvent()      {}
func (BrittleAnnounced) isEvent()    {}
func (WeightsReported) isEvent()     {}
func (TargetWeightsSet) isEvent()    {}
func (BackendInBackoff) isEvent()    {}
func (BackendDraining) isEvent()     {}
func (PeerPlaced) isEvent()          {}
func (CacheStoreChecked) isEvent()   {}
func (CacheStoreListed) isEvent()    {}
func (ConfigAdopted) isEvent()       {}
func (Ticked) isEvent()              {}
