package wasabiridge

// BackendKind is the kind of a backend server.
type BackendKind string

// Kinds of backend servers.
const (
	// BackendEngine is a model engine with a prefix cache.
	BackendEngine BackendKind = "engine"
	// BackendService is a plain HTTP service.
	BackendService BackendKind = "service"
)

// Objective is what the placement of a request minimises first.
type Objective string

// Objectives of a rule.
const (
	// ObjectiveFirstToken minimises the time to the first token.
	ObjectiveFirstToken Objective = "first_token"
	// ObjectiveRecompute minimises the prompt tokens that are computed again although
	// an engine has them cached.
	ObjectiveRecompute Objective = "recompute"
)

// Priority orders requests that wait for the same pool. Higher values are served first.
type Priority int

// BackendServer is a model engine or a plain service that requests are sent to.
type BackendServer struct {
	ID   BackendServerID  `json:"id"`
	Kind BackendKind      `json:"kind"`
	Zone AvailabilityZone `json:"zone"`
	// URL is the base URL, such as "http://127.0.0.1:9001".
	URL string `json:"url"`
	// Slots is how many requests the server runs concurrently. Zero means that the
	// limit is estimated from observation.
	Slots int `json:"slots,omitempty"`
	// Weights is the version that the server last reported to the platform as served.
	// Zero means that it did not report one.
	Weights WeightsVersion `json:"weights,omitempty"`
	// Software is the version of the server's software. Servers of several versions may
	// serve in one pool.
	Software SoftwareVersion `json:"software,omitempty"`
	// SoftwareRegistered reports that Software is among the versions at which streams may
	// begin, as registered at the platform.
	SoftwareRegistered bool `json:"software_registered,omitempty"`
	// ChecksFencing reports that the server refuses orders with an outdated fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Incarnation increases with every start of the server. A server that restarted
	// under the same ID has an empty cache. Zero means that the server does not report
	// it.
	Incarnation Incarnation `json:"incarnation,omitempty"`
}

// Pool is a set of interchangeable backend servers.
type Pool struct {
	ID       PoolID          `json:"id"`
	Backends []BackendServer `json:"backends"`
	// BlockTokens is the size of one cache block. Zero means 2048.
	BlockTokens int `json:"block_tokens,omitempty"`
	// MinServing is how many replicas must keep serving while others load weights.
	MinServing int `json:"min_serving,omitempty"`
	// Connections is how many connections each server accepts from all instances
	// together. Zero means no limit.
	Connections int `json:"connections,omitempty"`
	// Models are the models that the engines of the pool serve.
	Models []ModelID `json:"models,omitempty"`
	// CacheTokens is how many tokens fit in the KV cache of one engine, including those
	// of running requests. Zero means that it is not known.
	CacheTokens int `json:"cache_tokens,omitempty"`
	// TokenBytes is the KV cache size of one token, and LinkMegabits the bandwidth, in
	// Mbit/s, of the link over which an engine transfers cached tokens. Zero means that
	// they are not known.
	TokenBytes   int     `json:"token_bytes,omitempty"`
	LinkMegabits float64 `json:"link_megabits,omitempty"`
	// MigratesRequests reports that the engines of the pool can move the KV cache of a
	// running request to each other.
	MigratesRequests bool `json:"moves_runs,omitempty"`
	// Parted reports that Backends are a part of the servers of the pool, which this instance
	// uses of many.
	Parted bool `json:"-"`
}

// CacheStore is a KV cache store that engines export to and import from.
type CacheStore struct {
	ID PoolID `json:"id"`
	// Address is the address of the store for engines, as IP:port.
	Address string           `json:"address"`
	Zone    AvailabilityZone `json:"zone"`
	// CacheTokens is how many tokens fit in the store.
	CacheTokens int `json:"cache_tokens,omitempty"`
	// LinkMegabits is the bandwidth of the link of the store, in Mbit/s.
	LinkMegabits float64 `json:"link_megabits,omitempty"`
}

