package wasabicatalog

import "github.com/wasabiridge/wasabiridge"

// Peer is another living instance.
type Peer struct {
	ID      wasabiridge.InstanceID
	Address string
	// Weight is how much the instance can take beside others.
	Weight float64
}

// Event is something that the machine is told.
type Event interface{ isEvent() }

// Ticked says that time has passed, and which other instances live. Sources are
// whom a standby instance asks, the best first.
type Ticked struct{ Peers, Sources []Peer }

// ConfigRead is the outcome of a ReadConfig that was sent at Sent.
type ConfigRead struct {
	Sent     wasabiridge.Millis
	Snapshot wasabiridge.ConfigSnapshot
	Err      error
}

// BackendsRead is the outcome of a ReadBackends that was sent at Sent.
type BackendsRead struct {
	Sent     wasabiridge.Millis
	Snapshot wasabiridge.BackendSnapshot
	Err      error
}

// PeerAnswered is the outcome of an AskPeer that was sent at Sent.
type PeerAnswered struct {
	Sent   wasabiridge.Millis
	Peer   wasabiridge.InstanceID
	Answer wasabiridge.CatalogAnswer
	Err    error
}

// NewsHeard says that another instance's catalog has changed.
type NewsHeard struct{ From wasabiridge.InstanceID }

func (Ticked) isEvent()       {}
func (ConfigRead) isEvent()   {}
func (BackendsRead) isEvent() {}
func (PeerAnswered) isEvent() {}
func (NewsHeard) isEvent()    {}

// Effect is something that the machine wants done.
type Effect interface{ isEffect() }

// ReadConfig asks for a read of the configuration.
type ReadConfig struct{}

// ReadBackends asks for a read of the list of backend servers.
type ReadBackends struct{}

// AskPeer asks for a question to another instance.
type AskPeer struct {
	Peer  Peer
	Query wasabiridge.CatalogQuery
}

// Changed says that the content has changed. FromPlatform says that this
// instance read it itself, so that the others are told. Config says that it is the
// configuration, which also those must know soon to whom no callers are sent.
type Changed struct{ FromPlatform, Config bool }

// Proven says that the proofs have changed.
type Proven struct{}

func (ReadConfig) isEffect()   {}
func (ReadBackends) isEffect() {}
func (AskPeer) isEffect()      {}
func (Changed) isEffect()      {}
func (Proven) isEffect()       {}
