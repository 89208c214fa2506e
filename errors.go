package wasabiridge

import "github.com/joomcode/errorx"

// Errors is the namespace of all error types of the project.
var Errors = errorx.NewNamespace("wasabiridge")

// Error types that cross package borders. Test for them with
// errorx.IsOfType.
var (
	// ErrInvalid says that the input is wrong. Its message names the place.
	ErrInvalid = Errors.NewType("invalid")
	// ErrNotFound says that the thing asked for does not exist.
	ErrNotFound = Errors.NewType("not_found", errorx.NotFound())
	// ErrConflict says that a condition of a write did not hold. Nothing
	// changed.
	ErrConflict = Errors.NewType("conflict")
	// ErrUnavailable says that a service cannot be reached and that nothing
	// took effect.
	ErrUnavailable = Errors.NewType("unavailable", errorx.Temporary())
	// ErrOutcomeUnknown says that a write may or may not have taken effect.
	ErrOutcomeUnknown = Errors.NewType("outcome_unknown")
	// ErrSilent says that a backend server sent nothing within the time that
	// it had for the first byte.
	ErrSilent = Errors.NewType("silent")
	// ErrFenced says that a receiver refused an order because its fencing
	// number is too old.
	ErrFenced = Errors.NewType("fenced")
)
