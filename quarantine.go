package wasabiridge

// ServerCrash records that the process of a backend server ended while it had a request.
// It is an immutable value.
type ServerCrash struct {
	Backend     BackendServerID
	Incarnation Incarnation
	// RunTime is the time from the sending of the request to the end of the server. A
	// request that was sent before another server had ended does not count as sent
	// after that end.
	RunTime Millis
	// Weights is the version of the request's model that the operators wanted served
	// when the request was sent.
	Weights WeightsVersion
	// Age is how long ago the server ended, At the same moment by the local clock.
	// Messages carry the age because instances do not share a clock.
	Age Millis
	At  Millis
}

// CrashUpdate is what an instance knows of the servers that ended while they had a
// request, or requests with a part of their prompts in common. Merging such updates gives the same result in any order and with any number
// of repetitions.
type CrashUpdate struct {
	Fingerprint Fingerprint
	// Part says that the record is on a part of prompts, which the fingerprint
	// identifies, and not on a request.
	Part    bool
	Account ClientAccountID
	Model   ModelID
	// Epoch counts the complete responses to the request after servers had ended while
	// they had it. Ends of an earlier epoch no longer count.
	Epoch   uint32
	Crashes []ServerCrash
}

// QuarantineVerdict is the decision of the Quarantine on a request that is about to be
// sent to a backend server.
type QuarantineVerdict uint8

// Standings of a request.
const (
	// QuarantineFree means that no server ended while it had the request.
	QuarantineFree QuarantineVerdict = iota
	// QuarantineSuspect means that servers ended while they had the request. It may be
	// sent, but to one server at a time, which is the same for all instances.
	QuarantineSuspect
	// QuarantineDeferred means that a few other instances may try the request, but not
	// this one now. Its caller may retry soon.
	QuarantineDeferred
	// QuarantineBlocked means that the request is blocked and sent to no server.
	QuarantineBlocked
)

// Quarantine blocks requests that repeatedly end the backend servers that run them.
// Implementations are deterministic and not safe for concurrent use.
type Quarantine interface {
	// Check is called before a request is sent to a server.
	Check(now Millis, r Request) QuarantineVerdict
	// Sent records that an attempt is being sent to a server.
	Sent(now Millis, r Request, a AttemptID, b BackendServer)
	// Observe receives every event that the decider receives.
	Observe(now Millis, e Event)
}

// CrashesReceived carries what another instance knows of requests that ended servers.
type CrashesReceived struct {
	From    InstanceID
	Crashes []CrashUpdate
}

// QuarantineReleased reports that an operator unblocked a request.
type QuarantineReleased struct{ Fingerprint Fingerprint }

func (CrashesReceived) isEvent()    {}
func (QuarantineReleased) isEvent() {}
