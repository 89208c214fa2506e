package wasabiridge

import "context"

// ConfigSnapshot is the operators' part of what the platform knows, as of one
// moment: the configuration without its backend servers, and the weights that
// are wanted. It is an immutable value.
type ConfigSnapshot struct {
	// Revision orders snapshots: a higher one was true later.
	Revision uint64 `json:"revision"`
	Config   Config `json:"config"`
	// Weights are the versions that the operators named, by model.
	Weights map[ModelID]WeightsVersion `json:"weights,omitempty"`
}

// BackendEntry is a backend server as the platform lists it.
type BackendEntry struct {
	Server  BackendServer `json:"server"`
	Pool    PoolID        `json:"pool"`
	Leaving bool          `json:"leaving,omitempty"`
	// Weights are the versions that the server says it serves, by model.
	Weights map[ModelID]WeightsVersion `json:"weights,omitempty"`
	// Lapsed says that the entry has vanished from the list during or right
	// after an outage, and that its server may be back in it soon.
	Lapsed bool `json:"lapsed,omitempty"`
}

// BackendSnapshot is the platform's list of backend servers as of one moment.
// It is an immutable value.
type BackendSnapshot struct {
	Revision uint64         `json:"revision"`
	Entries  []BackendEntry `json:"entries"`
	// Unusable are entries that name no server to use.
	Unusable []UnusableEntry `json:"-"`
}

// UnusableEntry is an entry of the list that cannot be read, or says what no
// server does. The others hold.
type UnusableEntry struct {
	ID BackendServerID
	// Cause says what is wrong with it.
	Cause string
}

// CatalogSource reads what the platform knows. A read tells what was true at
// some moment after it was sent. Implementations are safe for concurrent use.
type CatalogSource interface {
	// ReadConfig reports ErrNotFound when there is no configuration yet,
	// ErrInvalid when it cannot be understood, and ErrUnavailable otherwise.
	ReadConfig(ctx context.Context) (ConfigSnapshot, error)
	// ReadBackends reports ErrUnavailable when the list cannot be read.
	ReadBackends(ctx context.Context) (BackendSnapshot, error)
}

// CatalogQuery asks another instance for what it knows of the platform.
// Digests of what the asker has spare sending it again.
type CatalogQuery struct {
	ConfigDigest  uint64
	BackendDigest uint64
}

// CatalogPart is one snapshot with its age. Content is empty when the asker
// has it already.
type CatalogPart struct {
	Revision uint64
	Digest   uint64
	// Age is how long before the answer the read was sent that proved the
	// snapshot. Negative means that nothing is known.
	Age Millis
	// Content is compressed.
	Content []byte
}

// Naming is a version of a model that operators named, and how long ago.
type Naming struct {
	Model   ModelID
	Weights WeightsVersion
	Age     Millis
	// Witnessed says that the instance heard of the version within moments.
	// Otherwise it has started since, and the age is a guess.
	Witnessed bool
}

// CatalogAnswer is what another instance knows.
type CatalogAnswer struct {
	Namings  []Naming
	Config   CatalogPart
	Backends CatalogPart
}

// RestNews says that a backend server takes no new work for a while, or that
// it does again. It is a hint: when it is lost or late, requests are refused by
// the server and go elsewhere.
type RestNews struct {
	Backend BackendServerID
	// Resting is for how long the server takes no new work. Zero ends a rest.
	Resting Millis
	// Easing is for how long the server takes only light work. Zero ends that.
	Easing Millis
	// Weights is the version of Model that the server serves now. Zero says
	// nothing.
	Model   ModelID
	Weights WeightsVersion
	// Incarnation is the life of the server that this is about. Zero means that it
	// is not known.
	Incarnation Incarnation
}

// LoadNews is what the sender has at a backend server, in place of what it
// said before.
type LoadNews struct {
	Backend BackendServerID
	// Inside counts attempts, Work is the time to compute what those without
	// a first byte still need.
	Inside int
	Work   Millis
	// Tokens counts those of the prompts and answers of these attempts.
	Tokens int
	// Limit is what the server said of its limit, to the sender.
	Limit LimitNews
}

// LimitNews is what a backend server said of the rate that it takes.
type LimitNews struct {
	// Known says that there is news. Limited says that the server names a limit, Rate
	// that limit in requests a second.
	Known, Limited bool
	Rate           float64
	// Age is how long ago the request was sent whose answer said so.
	Age Millis
}

// PartNews says that the sender has sent a part of a prompt to an engine, or
// knows that it is held there.
type PartNews struct {
	// Backend is the engine.
	Backend BackendServerID
	// Key names the part in its cache: the part under its cache root.
	Key uint64
	// Tokens is the length of the part, Own what the request reads beyond it.
	Tokens, Own int
	// Work is the time that the request needs at the engine, Priority its rank
	// there.
	Work     Millis
	Priority Priority
	// Ready says that the engine has read the part. Saved says that it was
	// told to export it.
	Ready, Saved bool
	// Incarnation is the life of the engine. Zero means that it is not known.
	Incarnation Incarnation
	// Kept says that the engine was told to import the part from the store of
	// kept cache.
	Kept bool
}

// News is a message to other instances: hints, and whether the sender's
// catalog has changed, so that asking for it is worth while.
type News struct {
	From    InstanceID
	Changed bool
	Rests   []RestNews
	Loads   []LoadNews
	Parts   []PartNews
	Crashes []CrashNews
	// Uses are what the sender has let run for client accounts. Life is the sender's,
	// Sequence rises with each message that has some.
	Uses     []UseNews
	Life     Incarnation
	Sequence uint64
	// Part is the part of every limit that the sender and those that it hears own. Zero
	// means that it does not know.
	Part float64
	// Whole says that nothing of late is known of accounts that are not named in Uses.
	Whole bool
	// Change and View are what the sender tells of the owners of the limits. See UsesHeard.
	Change, View uint64
}

// CatalogPeers calls other instances about the catalog. Implementations are
// safe for concurrent use. Addresses are IP:port.
type CatalogPeers interface {
	// AskCatalog asks another instance for what it knows.
	AskCatalog(ctx context.Context, address string, q CatalogQuery) (CatalogAnswer, error)
	// TellNews hands news to another instance.
	TellNews(ctx context.Context, address string, n News) error
}

// CatalogHandler answers other instances about the catalog. Implementations
// are safe for concurrent use.
type CatalogHandler interface {
	HandleAskCatalog(ctx context.Context, q CatalogQuery) (CatalogAnswer, error)
	HandleTellNews(ctx context.Context, n News) error
}
