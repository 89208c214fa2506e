package wasabiridge

// LoadReport is the load of a backend server as it reports it. Reports lag behind the
// actual load.
type LoadReport struct {
	Backend     BackendServerID
	Incarnation Incarnation
	// MeasuredAt is when the backend server measured the load.
	MeasuredAt Millis
	// Running and Waiting count requests inside the server.
	Running int
	Waiting int
	// Slots is the number of requests that the server runs at once. Zero means that it
	// was not reported.
	Slots int
	// Slowness is how long work takes at the moment, as a multiple of the usual. Zero
	// means that it was not reported.
	Slowness float64
	// WaitingTokens counts prompt tokens that are not computed yet.
	WaitingTokens int
	// Weights is the version that is being served. Zero means that the server did not
	// report it.
	Weights WeightsVersion
	// Leaving reports that the server is draining and wants no new work.
	Leaving bool
}

// CacheEventKind is the kind of change to a prefix cache.
type CacheEventKind uint8

// Kinds of cache events.
const (
	// BlockStored means that a block is now cached.
	BlockStored CacheEventKind = iota
	// BlockEvicted means that a block is no longer cached.
	BlockEvicted
	// CacheCleared means that the cache is empty.
	CacheCleared
)

// CacheEvent is one entry of a model engine's stream of cache changes. Sequence numbers
// increase by one; a gap means that entries were lost.
type CacheEvent struct {
	Backend     BackendServerID
	Incarnation Incarnation
	Sequence    uint64
	Kind        CacheEventKind
	Block       BlockHash
}

// Usage holds the figures that a model engine reports for one response.
type Usage struct {
	PromptTokens int
	// CachedTokens counts prompt tokens that were served from the prefix cache.
	CachedTokens int
	OutputTokens int
	Incarnation  Incarnation
	Weights      WeightsVersion
}
