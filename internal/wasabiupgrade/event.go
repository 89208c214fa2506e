package wasabiupgrade

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

// Event is an input of Machine.
type Event interface{ isEvent() }

// Ticked reports that time has passed. It carries the replicas that the platform
// lists, the target version of each model, and the state of the lease.
type Ticked struct {
	Entries []wasabiridge.BackendEntry
	// Unchanged reports that Entries are those of the tick before. They may then be left out.
	Unchanged bool
	Targets   map[wasabiridge.ModelID]wasabiridge.WeightsVersion
	Grant     wasabilease.Grant
}

// OrderResult is the result of a SendOrder effect. If no flag is set, the replica
// accepted the order.
type OrderResult struct {
	Backend wasabiridge.BackendServerID
	Model   wasabiridge.ModelID
	Fencing wasabiridge.FencingNumber
	// Fenced is set if the replica rejected the order because it has seen a higher
	// fencing number.
	Fenced bool
	// Refused is set if the order was not accepted, for example because it was not
	// sent in time.
	Refused bool
	// Unsure is set if it is not known whether the order was accepted: there was no
	// answer, or the replica is carrying out another order.
	Unsure bool
}

// StateResult is the result of a ReadState effect. Failed is set if the replica did not
// answer.
type StateResult struct {
	Backend wasabiridge.BackendServerID
	Model   wasabiridge.ModelID
	State   wasabiridge.EngineState
	Failed  bool
}

// UpdateReceived reports that another instance has sent a state update about a replica,
// as it does when it sends orders.
type UpdateReceived struct {
	Backend wasabiridge.BackendServerID
	From    wasabiridge.InstanceID
}

func (Ticked) isEvent()         {}
func (UpdateReceived) isEvent() {}
func (OrderResult) isEvent()    {}
func (StateResult) isEvent()    {}

// Effect is an output of Machine, which the caller must carry out.
type Effect interface{ isEffect() }

// SendUpdate requests that a state update is sent to all instances, including this one.
type SendUpdate struct{ Update wasabiridge.BackoffUpdate }

// SendOrder requests that an upgrade order is sent to a replica. It must not be sent after
// Before.
type SendOrder struct {
	Server wasabiridge.BackendServer
	Order  wasabiridge.EngineOrder
	Before wasabiridge.Millis
}

// ReadState requests that the current state of a replica is read.
type ReadState struct {
	Server wasabiridge.BackendServer
	Model  wasabiridge.ModelID
}

// Upgraded reports that a replica serves new weights. Backoff is the time in backoff
// before its order. LoadTime is the time from the order until the new weights were
// served, which includes the time until the running answers had ended.
type Upgraded struct {
	Backend  wasabiridge.BackendServerID
	Model    wasabiridge.ModelID
	Weights  wasabiridge.WeightsVersion
	Backoff  wasabiridge.Millis
	LoadTime wasabiridge.Millis
}

// Succeeded reports that this instance has got the lease with a handover. Orders is the number
// of orders in it, and Err is set if it cannot be decoded.
type Succeeded struct {
	Previous wasabilease.Previous
	Orders   int
	Err      error
}

func (SendUpdate) isEffect() {}
func (Succeeded) isEffect()  {}
func (Upgraded) isEffect()   {}
func (SendOrder) isEffect()  {}
func (ReadState) isEffect()  {}
