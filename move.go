package wasabiridge

import "context"

// RunMove names a running answer whose memory is to be at another engine.
type RunMove struct {
	Request  RequestID
	From, To BackendServer
}

// RunMover moves the memory of running answers between engines. Implementations
// are safe for concurrent use.
type RunMover interface {
	// MoveRun stops an answer at its engine and copies its memory to another one.
	// The answer's stream breaks off there, and goes on at the other engine with
	// an attempt whose MemoryFrom is what is returned. It reports ErrNotFound when
	// the engine does not run the request, ErrConflict when it is being moved, and
	// any other error when it is not known whether the answer was stopped.
	MoveRun(ctx context.Context, m RunMove) (memory string, err error)
	// DropRun frees memory that was moved and will not be used.
	DropRun(ctx context.Context, from BackendServer, memory string) error
}

// Moved says where an answer goes on whose memory was moved.
type Moved struct {
	To BackendServer
	// Memory names what was moved, as the engines know it. Empty means that the
	// answer was not moved.
	Memory string
}
