package wasabiridge

import "context"

// Member is what an instance says of itself, or what is known of it. It is an
// immutable value.
type Member struct {
	InstanceEntry
	Incarnation Incarnation
	// Config is the version in force at the instance.
	Config ConfigVersion
	// Sequence rises when the instance says something new of itself within
	// one incarnation: that it leaves, or that news of its death is wrong.
	Sequence uint64
	// Suspect says that the instance did not answer lately.
	Suspect bool
	// Dead says that the instance was given up.
	Dead bool
	// Vouched says that the sender just heard the instance, after it was
	// asked whether it still reaches it.
	Vouched bool
	// Age is how long ago the state of the instance last changed.
	Age Millis
	// Heard is when news of the instance last came, by the local clock.
	Heard Millis
}

// Heartbeat is one message of the exchange between instances. Its size is
// bounded: Others holds a few members, never all.
type Heartbeat struct {
	From   Member
	Others []Member
	// LeavingBackends names backend servers that must get no new work.
	LeavingBackends []BackendServerID
	// SentAt is the sender's hybrid time, for the order of the time line.
	SentAt Millis
	// Digest covers the members that the sender takes to be alive. Senders
	// with equal digests need not compare their members one by one.
	Digest uint64
}

// ConfigDocument is a configuration as it was accepted.
type ConfigDocument struct {
	Version ConfigVersion
	// Text is JSON with comments, as the operator wrote it.
	Text []byte
	// Author names the operator, At is when it was accepted.
	Author string
	At     Millis
}

// TimelineQuery selects time line events. Empty fields select all.
type TimelineQuery struct {
	Request RequestID
	Account ClientAccountID
	Backend BackendServerID
	Since   Millis
	Until   Millis
	Limit   int
}

// TimelinePage is the answer of one instance to a TimelineQuery.
type TimelinePage struct {
	Instance InstanceID
	Events   []TimelineEvent
	// Dropped counts events that the instance lost for lack of room.
	Dropped uint64
}

// PeerClient calls other instances. Implementations are safe for concurrent
// use. All addresses are IP:port.
type PeerClient interface {
	// Exchange sends a heartbeat and returns the other's.
	Exchange(ctx context.Context, address string, h Heartbeat) (Heartbeat, error)
	// FetchConfig returns the configuration in force at the other instance.
	FetchConfig(ctx context.Context, address string) (ConfigDocument, error)
	// QueryTimeline reads the other instance's time line.
	QueryTimeline(ctx context.Context, address string, q TimelineQuery) (TimelinePage, error)
	// Claim asks the other instance, which issued the ticket, for a claim.
	Claim(ctx context.Context, address string, q ClaimQuery) (ClaimOutcome, error)
	// FinishClaim tells the other instance how a claimed request ended.
	FinishClaim(ctx context.Context, address string, r ClaimResult) error
}

// PeerHandler answers calls of other instances. Implementations are safe for
// concurrent use.
type PeerHandler interface {
	// HandleExchange answers a heartbeat.
	HandleExchange(ctx context.Context, h Heartbeat) (Heartbeat, error)
	// HandleFetchConfig returns the configuration in force here.
	HandleFetchConfig(ctx context.Context) (ConfigDocument, error)
	// HandleQueryTimeline reads this instance's time line.
	HandleQueryTimeline(ctx context.Context, q TimelineQuery) (TimelinePage, error)
	// HandleClaim decides on a claim for a ticket that was issued here.
	HandleClaim(ctx context.Context, q ClaimQuery) (ClaimOutcome, error)
	// HandleFinishClaim takes the end of a claimed request.
	HandleFinishClaim(ctx context.Context, r ClaimResult) error
}
