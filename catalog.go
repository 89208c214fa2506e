package wasabiridge

import "context"

// ConfigSnapshot is what the operators have set at the platform, as of one moment: the
// configuration without its backend servers, and the wanted versions of the weights. It
// is an immutable value.
type ConfigSnapshot struct {
	// Revision orders snapshots: a higher revision is a later state.
	Revision uint64 `json:"revision"`
	Config   Config `json:"config"`
	// Weights are the versions that the operators want served, by model.
	Weights map[ModelID]WeightsVersion `json:"weights,omitempty"`
}

// BackendEntry is a backend server as the platform lists it.
type BackendEntry struct {
	Server  BackendServer `json:"server"`
	Pool    PoolID        `json:"pool"`
	Leaving bool          `json:"leaving,omitempty"`
	// Weights are the versions that the server reports as served, by model.
	Weights map[ModelID]WeightsVersion `json:"weights,omitempty"`
	// Lapsed reports that the entry vanished from the list during or right after an
	// outage of the platform, and that its server may soon be listed again.
	Lapsed bool `json:"lapsed,omitempty"`
}

// BackendSnapshot is the platform's list of backend servers as of one moment.
// It is an immutable value.
type BackendSnapshot struct {
	Revision uint64         `json:"revision"`
	Entries  []BackendEntry `json:"entries"`
	// Unusable are the entries that do not describe a usable backend server.
	Unusable []UnusableEntry `json:"-"`
}

// UnusableEntry is an entry of the list that cannot be decoded or has impossible
// values. It does not invalidate the other entries.
type UnusableEntry struct {
	ID BackendServerID
	// Cause describes the error in the entry.
	Cause string
}

// CatalogSource reads the configuration and the list of backend servers from the
// platform. A read returns the state at some moment after it was sent. Implementations
// are safe for concurrent use.
type CatalogSource interface {
	// ReadConfig returns ErrNotFound when there is no configuration yet, ErrInvalid
	// when it cannot be decoded, and ErrUnavailable on any other failure.
	ReadConfig(ctx context.Context) (ConfigSnapshot, error)
	// ReadBackends returns ErrUnavailable when the list cannot be read.
	ReadBackends(ctx context.Context) (BackendSnapshot, error)
}

// CatalogQuery queries another instance for its copy of the configuration and of the
// list of backend servers. Content whose digest the querying instance already has is
// not sent again.
type CatalogQuery struct {
	ConfigDigest  uint64
	BackendDigest uint64
}

// CatalogPart is one snapshot with its age. Content is empty when the querying instance
// already has it.
type CatalogPart struct {
	Revision uint64
	Digest   uint64
	// Age is the time from the sending of the platform read that last confirmed the
	// snapshot to this response. Negative means that the responding instance has no
	// snapshot.
	Age Millis
	// Content is the compressed snapshot.
	Content []byte
}

// Naming is a version of a model that operators want served, and how long ago they set
// it.
type Naming struct {
	Model   ModelID
	Weights WeightsVersion
	Age     Millis
	// Witnessed reports that the instance saw the version within moments of its being
	// set. Otherwise the instance started later, and the age is an estimate.
	Witnessed bool
}

// CatalogAnswer is the response to a CatalogQuery.
type CatalogAnswer struct {
	Namings  []Naming
	Config   CatalogPart
	Backends CatalogPart
}

// RestNews notifies other instances that a backend server takes no new work for a
// while, or that it does again. It is only a hint: if it is lost or late, the server
// itself refuses requests and they are sent elsewhere.
type RestNews struct {
	Backend BackendServerID
	// Resting is how long the server stays in backoff and takes no new work. Zero ends
	// the backoff.
	Resting Millis
	// Easing is how long the server is drained and takes only light work. Zero ends the
	// drain.
	Easing Millis
	// Weights is the version of Model that the server now serves. Zero means that it is
	// not known.
	Model   ModelID
	Weights WeightsVersion
	// Incarnation is the incarnation of the server that the update is about. Zero means
	// that it is not known.
	Incarnation Incarnation
}

// LoadNews is the load that the sender has in flight at a backend server. It replaces
// what the sender reported before.
type LoadNews struct {
	Backend BackendServerID
	// Inside is the number of attempts in flight. Work is the time needed to compute
	// what is left of those without a first byte.
	Inside int
	Work   Millis
	// Tokens is the sum of the tokens in the prompts and responses of these attempts.
	Tokens int
	// Limit is the rate limit that the server last announced to the sender.
	Limit LimitNews
}

// LimitNews is the rate limit that a backend server announced.
type LimitNews struct {
	// Known reports that the server announced something. Limited reports that it
	// announced a limit, and Rate is that limit in requests per second.
	Known, Limited bool
	Rate           float64
	// Age is how long ago the request was sent whose response carried the announcement.
	Age Millis
}

// PartNews notifies other instances that the sender has sent a prompt segment to an
// engine, or knows that the engine holds it.
type PartNews struct {
	// Backend is the engine.
	Backend BackendServerID
	// Key identifies the segment in the cache: the hash of the segment under its cache
	// root.
	Key uint64
	// Tokens is the length of the segment. Own is the number of prompt tokens that the
	// request has after it.
	Tokens, Own int
	// Work is the time that the request needs at the engine, and Priority its priority
	// there.
	Work     Millis
	Priority Priority
	// Ready reports that the engine has computed the segment. Saved reports that the
	// engine was instructed to export it.
	Ready, Saved bool
	// Incarnation is the incarnation of the engine. Zero means that it is not known.
	Incarnation Incarnation
	// Kept reports that the engine was instructed to import the segment from the KV
	// cache store.
	Kept bool
}

// News is a state update to other instances. It carries hints, and whether the sender's
// copy of the configuration or of the list of backend servers has changed, so that a
// query is worth while.
type News struct {
	From    InstanceID
	Changed bool
	Rests   []RestNews
	Loads   []LoadNews
	Parts   []PartNews
	Crashes []CrashNews
	// Uses is the usage that the sender has admitted for client accounts. Life is the
	// sender's incarnation. Sequence increases with each message that carries usage.
	Uses     []UseNews
	Life     Incarnation
	Sequence uint64
	// Part is the share of every account limit that is owned by the sender and the
	// instances that it receives updates from. Zero means that the sender does not know
	// it.
	Part float64
	// Whole reports that the sender knows of no recent usage by accounts that are not
	// listed in Uses.
	Whole bool
	// Change and View describe the set of instances that own the limits, as the sender
	// knows it. See UsesHeard.
	Change, View uint64
}

// CatalogPeers queries and notifies other instances about the catalog. Implementations
// are safe for concurrent use. Addresses are IP:port.
type CatalogPeers interface {
	// AskCatalog queries another instance for its copy of the catalog.
	AskCatalog(ctx context.Context, address string, q CatalogQuery) (CatalogAnswer, error)
	// TellNews sends a state update to another instance.
	TellNews(ctx context.Context, address string, n News) error
}

// CatalogHandler serves the calls of CatalogPeers at the receiving instance.
// Implementations are safe for concurrent use.
type CatalogHandler interface {
	HandleAskCatalog(ctx context.Context, q CatalogQuery) (CatalogAnswer, error)
	HandleTellNews(ctx context.Context, n News) error
}
