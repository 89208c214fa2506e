package wasabiridge

// ServerEnd says that a backend server ended while it had a request. It is an
// immutable value.
type ServerEnd struct {
	Backend     BackendServerID
	Incarnation Incarnation
	// Ran is how long before its end the request was sent there. What was sent before
	// another server had ended does not follow that end.
	Ran Millis
	// Weights is the version of the request's model that was named when it was sent.
	Weights WeightsVersion
	// Age is how long ago the server ended, At the same by the local clock. News carries
	// the age, because instances do not share a clock.
	Age Millis
	At  Millis
}

// CrashNews is what an instance knows of the servers that ended under a request. What
// two instances know is put together in any order and any number of times.
type CrashNews struct {
	Fingerprint Fingerprint
	Account     ClientAccountID
	Model       ModelID
	// Epoch counts the whole answers that the request got after servers had ended under
	// it. What was known in an earlier epoch does not count any more.
	Epoch uint32
	Ends  []ServerEnd
}

// Standing is how a request stands that is about to be sent to a backend server.
type Standing uint8

// Standings of a request.
const (
	// StandingFree is a request under which no server ended.
	StandingFree Standing = iota
	// StandingSuspect is one under which servers ended. It may go, but to one server at
	// a time, which is the same for all instances.
	StandingSuspect
	// StandingDeferred is one that a few other instances may try, and this one may not
	// now. It may come back soon.
	StandingDeferred
	// StandingBarred is one that reaches no server.
	StandingBarred
)

// Quarantine judges requests by the servers that ended under them. Implementations are
// deterministic and not safe for concurrent use.
type Quarantine interface {
	// Judge is asked before anything of a request goes to a server.
	Judge(now Millis, r Request) Standing
	// Sent tells that an attempt goes to a server.
	Sent(now Millis, r Request, a AttemptID, b BackendServer)
	// Observe takes every event that the decider takes.
	Observe(now Millis, e Event)
}

// CrashesHeard carries what another instance knows of requests under which servers
// ended.
type CrashesHeard struct {
	From    InstanceID
	Crashes []CrashNews
}

// QuarantineReleased says that an operator let a request go again.
type QuarantineReleased struct{ Fingerprint Fingerprint }

func (CrashesHeard) isEvent()       {}
func (QuarantineReleased) isEvent() {}
