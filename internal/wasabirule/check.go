package wasabirule

import (
	"encoding/hex"
	"fmt"
	"net/url"
	"strings"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabidocument"
)

// sha256HexLength is the length of a SHA-256 hash in hexadecimal.
const sha256HexLength = 64

// Defaults of fields that a configuration leaves out.
const (
	DefaultBlockTokens = 2048
	DefaultQueueLimit  = 256
	DefaultDeadline    = 30 * wasabiridge.Second
)

// Parse decodes a configuration, fills in defaults and checks it as a whole. It returns
// wasabiridge.ErrInvalid with one line for each mistake.
func Parse(text []byte) (wasabiridge.Config, error) {
	var cfg wasabiridge.Config
	if err := wasabidocument.Decode(text, &cfg); err != nil {
		return wasabiridge.Config{}, err
	}
	cfg = withDefaults(cfg)
	if err := Check(cfg); err != nil {
		return wasabiridge.Config{}, err
	}
	return cfg, nil
}

func withDefaults(cfg wasabiridge.Config) wasabiridge.Config {
	for i := range cfg.Accounts {
		if cfg.Accounts[i].Share == 0 {
			cfg.Accounts[i].Share = 1
		}
	}
	for i := range cfg.Pools {
		if cfg.Pools[i].BlockTokens == 0 {
			cfg.Pools[i].BlockTokens = DefaultBlockTokens
		}
	}
	for i := range cfg.Rules {
		then := &cfg.Rules[i].Then
		if then.QueueLimit == 0 {
			then.QueueLimit = DefaultQueueLimit
		}
		if then.Deadline == 0 {
			then.Deadline = DefaultDeadline
		}
		if then.Objective == "" {
			then.Objective = wasabiridge.ObjectiveFirstToken
		}
	}
	return cfg
}

// Check finds mistakes that the decoder cannot detect, such as a rule with the ID of a
// pool that does not exist.
func Check(cfg wasabiridge.Config) error {
	c := checker{
		accounts: map[wasabiridge.ClientAccountID]bool{},
		pools:    map[wasabiridge.PoolID]bool{},
		backends: map[wasabiridge.BackendServerID]string{},
		rules:    map[wasabiridge.RuleID]bool{},
		keys:     map[string]string{},
	}
	if cfg.Keys != wasabiridge.KeysUnknown {
		c.report("/keys", "must be left out: callers always need a key")
	}
	for i, p := range cfg.Pools {
		c.pool(fmt.Sprintf("/pools/%d", i), p)
	}
	for i, a := range cfg.Accounts {
		c.account(fmt.Sprintf("/accounts/%d", i), a)
	}
	for i, r := range cfg.Rules {
		c.rule(fmt.Sprintf("/rules/%d", i), r)
	}
	for i, h := range cfg.OperatorKeyHashes {
		c.keyHash(fmt.Sprintf("/operator_key_hashes/%d", i), h)
	}
	for i, t := range cfg.Targets {
		c.target(fmt.Sprintf("/targets/%d", i), t)
	}
	if len(c.problems) == 0 {
		return nil
	}
	return wasabiridge.ErrInvalid.New("rule: %s", strings.Join(c.problems, "\n"))
}

type checker struct {
	accounts map[wasabiridge.ClientAccountID]bool
	pools    map[wasabiridge.PoolID]bool
	backends map[wasabiridge.BackendServerID]string
	rules    map[wasabiridge.RuleID]bool
	keys     map[string]string
	problems []string
}

func (c *checker) report(path, format string, args ...any) {
	c.problems = append(c.problems, path+": "+fmt.Sprintf(format, args...))
}

func (c *checker) pool(path string, p wasabiridge.Pool) {
	if p.ID == "" {
		c.report(path+"/id", "the ID of a pool is missing")
	}
	if c.pools[p.ID] {
		c.report(path+"/id", "the ID %q is used twice", p.ID)
	}
	c.pools[p.ID] = true
	if p.BlockTokens < 0 {
		c.report(path+"/block_tokens", "must not be negative")
	}
	if p.MinServing < 0 || (p.MinServing > 0 && p.MinServing >= len(p.Backends)) {
		c.report(path+"/min_serving", "must be below the number of backend servers, %d", len(p.Backends))
	}
	for i, b := range p.Backends {
		c.backend(fmt.Sprintf("%s/backends/%d", path, i), b)
	}
}

func (c *checker) backend(path string, b wasabiridge.BackendServer) {
	if b.ID == "" {
		c.report(path+"/id", "the ID of a backend server is missing")
	}
	if other, ok := c.backends[b.ID]; ok {
		c.report(path+"/id", "the ID %q is also used at %s", b.ID, other)
	}
	c.backends[b.ID] = path
	if b.Kind != wasabiridge.BackendEngine && b.Kind != wasabiridge.BackendService {
		c.report(path+"/kind", "must be %q or %q", wasabiridge.BackendEngine, wasabiridge.BackendService)
	}
	if u, err := url.Parse(b.URL); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.report(path+"/url", "must be an http or https address with a host")
	}
	if b.Slots < 0 {
		c.report(path+"/slots", "must not be negative")
	}
}

