package wasabiridge

// LoadReport is what a backend server says of its own load. Reports lag
// behind reality.
type LoadReport struct {
	Backend     BackendServerID
	Incarnation Incarnation
	// Taken is when the backend server measured.
	Taken Millis
	// Running and Waiting count requests inside the server.
	Running int
	Waiting int
	// WaitingTokens counts prompt tokens that are not computed yet.
	WaitingTokens int
	// Weights is the version that serves. Zero when the server does not say.
	Weights WeightsVersion
	// Leaving says that the server asks for no new work.
	Leaving bool
}

// CacheEventKind tells what happened to a cached block.
type CacheEventKind uint8

// Kinds of cache events.
const (
	// BlockStored says that a block is now cached.
	BlockStored CacheEventKind = iota
	// BlockEvicted says that a block is no longer cached.
	BlockEvicted
	// CacheCleared says that no block is cached any more.
	CacheCleared
)

// CacheEvent is one entry of a model engine's stream of cache changes.
// Sequence numbers rise by one; a gap means that entries were lost.
type CacheEvent struct {
	Backend     BackendServerID
	Incarnation Incarnation
	Sequence    uint64
	Kind        CacheEventKind
	Block       BlockHash
}

// Usage is what a model engine says of one answer.
type Usage struct {
	PromptTokens int
	// CachedTokens counts prompt tokens that were not computed again.
	CachedTokens int
	OutputTokens int
	Incarnation  Incarnation
	Weights      WeightsVersion
}
