package wasabimember

import "github.com/wasabiridge/wasabiridge"

// Event is an input of a Machine.
type Event interface{ isEvent() }

// Effect is an action that a Machine requests from its driver.
type Effect interface{ isEffect() }

// Ticked reports that time has passed. The driver sends one every 50 ms.
type Ticked struct{}

// ListRead carries the platform's list of instances.
type ListRead struct{ Entries []wasabiridge.InstanceEntry }

// HeartbeatReceived reports a heartbeat that another instance sent. Handling it emits
// exactly one Reply.
type HeartbeatReceived struct{ Heartbeat wasabiridge.Heartbeat }

// ResponseReceived carries the response to an Exchange. An Exchange that gets no
// response needs no event.
type ResponseReceived struct{ Heartbeat wasabiridge.Heartbeat }

// LeaveStarted reports that this instance has begun to leave.
type LeaveStarted struct{}

// ConfigChanged reports the version of the configuration that is in force at
// this instance.
type ConfigChanged struct{ Version wasabiridge.ConfigVersion }

// DetachedChanged reports whether this instance has no path to any backend server.
type DetachedChanged struct{ Detached bool }

// StrainedChanged reports whether this instance has no headroom.
type StrainedChanged struct{ Strained bool }

// BackendsLeft names backend servers that reported to this instance that they
// are leaving.
type BackendsLeft struct{ Backends []wasabiridge.BackendServerID }

// AnnounceRequested requests heartbeats to Count random members at once.
type AnnounceRequested struct{ Count int }

func (Ticked) isEvent()            {}
func (ListRead) isEvent()          {}
func (HeartbeatReceived) isEvent() {}
func (ResponseReceived) isEvent()  {}
func (LeaveStarted) isEvent()      {}
func (ConfigChanged) isEvent()     {}
func (DetachedChanged) isEvent()   {}
func (StrainedChanged) isEvent()   {}
func (BackendsLeft) isEvent()      {}
func (AnnounceRequested) isEvent() {}

// Exchange requests that a heartbeat be sent to another instance.
type Exchange struct {
	To        wasabiridge.InstanceID
	Address   string
	Heartbeat wasabiridge.Heartbeat
}

// Reply is the response to the heartbeat that was just handled.
type Reply struct{ Heartbeat wasabiridge.Heartbeat }

// Changed reports that a member was added, was declared dead, or changed its
// state.
type Changed struct{ Member wasabiridge.Member }

// MemberReceived reports a heartbeat that came from the member itself. Its Config is the
// version in force there, and that version can be fetched at its PeerAddress.
type MemberReceived struct{ Member wasabiridge.Member }

// BackendsLeaving names backend servers that, according to another instance,
// must get no new requests.
type BackendsLeaving struct{ Backends []wasabiridge.BackendServerID }

func (Exchange) isEffect()        {}
func (Reply) isEffect()           {}
func (Changed) isEffect()         {}
func (MemberReceived) isEffect()  {}
func (BackendsLeaving) isEffect() {}
