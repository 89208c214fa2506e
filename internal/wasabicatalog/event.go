package wasabicatalog

import "github.com/wasabiridge/wasabiridge"

// Peer is another live instance.
type Peer struct {
	ID      wasabiridge.InstanceID
	Address string
	// Weight is the capacity of the instance relative to others.
	Weight float64
}

// Event is an input of a Machine.
type Event interface{ isEvent() }

// Ticked reports the passage of time and the other live instances. Sources are the
// instances that a standby instance queries, the best first.
type Ticked struct{ Peers, Sources []Peer }

// ConfigRead is the result of a ReadConfig that was sent at Sent.
type ConfigRead struct {
	Sent     wasabiridge.Millis
	Snapshot wasabiridge.ConfigSnapshot
	Err      error
}

// BackendsRead is the result of a ReadBackends that was sent at Sent.
type BackendsRead struct {
	Sent     wasabiridge.Millis
	Snapshot wasabiridge.BackendSnapshot
	Err      error
}

// PeerResponded is the result of a QueryPeer that was sent at Sent.
type PeerResponded struct {
	Sent   wasabiridge.Millis
	Peer   wasabiridge.InstanceID
	Answer wasabiridge.CatalogResponse
	Err    error
}

// UpdateReceived reports a state update from another instance whose catalog has changed.
type UpdateReceived struct{ From wasabiridge.InstanceID }

func (Ticked) isEvent()         {}
func (ConfigRead) isEvent()     {}
func (BackendsRead) isEvent()   {}
func (PeerResponded) isEvent()  {}
func (UpdateReceived) isEvent() {}

// Effect is an action that a Machine requests.
type Effect interface{ isEffect() }

// ReadConfig requests a read of the configuration from the platform.
type ReadConfig struct{}

// ReadBackends requests a read of the list of backend servers from the platform. With
// FirstPage the first page of a large list is enough.
type ReadBackends struct{ FirstPage bool }

// QueryPeer requests a catalog query to another instance.
type QueryPeer struct {
	Peer  Peer
	Query wasabiridge.CatalogQuery
}

// Changed reports that the content has changed. FromPlatform is set when this instance
// read the content from the platform itself, so that it has to notify the other
// instances. Config is set for a change of the configuration, which standby instances
// must also get soon.
type Changed struct{ FromPlatform, Config bool }

// Confirmed reports that confirmation times have changed.
type Confirmed struct{}

// Restored reports that the store was restored from an earlier copy. Revision is the first
// revision that was seen of the new epoch.
type Restored struct {
	Epoch, Before wasabiridge.StoreEpoch
	Revision      uint64
}

func (Restored) isEffect() {}

// ReadIgnored reports that a read returned an older state than the known one, so that it
// neither changes nor confirms anything.
type ReadIgnored struct {
	// Part is the name of the part that was read.
	Part string
	// Revision and Known are the revisions that were read and that is known.
	Revision, Known uint64
}

// TargetRecorded reports a target version of weights that was not known before. FromInstance is
// set if another instance sent it, and not the store.
type TargetRecorded struct {
	Target       TargetVersion
	Revision     uint64
	FromInstance bool
}

// TargetOlder reports that the store names an older version of weights than the known one, which
// stays the target. It is reported once until the store names another.
type TargetOlder struct {
	Model       wasabiridge.ModelID
	Read, Known wasabiridge.WeightsVersion
	Revision    uint64
}

func (TargetRecorded) isEffect() {}
func (TargetOlder) isEffect()    {}
func (ReadIgnored) isEffect()    {}
func (ReadConfig) isEffect()     {}
func (ReadBackends) isEffect()   {}
func (QueryPeer) isEffect()      {}
func (Changed) isEffect()        {}
func (Confirmed) isEffect()      {}
