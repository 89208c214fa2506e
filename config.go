package wasabiridge

// BackendKind tells what a backend server is.
type BackendKind string

// Kinds of backend servers.
const (
	// BackendEngine is a model engine with a prefix cache.
	BackendEngine BackendKind = "engine"
	// BackendService is a plain HTTP service.
	BackendService BackendKind = "service"
)

// Objective names what the placement of a request minimises first.
type Objective string

// Objectives of a rule.
const (
	// ObjectiveFirstToken minimises the time to the first token.
	ObjectiveFirstToken Objective = "first_token"
	// ObjectiveRecompute minimises tokens that are computed again.
	ObjectiveRecompute Objective = "recompute"
)

// Priority orders requests that wait for the same pool. Higher goes first.
type Priority int

// BackendServer is a model engine or a plain service to which requests go.
type BackendServer struct {
	ID   BackendServerID  `json:"id"`
	Kind BackendKind      `json:"kind"`
	Zone AvailabilityZone `json:"zone"`
	// URL is the base address, such as "http://127.0.0.1:9001".
	URL string `json:"url"`
	// Slots is how many requests the server runs at once. Zero means that
	// the limit is learned.
	Slots int `json:"slots,omitempty"`
	// Weights is the version that the server last told the platform it
	// serves. Zero means that it did not say.
	Weights WeightsVersion `json:"weights,omitempty"`
	// ChecksFencing says that the server refuses orders with an old fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Incarnation is the life of the server, which rises with every start. One that
	// starts again under its name holds nothing of before. Zero means that it does
	// not say.
	Incarnation Incarnation `json:"incarnation,omitempty"`
}

// Pool is a set of backend servers that serve the same work.
type Pool struct {
	ID       PoolID          `json:"id"`
	Backends []BackendServer `json:"backends"`
	// BlockTokens is the size of one cache block. Zero means 2048.
	BlockTokens int `json:"block_tokens,omitempty"`
	// MinServing is how many replicas must serve while weights are loaded.
	MinServing int `json:"min_serving,omitempty"`
	// Connections is how many connections each server takes from all
	// instances together. Zero means no limit.
	Connections int `json:"connections,omitempty"`
	// Models are those that the pool's engines serve.
	Models []ModelID `json:"models,omitempty"`
	// CacheTokens is how many tokens one engine keeps, cached and running.
	// Zero means that it is not known.
	CacheTokens int `json:"cache_tokens,omitempty"`
	// TokenBytes is the size of one cached token, and LinkMegabits how much an
	// engine's link for cached tokens carries in a second. Zero means that
	// they are not known.
	TokenBytes   int     `json:"token_bytes,omitempty"`
	LinkMegabits float64 `json:"link_megabits,omitempty"`
	// MovesRuns says that the pool's engines move the memory of running answers to
	// each other.
	MovesRuns bool `json:"moves_runs,omitempty"`
}

// KeptCache is a store of KV cache that engines export to and import from.
type KeptCache struct {
	ID PoolID `json:"id"`
	// Address is where engines reach the store, as IP:port.
	Address string           `json:"address"`
	Zone    AvailabilityZone `json:"zone"`
	// CacheTokens is how many tokens the store keeps.
	CacheTokens int `json:"cache_tokens,omitempty"`
	// LinkMegabits is how much the store's link carries in a second.
	LinkMegabits float64 `json:"link_megabits,omitempty"`
}

// PoolShare is a pool with its part of the requests of a rule.
type PoolShare struct {
	Pool PoolID `json:"pool"`
	// Weight is compared with the weights of the rule's other pools.
	Weight int `json:"weight"`
}

// ClientAccount is a customer with its keys and the pools it may use.
type ClientAccount struct {
	ID ClientAccountID `json:"id"`
	// KeyHashes are hexadecimal SHA-256 hashes of the keys of callers.
	KeyHashes []string `json:"key_hashes"`
	// Pools are the pools that requests of the account may reach.
	Pools []PoolID `json:"pools"`
	// Share is the weight of the account when capacity is short. Zero
	// means 1.
	Share float64 `json:"share,omitempty"`
	// Isolated says that no cached part of a prompt is shared with another
	// account.
	Isolated bool `json:"isolated,omitempty"`
	// Limit bounds what runs for the account. Nil means no limit.
	Limit *AccountLimit `json:"limit,omitempty"`
	// Priority replaces that of the rules. Nil leaves the rules' priority.
	Priority *Priority `json:"priority,omitempty"`
}

