package wasabiridge

import "context"

// RequestMigration is a running request whose KV cache is to be moved to another engine.
type RequestMigration struct {
	Request  RequestID
	From, To BackendServer
}

// RequestMigrator moves the KV cache of running requests between engines.
// Implementations are safe for concurrent use.
type RequestMigrator interface {
	// Migrate stops a running request at its engine and copies its KV cache to another
	// one. The response stream breaks off at the first engine and continues at the
	// other with an attempt whose CacheHandle is the returned handle. Migrate returns
	// ErrNotFound when the engine does not run the request, ErrConflict when the
	// request is already being moved, and any other error when it is not known whether
	// it was stopped.
	Migrate(ctx context.Context, m RequestMigration) (memory string, err error)
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
