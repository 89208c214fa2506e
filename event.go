package wasabiridge

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
