package wasabimetrics

import "github.com/wasabiridge/wasabiridge"

// Name is the name of a metric, with its parts separated by dots. It does not
// contain the unit, which is in Definition.Unit.
type Name string

// Kind is the kind of a metric.
type Kind string

// Kinds of metrics.
const (
	// KindCounter only increases, and starts at zero with the process.
	KindCounter Kind = "counter"
	// KindGauge is a current value.
	KindGauge Kind = "gauge"
	// KindHistogram is a sample of the values of the last minutes, with
	// percentiles.
	KindHistogram Kind = "histogram"
)

// Names of all metrics except the event counters, whose names are made by
// eventCounter.
const (
	RequestsOpen         Name = "requests.open"
	FirstToken           Name = "requests.first_token"
	ConfigVersion        Name = "config.version"
	MembersKnown         Name = "members.known"
	MembersSuspect       Name = "members.suspect"
	BackendsLost         Name = "backends.lost"
	ResponsesMalformed   Name = "backends.malformed_responses"
	TimelineEvents       Name = "timeline.events"
	TimelineDropped      Name = "timeline.dropped"
	TimelineUnpublished  Name = "timeline.unpublished"
	TimelineUnreadable   Name = "timeline.unreadable"
	TimelineSkews        Name = "timeline.refused_skews"
	OutcomeSeries        Name = "outcomes.series"
	OutcomeFolded        Name = "outcomes.folded"
	OutcomeWrites        Name = "outcomes.writes"
	OutcomeWriteFailures Name = "outcomes.write_failures"
	OutcomeUnwrittenAge  Name = "outcomes.unwritten_age"
	OutcomeDropped       Name = "outcomes.dropped_days"
	ConnectionsOpen      Name = "connections.open"
	ConnectionsBytes     Name = "connections.bytes"
	ConnectionsClosed    Name = "connections.closed"
	HeldBytes            Name = "held.bytes"
	HeldRefused          Name = "held.refused"
	ProcessGoroutines    Name = "process.goroutines"
	ProcessHeap          Name = "process.heap"
)

// Definition describes one metric.
type Definition struct {
	Name Name
	Kind Kind
	// Unit is the unit of the value, such as "ms" or "requests".
	Unit string
	// Help is the description in docs/METRICS.md.
	Help string
}

// eventKinds lists the kinds of time line events that are counted, with the help
// texts of their counters.
var eventKinds = []struct {
	kind wasabiridge.TimelineKind
	help string
}{
	{wasabiridge.EventArrived, "Requests that passed authentication."},
	{wasabiridge.EventMatched, "Requests that a rule matched."},
	{wasabiridge.EventClaimed, "Decisions on claims of non-idempotent requests."},
	{wasabiridge.EventQueued, "Requests that waited for room."},
	{wasabiridge.EventPlaced, "Choices of a backend server."},
	{wasabiridge.EventSent, "Attempts whose first byte was handed to a connection."},
	{wasabiridge.EventFirstToken, "Attempts that gave a first token."},
	{wasabiridge.EventBroken, "Attempts that broke."},
	{wasabiridge.EventResumed, "Streams resumed at another backend server."},
	{wasabiridge.EventRetried, "Requests tried again."},
	{wasabiridge.EventHedged, "Second attempts beside one that still ran."},
	{wasabiridge.EventRefused, "Requests that were turned down."},
	{wasabiridge.EventEnded, "Requests that ended, whatever the result."},
	{wasabiridge.EventConfigAdopted, "Configurations that came into force here."},
	{wasabiridge.EventBackendLost, "Backend servers that stopped answering."},
	{wasabiridge.EventBackendLeaving, "Backend servers that began to leave."},
	{wasabiridge.EventBackendRestarted, "Backend servers that came back with an empty cache."},
	{wasabiridge.EventMemberChanged, "Changes of what is known of other instances."},
	{wasabiridge.EventLease, "Leases that were taken, renewed or lost."},
	{wasabiridge.EventOrder, "Orders to backend servers."},
	{wasabiridge.EventRollout, "Steps of rollouts."},
	{wasabiridge.EventStore, "Changes of the platform's store between reachable and not."},
	{wasabiridge.EventLifecycle, "Starts, drains and ends of this process."},
}

// eventCounter returns the name of the counter of a kind of events.
func eventCounter(k wasabiridge.TimelineKind) Name { return Name("events." + string(k)) }

// RequestsArrived counts requests that passed authentication.
var RequestsArrived = eventCounter(wasabiridge.EventArrived)

// Definitions returns the definitions of all metrics, in the order of
// docs/METRICS.md.
func Definitions() []Definition {
	defined := []Definition{
		{RequestsOpen, KindGauge, "requests", "Requests that are being served now."},
		{FirstToken, KindHistogram, "ms", "Time from arrival to the first token."},
		{ConfigVersion, KindGauge, "version", "Configuration in force here. 0 means none."},
		{MembersKnown, KindGauge, "instances", "Other instances that are known."},
		{MembersSuspect, KindGauge, "instances", "Other instances that did not answer lately."},
		{BackendsLost, KindGauge, "backend servers", "Backend servers that cannot be reached from here."},
		{ResponsesMalformed, KindCounter, "responses", "Responses of engines with events, bodies or heads that are no part of an answer."},
		{TimelineEvents, KindGauge, "events", "Time line events recorded since the start."},
		{TimelineDropped, KindGauge, "events", "Time line events overwritten since the start. It rises for ever once the ring is full; its rate tells how far back the ring reaches."},
		{TimelineUnpublished, KindCounter, "events", "Time line events overwritten before subscribers in the process saw them. The event counters below miss them."},
		{TimelineUnreadable, KindCounter, "messages", "Messages of the time line that could not be decoded."},
		{TimelineSkews, KindGauge, "messages", "Messages whose clock was too far ahead to be followed."},
		{OutcomeSeries, KindGauge, "series", "Series of account, rule and model held for the current day."},
		{OutcomeFolded, KindGauge, "requests", "Requests counted under the account ~other for lack of room, since the start."},
		{OutcomeWrites, KindGauge, "objects", "Outcome objects written since the start."},
		{OutcomeWriteFailures, KindGauge, "objects", "Outcome writes that failed or whose end is unknown."},
		{OutcomeUnwrittenAge, KindGauge, "ms", "Age of the oldest outcome that is not in the store: what would be lost if this process died now."},
		{OutcomeDropped, KindGauge, "days", "Days of outcomes given up because the store was away for too long."},
		{ConnectionsOpen, KindGauge, "connections", "Connections of callers, operators and other instances that are open here."},
		{ConnectionsBytes, KindGauge, "bytes", "What these connections are assumed to take, with the heads of their requests."},
		{ConnectionsClosed, KindGauge, "connections", "Connections closed since the start to make room for others, or because a head was too large or not complete in time. The log tells which."},
		{HeldBytes, KindGauge, "bytes", "What requests hold, if the settings name the memory."},
		{HeldRefused, KindGauge, "requests", "Requests refused since the start because too much was held for others."},
		{ProcessGoroutines, KindGauge, "goroutines", "Goroutines of the process."},
		{ProcessHeap, KindGauge, "bytes", "Heap in use."},
	}
	for _, k := range eventKinds {
		defined = append(defined, Definition{eventCounter(k.kind), KindCounter, "events", k.help})
	}
	return defined
}
