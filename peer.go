package wasabiridge

import "context"

// Member is the state of an instance, as the instance reports it or as others know it.
// It is an immutable value.
type Member struct {
	InstanceEntry
	Incarnation Incarnation
	// Config is the version in force at the instance.
	Config ConfigVersion
	// Sequence increases when the instance announces a change of its own state within
	// one incarnation: that it is leaving, that it is detached or strained or not any
	// more, or that reports of its death are wrong.
	Sequence uint64
	// Suspect reports that the instance has recently not responded.
	Suspect bool
	// Dead reports that the instance is considered dead.
	Dead bool
	// Detached reports that the instance has no path to any backend server. It passes
	// requests on to others, and callers are not sent to it.
	Detached bool
	// Strained reports that the instance has no headroom, so that fewer callers should be
	// sent to it.
	Strained bool
	// ConfirmedAlive reports that the sender was asked whether it can still reach the
	// instance, and has just received a message from it.
	ConfirmedAlive bool
	// Age is how long ago the state of the instance last changed.
	Age Millis
	// LastReceived is when information about the instance last arrived, by the local
	// clock.
	LastReceived Millis
}

// Heartbeat is one gossip message between instances. Its size is bounded: Others holds
// a few members, never all.
type Heartbeat struct {
	From   Member
	Others []Member
	// LeavingBackends lists backend servers that must get no new work.
	LeavingBackends []BackendServerID
	// SentAt is the sender's hybrid logical time, for the order of the time line.
	SentAt Millis
	// Digest covers the members that the sender considers alive. Instances with equal
	// digests need not compare their members one by one.
	Digest uint64
}

// ConfigDocument is a configuration as accepted.
type ConfigDocument struct {
	Version ConfigVersion
	// Text is JSON with comments, as the operator wrote it.
	Text []byte
	// Author is the name of the operator, At the time of acceptance.
	Author string
	At     Millis
}

// TimelineQuery selects time line events. Empty fields match all.
type TimelineQuery struct {
	Request RequestID
	Account ClientAccountID
	Backend BackendServerID
	Since   Millis
	Until   Millis
	Limit   int
}

// TimelinePage is the response of one instance to a TimelineQuery.
type TimelinePage struct {
	Instance InstanceID
	Events   []TimelineEvent
	// Dropped counts events that the instance discarded for lack of space.
	Dropped uint64
}

// PeerClient calls other instances. Implementations are safe for concurrent
// use. All addresses are IP:port.
type PeerClient interface {
	// Exchange sends a heartbeat and returns that of the called instance.
	Exchange(ctx context.Context, address string, h Heartbeat) (Heartbeat, error)
	// FetchConfig returns the configuration in force at the called instance.
	FetchConfig(ctx context.Context, address string) (ConfigDocument, error)
	// QueryTimeline reads the time line of the called instance.
	QueryTimeline(ctx context.Context, address string, q TimelineQuery) (TimelinePage, error)
	// Claim requests a claim from the instance that issued the ticket.
	Claim(ctx context.Context, address string, q ClaimQuery) (ClaimOutcome, error)
	// FinishClaim reports to the instance that issued the ticket how a claimed request
	// ended.
	FinishClaim(ctx context.Context, address string, r ClaimResult) error
}

// PeerHandler serves the calls of a PeerClient at the called instance. Implementations
// are safe for concurrent use.
type PeerHandler interface {
	// HandleExchange answers a heartbeat.
	HandleExchange(ctx context.Context, h Heartbeat) (Heartbeat, error)
	// HandleFetchConfig returns the configuration in force at this instance.
	HandleFetchConfig(ctx context.Context) (ConfigDocument, error)
	// HandleQueryTimeline reads this instance's time line.
	HandleQueryTimeline(ctx context.Context, q TimelineQuery) (TimelinePage, error)
	// HandleClaim decides on a claim for a ticket that this instance issued.
	HandleClaim(ctx context.Context, q ClaimQuery) (ClaimOutcome, error)
	// HandleFinishClaim records the end of a claimed request.
	HandleFinishClaim(ctx context.Context, r ClaimResult) error
}
