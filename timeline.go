package wasabiridge

// TimelineKind is the kind of a time line event.
type TimelineKind string

// Kinds of time line events of one request.
const (
	EventArrived    TimelineKind = "arrived"
	EventMatched    TimelineKind = "matched"
	EventClaimed    TimelineKind = "claimed"
	EventQueued     TimelineKind = "queued"
	EventPlaced     TimelineKind = "placed"
	EventSent       TimelineKind = "sent"
	EventFirstToken TimelineKind = "first_token"
	EventBroken     TimelineKind = "broken"
	EventResumed    TimelineKind = "resumed"
	EventRetried    TimelineKind = "retried"
	EventHedged     TimelineKind = "hedged"
	EventRefused    TimelineKind = "refused"
	EventEnded      TimelineKind = "ended"
)

// Kinds of time line events that concern more than one request.
const (
	EventConfigAdopted    TimelineKind = "config_adopted"
	EventBackendLost      TimelineKind = "backend_lost"
	EventBackendLeaving   TimelineKind = "backend_leaving"
	EventBackendRestarted TimelineKind = "backend_reborn"
	EventMemberChanged    TimelineKind = "member_changed"
	EventLease            TimelineKind = "lease"
	EventOrder            TimelineKind = "order"
	EventRollout          TimelineKind = "rollout"
	EventStore            TimelineKind = "store"
	EventLifecycle        TimelineKind = "lifecycle"
)

// TimelineEvent is one entry of the time line. It never holds prompt text, response
// text or keys. Fields that do not apply are empty.
type TimelineEvent struct {
	// At is hybrid logical time: the physical clock, raised above every event that is
	// known to have happened before.
	At Millis `json:"at"`
	// Logical orders events with the same At.
	Logical  uint32          `json:"logical,omitempty"`
	Instance InstanceID      `json:"instance"`
	Kind     TimelineKind    `json:"kind"`
	Request  RequestID       `json:"request,omitempty"`
	Attempt  AttemptID       `json:"attempt,omitempty"`
	Account  ClientAccountID `json:"account,omitempty"`
	Rule     RuleID          `json:"rule,omitempty"`
	Backend  BackendServerID `json:"backend,omitempty"`
	// Cause is the reason, in one or a few words.
	Cause string `json:"cause,omitempty"`
	// Value is a number whose meaning depends on the kind, such as tokens or
	// milliseconds.
	Value int64 `json:"value,omitempty"`
}

// Recorder records time line events. Implementations are safe for concurrent use and
// never block; they drop and count the events that do not fit.
type Recorder interface {
	Record(e TimelineEvent)
}
