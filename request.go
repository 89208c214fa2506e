package wasabiridge

// Disposition says what is known of the execution of a request. It only
// moves forward, in the order in which the constants stand.
type Disposition uint8

// Dispositions of a request.
const (
	// NotRun means that no byte was handed to a backend server, or that the
	// backend server itself said in a trusted form that it did not run it.
	NotRun Disposition = iota
	// MaybeRun means that bytes were handed to a backend server and no whole
	// answer came back.
	MaybeRun
	// Ran means that a backend server answered.
	Ran
)

// String returns the disposition as callers see it: "not_run", "maybe_run" or
// "ran".
func (d Disposition) String() string {
	switch d {
	case NotRun:
		return "not_run"
	case MaybeRun:
		return "maybe_run"
	default:
		return "ran"
	}
}

// Advance returns the later of both dispositions.
func (d Disposition) Advance(to Disposition) Disposition {
	if to > d {
		return to
	}
	return d
}

// CacheRoot separates prefix caches. Blocks under different roots are never
// shared.
type CacheRoot struct {
	// Account is empty for client accounts that share one cache.
	Account ClientAccountID
	Model   ModelID
	Adapter AdapterID
	Weights WeightsVersion
	// Sharing names the set of client accounts that share the cache. It
	// changes with the set, so that an account that leaves it shares nothing
	// with those that stay.
	Sharing string
}

// Chain is a prompt as a chain of cache blocks. Blocks[i] covers the prompt
// up to and including block i and the root.
type Chain struct {
	Root   CacheRoot
	Blocks []BlockHash
	// BlockTokens is the size of one block in tokens.
	BlockTokens int
	// Lengths holds the tokens of each block where callers cut their prompts
	// into parts of their own. Nil means that all have BlockTokens.
	Lengths []int
	// Tokens is the estimated length of the whole prompt. The part after the
	// last full block is never cached.
	Tokens int
}

// BlockLength returns the tokens of block i.
func (c Chain) BlockLength(i int) int {
	if c.Lengths == nil {
		return c.BlockTokens
	}
	return c.Lengths[i]
}

// Request is what the decisions need to know of a caller's request. It holds
// no prompt text.
type Request struct {
	ID      RequestID
	Account ClientAccountID
	Rule    RuleID
	Action  Action
	Method  string
	Path    string
	Model   ModelID
	Chain   Chain
	// MaxTokens bounds the answer. Zero means that the caller set no bound.
	MaxTokens int
	Stream    bool
	// IdempotencyKey is the caller's key, for requests that run at most once.
	IdempotencyKey string
	Arrived        Millis
	// Deadline is the point in time at which waiting ends.
	Deadline Millis
	// Host is the host that the caller asked for.
	Host string
	// Fingerprint names what the request asks.
	Fingerprint Fingerprint
	// EndsWithCaller says that work for the request is of no use to anybody
	// once its caller has left, even when it runs at most once.
	EndsWithCaller bool
}

// WithPriority returns a copy of the request with another priority.
func (r Request) WithPriority(p Priority) Request {
	r.Action.Priority = p
	return r
}

// WithPool returns a copy of the request that goes to another pool.
func (r Request) WithPool(id PoolID) Request {
	r.Action.Pool = id
	return r
}

// WithRule returns a copy of the request with the rule that matched it.
func (r Request) WithRule(rule Rule) Request {
	r.Rule = rule.ID
	r.Action = rule.Then
	return r
}

// WithChain returns a copy of the request with its chain of cache blocks.
func (r Request) WithChain(c Chain) Request {
	r.Chain = c
	return r
}
