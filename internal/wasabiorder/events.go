package wasabiorder

import "github.com/wasabiridge/wasabiridge"

// Event is something that a Course is told.
type Event interface{ isEvent() }

// Ticked says that time has passed.
type Ticked struct{}

// StateRead answers a ReadState.
type StateRead struct {
	// Fencing is that of the ReadState.
	Fencing wasabiridge.FencingNumber
	State   wasabiridge.EngineState
	Err     error
}

// OrderAnswered answers a SendOrder.
type OrderAnswered struct {
	// Fencing is that of the order.
	Fencing wasabiridge.FencingNumber
	Err     error
}

func (Ticked) isEvent()        {}
func (StateRead) isEvent()     {}
func (OrderAnswered) isEvent() {}

// Effect is something that a Course wants done. Exactly one event answers it.
type Effect interface{ isEffect() }

// ReadState asks to read an engine.
type ReadState struct {
	Server    wasabiridge.BackendServer
	Fencing   wasabiridge.FencingNumber
	TimeLimit wasabiridge.Millis
}

// SendOrder asks to give an order, once. It must not be sent after Before, and
// the call must have ended by then: the lease covers it no longer.
type SendOrder struct {
	Server wasabiridge.BackendServer
	Order  wasabiridge.EngineOrder
	Before wasabiridge.Millis
}

func (ReadState) isEffect() {}
func (SendOrder) isEffect() {}
