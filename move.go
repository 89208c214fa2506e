package wasabiridge

import "context"

// RunMove is a running request whose KV cache is to be moved to another engine.
type RunMove struct {
	Request  RequestID
	From, To BackendServer
}

// RunMover moves the KV cache of running requests between engines. Implementations are
// safe for concurrent use.
type RunMover interface {
	// MoveRun stops a running request at its engine and copies its KV cache to another
	// one. The response stream breaks off at the first engine and continues at the
	// other with an attempt whose MemoryFrom is the returned handle. MoveRun returns
	// ErrNotFound when the engine does not run the request, ErrConflict when the
	// request is already being moved, and any other error when it is not known whether
	// it was stopped.
	MoveRun(ctx context.Context, m RunMove) (memory string, err error)
	// DropRun frees a moved KV cache that will not be used.
	DropRun(ctx context.Context, from BackendServer, memory string) error
}

// Moved is where a response continues whose KV cache was moved.
type Moved struct {
	To BackendServer
	// Memory is the handle of the moved KV cache at the engines. Empty means that the
	// request was not moved.
	Memory string
}