func (c *checker) limit(path string, l *wasabiridge.AccountLimit) {
	if l == nil {
		return
	}
	if l.Rate < 0 {
		c.report(path+"/rate", "must not be negative")
	}
	if l.Burst < 0 {
		c.report(path+"/burst", "must not be negative")
	}
	if l.PlainTokens < 0 {
		c.report(path+"/plain_tokens", "must not be negative")
	}
	if l.Unit != "" && l.Unit != wasabiridge.LimitRequests && l.Unit != wasabiridge.LimitTokens {
		c.report(path+"/unit", "must be %q or %q", wasabiridge.LimitRequests, wasabiridge.LimitTokens)
	}
}

func (c *checker) account(path string, a wasabiridge.ClientAccount) {
	if a.ID == "" {
		c.report(path+"/id", "the ID of a client account is missing")
	}
	if c.accounts[a.ID] {
		c.report(path+"/id", "the ID %q is used twice", a.ID)
	}
	c.accounts[a.ID] = true
	if a.Share < 0 {
		c.report(path+"/share", "must not be negative")
	}
	c.limit(path+"/limit", a.Limit)
	for i, h := range a.KeyHashes {
		c.keyHash(fmt.Sprintf("%s/key_hashes/%d", path, i), h)
	}
	for i, p := range a.Pools {
		if !c.pools[p] {
			c.report(fmt.Sprintf("%s/pools/%d", path, i), "unknown pool %q", p)
		}
	}
}

func (c *checker) keyHash(path, hash string) {
	if _, err := hex.DecodeString(hash); err != nil || len(hash) != sha256HexLength {
		c.report(path, "must be a SHA-256 hash of %d hexadecimal digits", sha256HexLength)
		return
	}
	hash = strings.ToLower(hash)
	if other, ok := c.keys[hash]; ok {
		c.report(path, "the key is also used at %s", other)
	}
	c.keys[hash] = path
}

func (c *checker) rule(path string, r wasabiridge.Rule) {
	if r.ID == "" {
		c.report(path+"/id", "the ID of a rule is missing")
	}
	if c.rules[r.ID] {
		c.report(path+"/id", "the ID %q is used twice", r.ID)
	}
	c.rules[r.ID] = true
	for i, a := range r.When.Accounts {
		if !c.accounts[a] {
			c.report(fmt.Sprintf("%s/when/accounts/%d", path, i), "unknown client account %q", a)
		}
	}
	if r.When.MaxPromptTokens > 0 && r.When.MaxPromptTokens < r.When.MinPromptTokens {
		c.report(path+"/when/max_prompt_tokens", "must not be below min_prompt_tokens")
	}
	c.action(path+"/then", r.Then)
}

func (c *checker) action(path string, a wasabiridge.Action) {
	if a.Refuse != "" {
		if a.Pool != "" {
			c.report(path+"/pool", "must be empty in a rule that refuses requests")
		}
		return
	}
	if !c.pools[a.Pool] {
		c.report(path+"/pool", "unknown pool %q", a.Pool)
	}
	if a.Fallback != "" && !c.pools[a.Fallback] {
		c.report(path+"/fallback", "unknown pool %q", a.Fallback)
	}
	if a.Objective != wasabiridge.ObjectiveFirstToken && a.Objective != wasabiridge.ObjectiveRecompute {
		c.report(path+"/objective", "must be %q or %q", wasabiridge.ObjectiveFirstToken, wasabiridge.ObjectiveRecompute)
	}
	if a.NonIdempotent && (a.Retry || a.Hedge || a.Resume) {
		c.report(path+"/non_idempotent", "cannot be combined with retry, hedge or resume")
	}
	if a.QueueLimit < 0 {
		c.report(path+"/queue_limit", "must not be negative")
	}
	if a.Deadline < 0 {
		c.report(path+"/deadline_ms", "must not be negative")
	}
	if a.RecomputeWeight < 0 {
		c.report(path+"/recompute_weight", "must not be negative")
	}
}

func (c *checker) target(path string, t wasabiridge.Target) {
	switch t.Measure {
	case "hit_rate", "ttft_p50", "ttft_p95", "ttft_p99", "recomputed_share", "refused_share", "doubled", "cut":
	default:
		c.report(path+"/measure", "unknown measure %q", t.Measure)
	}
	if t.Account != "" && !c.accounts[t.Account] {
		c.report(path+"/account", "unknown client account %q", t.Account)
	}
	if t.AtMost == nil && t.AtLeast == nil {
		c.report(path, "at_most or at_least is required")
	}
}
