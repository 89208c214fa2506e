package wasabiridge

import "context"

// HeldPart is a part of a prompt that an engine or a store of kept cache holds.
type HeldPart struct {
	// Salt is under what the part is found, as it was sent with the request.
	Salt string
	Part BlockHash
	// Tokens is the length of the part.
	Tokens int
}

// CacheReader asks engines and stores of kept cache what they hold. It is safe
// for concurrent use.
type CacheReader interface {
	// ReadHeld returns what is held at an address, given as IP:port. The
	// question may hold up the work there for a moment. It reports
	// ErrUnavailable when there is no answer that can be read.
	ReadHeld(ctx context.Context, address string) ([]HeldPart, error)
}
