package wasabiridge

import "context"

// CachedSegment is a prompt segment that a model engine or a KV cache store holds.
type CachedSegment struct {
	// Salt is the cache salt that was sent with the request whose prompt segment this
	// is.
	Salt    string
	Segment BlockHash
	// Tokens is the length of the segment.
	Tokens int
}

// CacheReader lists what model engines and KV cache stores hold. It is safe for
// concurrent use.
type CacheReader interface {
	// ReadSegments returns the prompt segments held at an address, given as IP:port. The
	// query may briefly delay other work at that address. It returns ErrUnavailable
	// when there is no readable response.
	ReadSegments(ctx context.Context, address string) ([]CachedSegment, error)
}
