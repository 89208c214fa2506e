package wasabiridge

import "context"

// RequestMigration is a running request whose KV cache is to be moved to another engine.
type RequestMigration struct {
	Request  RequestID
	From, To BackendServer
}

// ErrMigrationRefused means that an engine refused to migrate a request. It may have stopped
// the request all the same.
var ErrMigrationRefused = ErrOutcomeUnknown.NewSubtype("migration_refused")

// RequestMigrator moves the KV cache of running requests between engines.
// Implementations are safe for concurrent use.
type RequestMigrator interface {
	// Migrate stops a running request at its engine and copies its KV cache to another
	// one. The response stream breaks off at the first engine and continues where the
	// result says: at the other one, or at the first one if that could not copy the KV
	// cache.
	//
	// The error is ErrNotFound when the engine does not run the request, and
	// ErrUnavailable when nothing was sent to the engine. After any other error the
	// request may have been stopped: ErrConflict when it is already being moved,
	// ErrMigrationRefused, or ErrOutcomeUnknown.
	Migrate(ctx context.Context, m RequestMigration) (MigrationResult, error)
	// DropCache frees a moved KV cache that will not be used.
	DropCache(ctx context.Context, from BackendServer, memory string) error
}

// MigrationResult is where a response continues whose KV cache was moved.
type MigrationResult struct {
	To BackendServer
	// Handle is the handle of the moved KV cache at the engines. Empty means that the
	// request was not moved.
	Handle string
}
