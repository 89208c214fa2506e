package wasabiridge

import "context"

// ConfigSnapshot is what the operators have set at the platform, as of one moment: the
// configuration without its backend servers, and the wanted versions of the weights. It
// is an immutable value.
type ConfigSnapshot struct {
	// Revision orders snapshots: a higher revision is a later state of the store; see
	// NewRevision.
	Revision uint64 `json:"revision"`
	// Written is the revision at which Config was written, or zero if the store states no
	// epoch.
	Written uint64 `json:"written,omitempty"`
	Config  Config `json:"config"`
	// Weights are the versions that the operators want served, by model.
	Weights map[ModelID]WeightsVersion `json:"weights,omitempty"`
	// Rollouts are the rollouts of software versions that the operators have ordered, sorted
	// by pool.
	Rollouts []SoftwareRollout `json:"rollouts,omitempty"`
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
	// Returned reports that the server is listed again only because the store was restored
	// from a copy that was made before the server left. It is set beside Leaving.
	Returned bool `json:"returned,omitempty"`
}

// BackendSnapshot is the platform's list of backend servers as of one moment.
// It is an immutable value.
type BackendSnapshot struct {
	Revision uint64         `json:"revision"`
	Entries  []BackendEntry `json:"entries"`
	// Unusable are the entries that do not describe a usable backend server.
	Unusable []UnusableEntry `json:"-"`
	// Partial reports that the list has further entries, which were not read.
	Partial bool `json:"-"`
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

// CatalogPages is implemented by a CatalogSource that can read the first page of a large list
// of backend servers.
type CatalogPages interface {
	// ReadFirstBackends is like ReadBackends, but of a list of several pages it returns only
	// the first one, marked as partial.
	ReadFirstBackends(ctx context.Context) (BackendSnapshot, error)
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

// TargetVersion is a version of a model that operators want served, and how long ago
// they set it.
type TargetVersion struct {
	Model   ModelID
	Weights WeightsVersion
	Age     Millis
	// Observed reports that the instance saw the version within moments of its being
	// set. Otherwise the instance started later, and the age is an estimate.
	Observed bool
}

// CatalogResponse is the response to a CatalogQuery.
type CatalogResponse struct {
	TargetVersions []TargetVersion
	Config         CatalogPart
	Backends       CatalogPart
}

// BackoffUpdate notifies other instances that a backend server takes no new work for a
// while, or that it does again. It is only a hint: if it is lost or late, the server
// itself refuses requests and they are sent elsewhere.
type BackoffUpdate struct {
	Backend BackendServerID
	// Backoff is how long the server stays in backoff and takes no new work. Zero ends
	// the backoff.
	Backoff Millis
	// Drain is how long the server is drained and takes only light work. Zero ends the
	// drain.
	Drain Millis
	// Weights is the version of Model that the server now serves. Zero means that it is
	// not known.
	Model   ModelID
	Weights WeightsVersion
	// Incarnation is the incarnation of the server that the update is about. Zero means
	// that it is not known.
	Incarnation Incarnation
}

// LoadUpdate is the load that the sender has in flight at a backend server. It replaces
// what the sender reported before.
type LoadUpdate struct {
	Backend BackendServerID
	// InFlight is the number of attempts in flight. Work is the time needed to compute
	// what is left of those without a first byte.
	InFlight int
	Work     Millis
	// Tokens is the sum of the tokens in the prompts and responses of these attempts.
	Tokens int
	// Limit is the rate limit that the server last announced to the sender, and Brittle whether
	// it announced that the servers of its pools are brittle.
	Limit   LimitUpdate
	Brittle BrittleUpdate
	// Slowness is how long the server takes for work as a multiple of its pool's average,
	// as the sender learned it from SlownessAnswers answers. Zero means that it is unknown.
	Slowness        float64
	SlownessAnswers int
}

// LimitUpdate is the rate limit that a backend server announced.
type LimitUpdate struct {
	// Known reports that the server announced something. Limited reports that it
	// announced a limit, and Rate is that limit in requests per second.
	Known, Limited bool
	Rate           float64
	// Age is how long ago the request was sent whose response carried the announcement.
	Age Millis
}

// BrittleUpdate is what a backend server announced about how it bears overload.
type BrittleUpdate struct {
	// Known reports that the update contains an announcement. Brittle reports that the server announced
	// that it is brittle, and Refusals is the number of requests that it may refuse in a second.
	Known, Brittle bool
	Refusals       float64
	// Age is how long ago the request was sent whose response carried the announcement.
	Age Millis
}

// LeavingUpdate notifies other instances that a backend server has announced to the
// sender that it is leaving.
type LeavingUpdate struct {
	Backend BackendServerID
	// Incarnation is the incarnation that announced it. Zero means that it is not known.
	Incarnation Incarnation
}

// SegmentUpdate notifies other instances that the sender has sent a prompt segment to an
// engine, or knows that the engine holds it.
type SegmentUpdate struct {
	// Backend is the engine.
	Backend BackendServerID
	// Key identifies the segment in the cache: the hash of the segment under its cache
	// root.
	Key uint64
	// Tokens is the length of the segment. RemainingTokens is the number of prompt
	// tokens that the request has after it.
	Tokens, RemainingTokens int
	// Work is the time that the request needs at the engine, and Priority its priority
	// there.
	Work     Millis
	Priority Priority
	// Ready reports that the engine has computed the segment. Exported reports that the
	// engine was instructed to export it.
	Ready, Exported bool
	// Incarnation is the incarnation of the engine. Zero means that it is not known.
	Incarnation Incarnation
	// Imported reports that the engine was instructed to import the segment from the KV
	// cache store.
	Imported bool
}

// StateUpdate is a state update to other instances. It carries hints, and whether the
// sender's copy of the configuration or of the list of backend servers has changed, so
// that a query is worth while.
type StateUpdate struct {
	From     InstanceID
	Changed  bool
	Backoffs []BackoffUpdate
	Loads    []LoadUpdate
	Segments []SegmentUpdate
	Leaving  []LeavingUpdate
	Crashes  []CrashUpdate
	// Usage is the usage that the sender has admitted for client accounts. Incarnation
	// is the sender's incarnation. Sequence increases with each message that carries
	// usage.
	Usage       []UsageUpdate
	Incarnation Incarnation
	Sequence    uint64
	// Share is the share of every account limit that is owned by the sender and the
	// instances that it receives updates from. Zero means that the sender does not know
	// it.
	Share float64
	// Complete reports that the sender knows of no recent usage by accounts that are not
	// listed in Usage.
	Complete bool
	// OwnersEpoch and OwnersDigest describe the set of instances that own the limits,
	// as the sender knows it. See UsageReceived.
	OwnersEpoch, OwnersDigest uint64
	// Streams are streams that began at the sender.
	Streams []StreamUpdate
	// Demands are the demands for pools that are short of capacity. See DemandReceived.
	Demands []DemandUpdate
	// Answers are what the sender has counted under rollouts of software versions.
	Answers []SoftwareAnswers
	// Numberings are what the sender knows of how servers number events. AsksNumberings asks the
	// receiver to send the same.
	Numberings     []NumberingUpdate
	AsksNumberings bool
	// PassOn asks the receiver to pass what concerns placements and demand on to the other
	// instances of its zone. PassedOn reports that it was, so that the message says nothing
	// about the path to the sender.
	PassOn, PassedOn bool
}

// CatalogPeers queries and notifies other instances about the catalog. Implementations
// are safe for concurrent use. Addresses are IP:port.
type CatalogPeers interface {
	// QueryCatalog queries another instance for its copy of the catalog.
	QueryCatalog(ctx context.Context, address string, q CatalogQuery) (CatalogResponse, error)
	// SendUpdate sends a state update to another instance.
	SendUpdate(ctx context.Context, address string, n StateUpdate) error
}

// CatalogHandler serves the calls of CatalogPeers at the receiving instance.
// Implementations are safe for concurrent use.
type CatalogHandler interface {
	HandleQueryCatalog(ctx context.Context, q CatalogQuery) (CatalogResponse, error)
	HandleSendUpdate(ctx context.Context, n StateUpdate) error
}
