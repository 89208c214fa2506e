package wasabiridge

import "context"

// HeldPart is a prompt segment that a model engine or a KV cache store holds.
type HeldPart struct {
	// Salt is the cache salt that was sent with the request whose prompt segment this
	// is.
	Salt string
	Part BlockHash
	// Tokens is the length of the segment.
	Tokens int
}

// CacheReader lists what model engines and KV cache stores hold. It is safe for
// concurrent use.
type CacheReader interface {
	// ReadHeld returns the prompt segments held at an address, given as IP:port. The
	// query may briefly delay other work at that address. It returns ErrUnavailable
	// when there is no readable response.
	ReadHeld(ctx context.Context, address string) ([]HeldPart, error)
}
