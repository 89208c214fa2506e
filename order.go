package wasabiridge

import "context"

// EngineRole names what a model engine does, such as "prefill" or "decode".
// The names are the engine's own.
type EngineRole string

// EngineOrder tells a model engine what to be. Orders are absolute: the same
// order carried out twice changes nothing more. Fields that are zero are left
// as they are.
type EngineOrder struct {
	Model   ModelID
	Adapter AdapterID
	Weights WeightsVersion
	Role    EngineRole
	// Fencing is the number of the lease under which the order is given.
	Fencing FencingNumber
	// Conditional says that the order holds only for an engine that has accepted
	// After orders in its present life. A late order then changes nothing.
	Conditional bool
	After       uint64
}

// EngineState is what a model engine says of itself when it is asked.
type EngineState struct {
	// Weights is the version that serves.
	Weights WeightsVersion
	// Models are the versions that serve, by model, where the engine tells
	// them apart. Nil means that it has one.
	Models map[ModelID]WeightsVersion
	// Loading says that other weights are being loaded.
	Loading bool
	// Role is empty when the engine does not say.
	Role EngineRole
	// Fencing is the highest fencing number that the engine has seen.
	Fencing FencingNumber
	// Orders is how many orders the engine has accepted in its present life.
	Orders uint64
	// Incarnation is the life of the engine. Zero means that it does not say.
	Incarnation Incarnation
}

// EngineOperator gives orders to model engines and reads them back.
// Implementations are safe for concurrent use.
type EngineOperator interface {
	// SendOrder gives an order. It reports nil when the engine accepted it,
	// ErrFenced when the fencing number is too old, ErrConflict when another
	// order is carried out or the condition does not hold, ErrUnavailable when
	// nothing took effect, and ErrOutcomeUnknown otherwise.
	SendOrder(ctx context.Context, b BackendServer, o EngineOrder) error
	// ReadState reads what the engine is now.
	ReadState(ctx context.Context, b BackendServer) (EngineState, error)
}