// PoolShare is a pool with its share of the requests of a rule.
type PoolShare struct {
	Pool PoolID `json:"pool"`
	// Weight is relative to the weights of the rule's other pools.
	Weight int `json:"weight"`
}

// ClientAccount is a client account with its keys and the pools that it may use.
type ClientAccount struct {
	ID ClientAccountID `json:"id"`
	// KeyHashes are hexadecimal SHA-256 hashes of the callers' keys.
	KeyHashes []string `json:"key_hashes"`
	// Pools are the pools that requests of the account may be sent to.
	Pools []PoolID `json:"pools"`
	// Share is the weight of the account when capacity is scarce. Zero means 1.
	Share float64 `json:"share,omitempty"`
	// Isolated reports that the account shares no cached prompt segment with other
	// accounts.
	Isolated bool `json:"isolated,omitempty"`
	// Limit is the rate limit of the account. Nil means no limit.
	Limit *AccountLimit `json:"limit,omitempty"`
	// Priority overrides the priority of the rules. Nil keeps it.
	Priority *Priority `json:"priority,omitempty"`
}

// Condition selects the requests that a rule matches. Empty fields match all requests;
// all fields that are set must match.
type Condition struct {
	// Host matches the host name that the caller requested.
	Host     string            `json:"host,omitempty"`
	Accounts []ClientAccountID `json:"accounts,omitempty"`
	Methods  []string          `json:"methods,omitempty"`
	// Path matches exactly, or as a prefix when it ends with "*".
	Path   string    `json:"path,omitempty"`
	Models []ModelID `json:"models,omitempty"`
	// Header and HeaderValue match one request header. An empty value
	// matches any value of a header that is present.
	Header      string `json:"header,omitempty"`
	HeaderValue string `json:"header_value,omitempty"`
	// MinPromptTokens and MaxPromptTokens limit the estimated length of the prompt,
	// both inclusive. A zero maximum means no limit.
	MinPromptTokens int `json:"min_prompt_tokens,omitempty"`
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// PriorityClass matches the header X-Priority-Class.
	PriorityClass string `json:"priority_class,omitempty"`
}

// Action is how a request that a rule matches is served.
type Action struct {
	Pool    PoolID    `json:"pool,omitempty"`
	Model   ModelID   `json:"model,omitempty"`
	Adapter AdapterID `json:"adapter,omitempty"`
	// Weights is the lowest version of the weights that may produce the response.
	Weights  WeightsVersion `json:"weights,omitempty"`
	Priority Priority       `json:"priority,omitempty"`
	// NonIdempotent marks requests that must run at most once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Objective defaults to ObjectiveFirstToken.
	Objective Objective `json:"objective,omitempty"`
	// RecomputeWeight is the waiting time, in milliseconds, that avoiding the
	// recomputation of one block is worth in addition to the computing time that it
	// saves.
	RecomputeWeight float64 `json:"recompute_weight,omitempty"`
	Retry           bool    `json:"retry,omitempty"`
	Hedge           bool    `json:"hedge,omitempty"`
	Resume          bool    `json:"resume,omitempty"`
	// QueueLimit is how many requests of the rule may be queued. Zero means 256.
	QueueLimit int `json:"queue_limit,omitempty"`
	// Deadline limits the wait before the first byte. Zero means 30 s.
	Deadline Millis `json:"deadline_ms,omitempty"`
	// Timeout limits the time to the end of the response. Zero means no limit.
	Timeout Millis `json:"timeout_ms,omitempty"`
	// FirstByteTarget is the target for the time to the first byte.
	FirstByteTarget Millis `json:"first_byte_target_ms,omitempty"`
	// Attempts is how many servers may run one request. Zero means that only the limit
	// of the router itself applies.
	Attempts int `json:"attempts,omitempty"`
	// Anonymous admits callers without a key.
	Anonymous bool `json:"anonymous,omitempty"`
	// Stream reports that responses are event streams.
	Stream bool `json:"stream,omitempty"`
	// Split distributes the requests among pools by weight, in place of Pool.
	Split []PoolShare `json:"split,omitempty"`
	// Fallback is the pool to use when no server of Pool is available.
	Fallback PoolID `json:"fallback,omitempty"`
	// Refuse refuses the request with this text.
	Refuse string `json:"refuse,omitempty"`
}

