package wasabiridge

// Disposition is what is known of the execution of a request. It only moves forward, in
// the order of the constants.
type Disposition uint8

// Dispositions of a request.
const (
	// NotRun means that no byte was written to a connection of a backend server, or
	// that the backend server said in a trusted form that it did not run the request.
	NotRun Disposition = iota
	// MaybeRun means that bytes were sent to a backend server and no complete response
	// came back.
	MaybeRun
	// Ran means that a backend server responded.
	Ran
)

// String returns the disposition as reported to callers: "not_run", "maybe_run" or
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

// Advance returns the later of the two dispositions.
func (d Disposition) Advance(to Disposition) Disposition {
	if to > d {
		return to
	}
	return d
}

// CacheRoot separates prefix caches. Blocks under different roots are never shared.
type CacheRoot struct {
	// Account is empty for client accounts that share one cache.
	Account ClientAccountID
	Model   ModelID
	Adapter AdapterID
	Weights WeightsVersion
	// Sharing identifies the set of client accounts that share the cache. It changes
	// with the set, so that an account that leaves the set no longer shares cached
	// blocks with the remaining accounts.
	Sharing string
}

// Chain is a prompt as a chain of cache block hashes. Blocks[i] covers the cache root
// and the prompt up to and including block i.
type Chain struct {
	Root   CacheRoot
	Blocks []BlockHash
	// BlockTokens is the size of one block in tokens.
	BlockTokens int
	// Lengths holds the length of each block in tokens when callers divide their
	// prompts into segments themselves. Nil means that all blocks have BlockTokens.
	Lengths []int
	// Tokens is the estimated length of the complete prompt. The remainder after the
	// last full block is never cached.
	Tokens int
}

// BlockLength returns the length of block i in tokens.
func (c Chain) BlockLength(i int) int {
	if c.Lengths == nil {
		return c.BlockTokens
	}
	return c.Lengths[i]
}

// Request is the metadata of a caller's request that decisions need. It holds no prompt
// text.
type Request struct {
	ID      RequestID
	Account ClientAccountID
	Rule    RuleID
	Action  Action
	Method  string
	Path    string
	Model   ModelID
	Chain   Chain
	// Bytes is the size of the request's body.
	Bytes int
	// MaxTokens limits the output tokens of the response. Zero means that the caller
	// set no limit.
	MaxTokens int
	Stream    bool
	// IdempotencyKey is the key sent by the caller, for requests that must run at most
	// once.
	IdempotencyKey string
	Arrived        Millis
	// Deadline is the point in time until which the request may wait.
	Deadline Millis
	// Host is the host name that the caller requested.
	Host string
	// Fingerprint identifies the content of the request.
	Fingerprint Fingerprint
	// Origin is where the stream began that the caller resumes. Nil means that the request
	// resumes none.
	Origin *StreamOrigin
	// EndsWithCaller reports that the result of the request is of no use once its
	// caller has closed the connection, so that it is cancelled then even when it must
	// run at most once.
	EndsWithCaller bool
}

// WithPriority returns a copy of the request with another priority.
func (r Request) WithPriority(p Priority) Request {
	r.Action.Priority = p
	return r
}

// WithAttempts returns a copy of the request that at most n backend servers may run.
func (r Request) WithAttempts(n int) Request {
	r.Action.Attempts = n
	return r
}

// WithPool returns a copy of the request that is sent to another pool.
func (r Request) WithPool(id PoolID) Request {
	r.Action.Pool = id
	return r
}

// WithOrigin returns a copy of the request that resumes a stream which began at o.
func (r Request) WithOrigin(o StreamOrigin) Request {
	r.Origin = &o
	r.Action.Pool = o.Pool
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