// Condition says which requests a rule matches. Empty fields match all
// requests; all fields that are set must match.
type Condition struct {
	// Host matches the host that the caller asked for.
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
	// MinPromptTokens and MaxPromptTokens bound the estimated length of the
	// prompt, both inclusive. A zero maximum is no bound.
	MinPromptTokens int `json:"min_prompt_tokens,omitempty"`
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// PriorityClass matches the header X-Priority-Class.
	PriorityClass string `json:"priority_class,omitempty"`
}

// Action says how a request that a rule matches is served.
type Action struct {
	Pool    PoolID    `json:"pool,omitempty"`
	Model   ModelID   `json:"model,omitempty"`
	Adapter AdapterID `json:"adapter,omitempty"`
	// Weights is the lowest version of the weights that may answer.
	Weights  WeightsVersion `json:"weights,omitempty"`
	Priority Priority       `json:"priority,omitempty"`
	// NonIdempotent marks requests that run at most once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// Objective defaults to ObjectiveFirstToken.
	Objective Objective `json:"objective,omitempty"`
	// RecomputeWeight is how many milliseconds of waiting one recomputed
	// block is worth beyond the time it takes.
	RecomputeWeight float64 `json:"recompute_weight,omitempty"`
	Retry           bool    `json:"retry,omitempty"`
	Hedge           bool    `json:"hedge,omitempty"`
	Resume          bool    `json:"resume,omitempty"`
	// QueueLimit is how many requests of the rule may wait. Zero means 256.
	QueueLimit int `json:"queue_limit,omitempty"`
	// Deadline bounds the wait before the first byte. Zero means 30 s.
	Deadline Millis `json:"deadline_ms,omitempty"`
	// Timeout bounds the time to the final answer. Zero means no bound.
	Timeout Millis `json:"timeout_ms,omitempty"`
	// FirstByteTarget is when the first byte should have come.
	FirstByteTarget Millis `json:"first_byte_target_ms,omitempty"`
	// Attempts is how many servers may run one request. Zero means no limit
	// but the router's own.
	Attempts int `json:"attempts,omitempty"`
	// Anonymous lets callers in without a key.
	Anonymous bool `json:"anonymous,omitempty"`
	// Stream says that answers are event streams.
	Stream bool `json:"stream,omitempty"`
	// Split shares the requests among pools by weight, in place of Pool.
	Split []PoolShare `json:"split,omitempty"`
	// Fallback is the pool to use when no server of Pool is alive.
	Fallback PoolID `json:"fallback,omitempty"`
	// Refuse turns the request down with this text.
	Refuse string `json:"refuse,omitempty"`
}

// Rule is one line of the ordered list that decides how a request is served.
type Rule struct {
	ID   RuleID    `json:"id"`
	When Condition `json:"when"`
	Then Action    `json:"then"`
}

// Target is one figure that a quarter is measured against.
type Target struct {
	// Measure is one of "hit_rate", "ttft_p50", "ttft_p95", "ttft_p99",
	// "recomputed_share", "refused_share", "doubled" or "cut".
	Measure string `json:"measure"`
	// Account limits the target to one client account. Empty means all.
	Account ClientAccountID `json:"account,omitempty"`
	// AtMost and AtLeast bound the figure; a nil bound is no bound. Times
	// are in milliseconds.
	AtMost  *float64 `json:"at_most,omitempty"`
	AtLeast *float64 `json:"at_least,omitempty"`
}

// CallerLimits bounds what a caller may take up.
type CallerLimits struct {
	HeaderBytes   int    `json:"header_bytes,omitempty"`
	BodyBytes     int64  `json:"body_bytes,omitempty"`
	HeaderTimeout Millis `json:"header_timeout_ms,omitempty"`
	IdleTimeout   Millis `json:"idle_timeout_ms,omitempty"`
}

// Config is one whole configuration. It is an immutable value.
type Config struct {
	// KeptCaches are the stores of KV cache beside the engines.
	KeptCaches []KeptCache `json:"kept_caches,omitempty"`
	// CallerLimits bounds what callers may take up. Zero fields mean the
	// limits of the settings.
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

// Pool returns the pool of that name. It reports false when there is none.
func (c Config) Pool(id PoolID) (Pool, bool) {
	for _, p := range c.Pools {
		if p.ID == id {
			return p, true
		}
	}
	return Pool{}, false
}

// Account returns the client account of that name. It reports false when
// there is none.
func (c Config) Account(id ClientAccountID) (ClientAccount, bool) {
	for _, a := range c.Accounts {
		if a.ID == id {
			return a, true
		}
	}
	return ClientAccount{}, false
}

// MayUse reports whether the account may reach the pool.
func (a ClientAccount) MayUse(pool PoolID) bool {
	for _, p := range a.Pools {
		if p == pool {
			return true
		}
	}
	return false
}