// Rule is one entry of the ordered list that decides how requests are served.
type Rule struct {
	ID   RuleID    `json:"id"`
	When Condition `json:"when"`
	Then Action    `json:"then"`
}

// Target is an objective that the figures of a quarter are compared with.
type Target struct {
	// Measure is one of "hit_rate", "ttft_p50", "ttft_p95", "ttft_p99",
	// "recomputed_share", "refused_share", "doubled" or "cut".
	Measure string `json:"measure"`
	// Account restricts the target to one client account. Empty means all.
	Account ClientAccountID `json:"account,omitempty"`
	// AtMost and AtLeast are the limits of the figure; nil means no limit. Times are in
	// milliseconds.
	AtMost  *float64 `json:"at_most,omitempty"`
	AtLeast *float64 `json:"at_least,omitempty"`
}

// CallerLimits holds limits on the resources that a caller may use.
type CallerLimits struct {
	HeaderBytes   int    `json:"header_bytes,omitempty"`
	BodyBytes     int64  `json:"body_bytes,omitempty"`
	HeaderTimeout Millis `json:"header_timeout_ms,omitempty"`
	IdleTimeout   Millis `json:"idle_timeout_ms,omitempty"`
}

// KeyPolicy states whether callers need a key.
type KeyPolicy string

// Key policies. KeysUnknown comes from an instance of a version that does not distinguish
// the others.
const (
	KeysUnknown  KeyPolicy = ""
	KeysNone     KeyPolicy = "none"
	KeysRequired KeyPolicy = "required"
)

// Config is one complete configuration. It is an immutable value.
type Config struct {
	// Keys is the key policy of a configuration without accounts. With accounts, keys are
	// always required; see KeyPolicy.
	Keys KeyPolicy `json:"keys,omitempty"`
	// CacheStores are the KV cache stores that run beside the engines.
	CacheStores []CacheStore `json:"kept_caches,omitempty"`
	// CallerLimits overrides the limits of the settings file. Zero fields keep those
	// limits.
	CallerLimits CallerLimits  `json:"caller_limits,omitzero"`
	Version      ConfigVersion `json:"version"`
	// OperatorKeyHashes are hexadecimal SHA-256 hashes of operators' keys.
	OperatorKeyHashes []string        `json:"operator_key_hashes,omitempty"`
	Accounts          []ClientAccount `json:"accounts"`
	Pools             []Pool          `json:"pools"`
	Rules             []Rule          `json:"rules"`
	Targets           []Target        `json:"targets,omitempty"`
}

// WithVersion returns a copy of the configuration under another version.
func (c Config) WithVersion(v ConfigVersion) Config {
	c.Version = v
	return c
}

// WithRules returns a copy of the configuration with other rules.
func (c Config) WithRules(rules ...Rule) Config {
	c.Rules = append([]Rule(nil), rules...)
	return c
}

// KeyPolicy states whether callers need a key, unless the rule of their request is anonymous.
func (c Config) KeyPolicy() KeyPolicy {
	if len(c.Accounts) > 0 {
		return KeysRequired
	}
	return c.Keys
}

// Pool returns the pool with the given ID. The result is false when there is none.
func (c Config) Pool(id PoolID) (Pool, bool) {
	for _, p := range c.Pools {
		if p.ID == id {
			return p, true
		}
	}
	return Pool{}, false
}

// Account returns the client account with the given ID. The result is false when there
// is none.
func (c Config) Account(id ClientAccountID) (ClientAccount, bool) {
	for _, a := range c.Accounts {
		if a.ID == id {
			return a, true
		}
	}
	return ClientAccount{}, false
}

// MayUse reports whether requests of the account may be sent to the pool.
func (a ClientAccount) MayUse(pool PoolID) bool {
	for _, p := range a.Pools {
		if p == pool {
			return true
		}
	}
	return false
}
