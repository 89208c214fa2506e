package wasabiridge

import "github.com/joomcode/errorx"

// Errors is the namespace of all error types of the project.
var Errors = errorx.NewNamespace("wasabiridge")

// Error types that cross package boundaries. Test for them with errorx.IsOfType.
var (
	// ErrInvalid means that the input is wrong. Its message names the place of the
	// mistake.
	ErrInvalid = Errors.NewType("invalid")
	// ErrNotFound means that the requested item does not exist.
	ErrNotFound = Errors.NewType("not_found", errorx.NotFound())
	// ErrConflict means that a precondition of a write did not hold. Nothing was
	// changed.
	ErrConflict = Errors.NewType("conflict")
	// ErrUnavailable means that a service cannot be reached and that the call had no
	// effect.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = Errors.NewType("outcome_unknown")
	// ErrFirstByteTimeout means that a backend server sent nothing before the first-byte
	// time-out.
	ErrFirstByteTimeout = Errors.NewType("silent")
	// ErrFenced means that the receiver refused an order because its fencing number is
	// too old.
	ErrFenced = Errors.NewType("fenced")
)
