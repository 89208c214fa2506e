package wasabiridge

import "context"

// EngineRole is the role of a model engine, such as "prefill" or "decode". The names
// are defined by the engine.
type EngineRole string

// EngineOrder sets the wanted state of a model engine. Orders are idempotent. Zero
// fields are left unchanged.
type EngineOrder struct {
	Model   ModelID
	Adapter AdapterID
	Weights WeightsVersion
	Role    EngineRole
	// Fencing is the fencing number of the lease under which the order is sent.
	Fencing FencingNumber
	// Conditional makes the order valid only for an engine that has accepted After
	// orders in its present incarnation. A late order then has no effect.
	Conditional bool
	After       uint64
}

// EngineState is the state that a model engine reports.
type EngineState struct {
	// Weights is the version being served.
	Weights WeightsVersion
	// Models are the versions being served by model, for an engine that reports them
	// separately. Nil means that it serves one model.
	Models map[ModelID]WeightsVersion
	// Loading reports that other weights are being loaded.
	Loading bool
	// Role is empty when the engine does not report it.
	Role EngineRole
	// Fencing is the highest fencing number that the engine has seen.
	Fencing FencingNumber
	// Orders is how many orders the engine has accepted in its present incarnation.
	Orders uint64
	// Incarnation is the incarnation of the engine. Zero means that the engine does not
	// report it.
	Incarnation Incarnation
}

// EngineOperator sends orders to model engines and reads their state. Implementations
// are safe for concurrent use.
type EngineOperator interface {
	// SendOrder sends an order. It returns nil when the engine accepted it, ErrFenced
	// when the fencing number is too old, ErrConflict when another order is being
	// carried out or the condition does not hold, ErrUnavailable when the order had no
	// effect, and ErrOutcomeUnknown otherwise.
	SendOrder(ctx context.Context, b BackendServer, o EngineOrder) error
	// ReadState reads the present state of the engine.
	ReadState(ctx context.Context, b BackendServer) (EngineState, error)
}
