package wasabiorder

import "github.com/wasabiridge/wasabiridge"

// Event is an input of a Reconciler.
type Event interface{ isEvent() }

// Ticked reports the passage of time.
type Ticked struct{}

// StateResult is the result of a ReadState.
type StateResult struct {
	// Fencing is the fencing number of the ReadState.
	Fencing wasabiridge.FencingNumber
	State   wasabiridge.EngineState
	Err     error
}

// OrderResult is the result of a SendOrder.
type OrderResult struct {
	// Fencing is the fencing number of the order.
	Fencing wasabiridge.FencingNumber
	Err     error
}

func (Ticked) isEvent()      {}
func (StateResult) isEvent() {}
func (OrderResult) isEvent() {}

// Effect is an action that a Reconciler requests. Exactly one event reports its result.
type Effect interface{ isEffect() }

// ReadState requests a read of the state of an engine.
type ReadState struct {
	Server    wasabiridge.BackendServer
	Fencing   wasabiridge.FencingNumber
	TimeLimit wasabiridge.Millis
}

// SendOrder requests that an order be sent once. The call must have ended by Before,
// because the lease does not cover it any longer.
type SendOrder struct {
	Server wasabiridge.BackendServer
	Order  wasabiridge.EngineOrder
	Before wasabiridge.Millis
}

func (ReadState) isEffect() {}
func (SendOrder) isEffect() {}
