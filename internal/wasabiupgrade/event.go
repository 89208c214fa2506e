package wasabiupgrade

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

// Event is something that the machine is told.
type Event interface{ isEvent() }

// Ticked says that time has passed, what the platform lists, which weights are
// wanted, and the lease.
type Ticked struct {
	Entries []wasabiridge.BackendEntry
	Wanted  map[wasabiridge.ModelID]wasabiridge.WeightsVersion
	Grant   wasabilease.Grant
}

// Ordered is the outcome of a SendOrder.
type Ordered struct {
	Backend wasabiridge.BackendServerID
	Model   wasabiridge.ModelID
	Fencing wasabiridge.FencingNumber
	Fenced  bool
	Refused bool
	// Unsure says that nothing shows whether the order was accepted: there was
	// no answer, or the replica carries out another order.
	Unsure bool
}

// StateRead is the outcome of a ReadState.
type StateRead struct {
	Backend wasabiridge.BackendServerID
	Model   wasabiridge.ModelID
	State   wasabiridge.EngineState
	Failed  bool
}

// Heard says that another instance told of a replica, as it does when it gives
// orders.
type Heard struct{ Backend wasabiridge.BackendServerID }

func (Ticked) isEvent()    {}
func (Heard) isEvent()     {}
func (Ordered) isEvent()   {}
func (StateRead) isEvent() {}

// Effect is something that the machine wants done.
type Effect interface{ isEffect() }

// Tell asks to tell all instances, this one included.
type Tell struct{ News wasabiridge.RestNews }

// SendOrder asks for an order that must not be sent after Before.
type SendOrder struct {
	Server wasabiridge.BackendServer
	Order  wasabiridge.EngineOrder
	Before wasabiridge.Millis
}

// ReadState asks what a replica is now.
type ReadState struct {
	Server wasabiridge.BackendServer
	Model  wasabiridge.ModelID
}

// Upgraded says that a replica serves new weights: how long it rested before its
// order, and how long the order took, with the answers that ended first.
type Upgraded struct {
	Backend wasabiridge.BackendServerID
	Model   wasabiridge.ModelID
	Weights wasabiridge.WeightsVersion
	Rested  wasabiridge.Millis
	Loaded  wasabiridge.Millis
}

func (Tell) isEffect()      {}
func (Upgraded) isEffect()  {}
func (SendOrder) isEffect() {}
func (ReadState) isEffect() {}
