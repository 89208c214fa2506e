package wasabimember

import "github.com/wasabiridge/wasabiridge"

// Event is something that a Machine is told.
type Event interface{ isEvent() }

// Effect is something that a Machine wants done.
type Effect interface{ isEffect() }

// Ticked says that time has passed. The driver sends one every 50 ms.
type Ticked struct{}

// Listed carries the platform's list of instances.
type Listed struct{ Entries []wasabiridge.InstanceEntry }

// Asked says that another instance sent a heartbeat. Exactly one Reply follows.
type Asked struct{ Heartbeat wasabiridge.Heartbeat }

// Answered carries the answer to an Exchange. An Exchange without an answer
// needs no event.
type Answered struct{ Heartbeat wasabiridge.Heartbeat }

// LeaveStarted says that this instance is leaving.
type LeaveStarted struct{}

// ConfigInForce says which version of the configuration is in force here.
type ConfigInForce struct{ Version wasabiridge.ConfigVersion }

// BackendsLeft names backend servers of which this instance learned that they
// are leaving.
type BackendsLeft struct{ Backends []wasabiridge.BackendServerID }

// AnnounceWanted asks for heartbeats to a few random members at once.
type AnnounceWanted struct{ Count int }

func (Ticked) isEvent()         {}
func (Listed) isEvent()         {}
func (Asked) isEvent()          {}
func (Answered) isEvent()       {}
func (LeaveStarted) isEvent()   {}
func (ConfigInForce) isEvent()  {}
func (BackendsLeft) isEvent()   {}
func (AnnounceWanted) isEvent() {}

// Exchange asks to send a heartbeat to another instance.
type Exchange struct {
	To        wasabiridge.InstanceID
	Address   string
	Heartbeat wasabiridge.Heartbeat
}

// Reply is the answer to the heartbeat that was just handled.
type Reply struct{ Heartbeat wasabiridge.Heartbeat }

// Changed says that a member was added, given up, or changed its state.
type Changed struct{ Member wasabiridge.Member }

// Heard says that a member itself spoke. Its Config is the version in force
// there, and its PeerAddress is where that version can be fetched.
type Heard struct{ Member wasabiridge.Member }

// BackendsLeaving names backend servers of which another instance says that
// they must get no new work.
type BackendsLeaving struct{ Backends []wasabiridge.BackendServerID }

func (Exchange) isEffect()        {}
func (Reply) isEffect()           {}
func (Changed) isEffect()         {}
func (Heard) isEffect()           {}
func (BackendsLeaving) isEffect() {}
