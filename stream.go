package wasabiridge

import "context"

// StreamOrigin is where a stream began. Only backend servers of the same pool with the same
// software can continue it, because what two versions write does not fit together.
type StreamOrigin struct {
	Pool     PoolID
	Software SoftwareVersion
}

// Accepts reports whether a backend server of a pool can continue a stream that began here.
func (o StreamOrigin) Accepts(pool PoolID, b BackendServer) bool {
	return o.Pool == pool && o.Software == b.Software
}

// StreamKey identifies a stream of a client account by the caller's request that began it.
type StreamKey uint64

// StreamUpdate notifies another instance where a stream begins.
type StreamUpdate struct {
	Key StreamKey
	// Origin is where the stream begins. An empty pool means that it is not known.
	Origin StreamOrigin
	// Sequence increases when the request is sent to a server with another origin before the
	// first event. The update with the highest one counts.
	Sequence int
	// Life is how long the caller may still resume the stream.
	Life Millis
}

// StreamQuery asks an instance where a stream began.
type StreamQuery struct {
	Key StreamKey
	// Pool and Window select the software versions in the answer: those that were listed in
	// the pool at some time within Window.
	Pool   PoolID
	Window Millis
}

// StreamAnswer is the answer to a StreamQuery.
type StreamAnswer struct {
	// Known reports that the instance knows where the stream began, and Conflicting that it
	// received different origins for it.
	Known, Conflicting bool
	Origin             StreamOrigin
	// Sequence is that of the update that said so.
	Sequence int
	History  SoftwareHistory
}

// SoftwareHistory holds the software versions that an instance has seen in a pool.
type SoftwareHistory struct {
	Versions []SoftwareVersion
	// Watched is how long the instance has followed the platform's list of backend servers
	// without a gap, and Age is the age of the list.
	Watched, Age Millis
}

// StreamFinder asks other instances where streams began. Implementations are safe for
// concurrent use.
type StreamFinder interface {
	// FindStream returns ErrUnavailable when the instance does not answer.
	FindStream(ctx context.Context, address string, q StreamQuery) (StreamAnswer, error)
}

// StreamHandler serves the calls of a StreamFinder at the asked instance. Implementations
// are safe for concurrent use.
type StreamHandler interface {
	HandleFindStream(ctx context.Context, q StreamQuery) (StreamAnswer, error)
}
