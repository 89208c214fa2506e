package wasabiconfig

import "github.com/wasabiridge/wasabiridge"

// Event is an input of a Machine. The concrete types are listed in this file.
type Event interface{ isEvent() }

// Effect is an action that a Machine requests. The concrete types are listed in this
// file.
type Effect interface{ isEffect() }

// VersionReceived reports the version in force at a peer.
type VersionReceived struct {
	Address string
	Version wasabiridge.ConfigVersion
}

// Fetched is the result of a FetchFromPeer.
type Fetched struct {
	Address  string
	Document wasabiridge.ConfigDocument
	Err      error
}

// TableRead is the result of a ReadTable. A zero document means that the table holds
// nothing newer than requested.
type TableRead struct {
	Document wasabiridge.ConfigDocument
	Err      error
}

// Accepted reports that the table accepted a configuration that was put at this
// instance.
type Accepted struct{ Document wasabiridge.ConfigDocument }

// OutcomeUnknown reports that the outcome of a write by this instance is unknown, so
// that the table should be read soon.
type OutcomeUnknown struct{}

// Ticked reports the passage of time. Instances is the number of instances that share
// the read budget of the table, including this one.
type Ticked struct{ Instances int }

func (VersionReceived) isEvent() {}
func (Fetched) isEvent()         {}
func (TableRead) isEvent()       {}
func (Accepted) isEvent()        {}
func (OutcomeUnknown) isEvent()  {}
func (Ticked) isEvent()          {}

// FetchFromPeer requests the configuration in force at a peer. One Fetched follows;
// when it takes too long, the machine queries another peer.
type FetchFromPeer struct{ Address string }

// ReadTable requests the newest configuration of the table if it is newer than Have.
// One TableRead follows.
type ReadTable struct{ Have wasabiridge.ConfigVersion }

// Announce requests immediate heartbeat exchanges with some random peers.
type Announce struct{ Peers int }

// Adopt puts a configuration in force.
type Adopt struct {
	Document wasabiridge.ConfigDocument
	Config   wasabiridge.Config
}

// Reject reports a document that this instance cannot use. The previous version stays
// in force.
type Reject struct {
	Version wasabiridge.ConfigVersion
	Err     error
}

func (FetchFromPeer) isEffect() {}
func (ReadTable) isEffect()     {}
func (Announce) isEffect()      {}
func (Adopt) isEffect()         {}
func (Reject) isEffect()        {}
