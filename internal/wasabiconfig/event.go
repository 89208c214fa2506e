package wasabiconfig

import "github.com/wasabiridge/wasabiridge"

// Event is something that a Machine is told. The concrete types are listed in
// this file.
type Event interface{ isEvent() }

// Effect is something that a Machine wants done. The concrete types are listed
// in this file.
type Effect interface{ isEffect() }

// Heard says that a version is in force at a peer.
type Heard struct {
	Address string
	Version wasabiridge.ConfigVersion
}

// Fetched answers a FetchFromPeer.
type Fetched struct {
	Address  string
	Document wasabiridge.ConfigDocument
	Err      error
}

// TableRead answers a ReadTable. A zero document says that the table holds
// nothing newer than was asked for.
type TableRead struct {
	Document wasabiridge.ConfigDocument
	Err      error
}

// Accepted says that the table took a configuration that was put here.
type Accepted struct{ Document wasabiridge.ConfigDocument }

// Doubted says that the outcome of a write that was made here is unknown, so
// that the table should be read soon.
type Doubted struct{}

// Ticked says that time has passed. Instances is how many instances share the
// read budget of the table, this one included.
type Ticked struct{ Instances int }

func (Heard) isEvent()     {}
func (Fetched) isEvent()   {}
func (TableRead) isEvent() {}
func (Accepted) isEvent()  {}
func (Doubted) isEvent()   {}
func (Ticked) isEvent()    {}

// FetchFromPeer asks for the configuration in force at a peer. One Fetched
// follows; when it takes too long, the machine asks elsewhere.
type FetchFromPeer struct{ Address string }

// ReadTable asks for the newest configuration of the table if it is newer
// than Have. One TableRead follows.
type ReadTable struct{ Have wasabiridge.ConfigVersion }

// Announce asks for heartbeats with some random peers at once.
type Announce struct{ Peers int }

// Adopt puts a configuration in force.
type Adopt struct {
	Document wasabiridge.ConfigDocument
	Config   wasabiridge.Config
}

// Reject says that a document came that this instance cannot use. The version
// that was in force stays.
type Reject struct {
	Version wasabiridge.ConfigVersion
	Err     error
}

func (FetchFromPeer) isEffect() {}
func (ReadTable) isEffect()     {}
func (Announce) isEffect()      {}
func (Adopt) isEffect()         {}
func (Reject) isEffect()        {}
