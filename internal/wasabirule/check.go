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

// Parse decodes a configuration, fills in defaults and checks it as a whole.
// It reports wasabiridge.ErrInvalid with one line for each mistake.
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

// Check looks for mistakes that the decoder cannot see, such as a rule that
// names a pool that does not exist.
func Check(cfg wasabiridge.Config) error {
	c := checker{
		accounts: map[wasabiridge.ClientAccountID]bool{},
		pools:    map[wasabiridge.PoolID]bool{},
		backends: map[wasabiridge.BackendServerID]string{},
		rules:    map[wasabiridge.RuleID]bool{},
		keys:     map[string]string{},
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

func (c *checker) say(place, format string, args ...any) {
	c.problems = append(c.problems, place+": "+fmt.Sprintf(format, args...))
}

func (c *checker) pool(place string, p wasabiridge.Pool) {
	if p.ID == "" {
		c.say(place+"/id", "a pool needs a name")
	}
	if c.pools[p.ID] {
		c.say(place+"/id", "the name %q is used twice", p.ID)
	}
	c.pools[p.ID] = true
	if p.BlockTokens < 0 {
		c.say(place+"/block_tokens", "must not be negative")
	}
	if p.MinServing < 0 || (p.MinServing > 0 && p.MinServing >= len(p.Backends)) {
		c.say(place+"/min_serving", "must be below the number of backend servers, %d", len(p.Backends))
	}
	for i, b := range p.Backends {
		c.backend(fmt.Sprintf("%s/backends/%d", place, i), b)
	}
}

func (c *checker) backend(place string, b wasabiridge.BackendServer) {
	if b.ID == "" {
		c.say(place+"/id", "a backend server needs a name")
	}
	if other, ok := c.backends[b.ID]; ok {
		c.say(place+"/id", "the name %q is used at %s too", b.ID, other)
	}
	c.backends[b.ID] = place
	if b.Kind != wasabiridge.BackendEngine && b.Kind != wasabiridge.BackendService {
		c.say(place+"/kind", "must be %q or %q", wasabiridge.BackendEngine, wasabiridge.BackendService)
	}
	if u, err := url.Parse(b.URL); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.say(place+"/url", "must be an http or https address with a host")
	}
	if b.Slots < 0 {
		c.say(place+"/slots", "must not be negative")
	}
}

func (c *checker) limit(place string, l *wasabiridge.AccountLimit) {
	if l == nil {
		return
	}
	if l.Rate < 0 {
		c.say(place+"/rate", "must not be negative")
	}
	if l.Burst < 0 {
		c.say(place+"/burst", "must not be negative")
	}
	if l.PlainTokens < 0 {
		c.say(place+"/plain_tokens", "must not be negative")
	}
	if l.Unit != "" && l.Unit != wasabiridge.LimitRequests && l.Unit != wasabiridge.LimitTokens {
		c.say(place+"/unit", "must be %q or %q", wasabiridge.LimitRequests, wasabiridge.LimitTokens)
	}
}

func (c *checker) account(place string, a wasabiridge.ClientAccount) {
	if a.ID == "" {
		c.say(place+"/id", "a client account needs a name")
	}
	if c.accounts[a.ID] {
		c.say(place+"/id", "the name %q is used twice", a.ID)
	}
	c.accounts[a.ID] = true
	if a.Share < 0 {
		c.say(place+"/share", "must not be negative")
	}
	c.limit(place+"/limit", a.Limit)
	for i, h := range a.KeyHashes {
		c.keyHash(fmt.Sprintf("%s/key_hashes/%d", place, i), h)
	}
	for i, p := range a.Pools {
		if !c.pools[p] {
			c.say(fmt.Sprintf("%s/pools/%d", place, i), "there is no pool %q", p)
		}
	}
}

func (c *checker) keyHash(place, hash string) {
	if _, err := hex.DecodeString(hash); err != nil || len(hash) != sha256HexLength {
		c.say(place, "must be a SHA-256 hash of %d hexadecimal digits", sha256HexLength)
		return
	}
	hash = strings.ToLower(hash)
	if other, ok := c.keys[hash]; ok {
		c.say(place, "the key is used at %s too", other)
	}
	c.keys[hash] = place
}

func (c *checker) rule(place string, r wasabiridge.Rule) {
	if r.ID == "" {
		c.say(place+"/id", "a rule needs a name")
	}
	if c.rules[r.ID] {
		c.say(place+"/id", "the name %q is used twice", r.ID)
	}
	c.rules[r.ID] = true
	for i, a := range r.When.Accounts {
		if !c.accounts[a] {
			c.say(fmt.Sprintf("%s/when/accounts/%d", place, i), "there is no client account %q", a)
		}
	}
	if r.When.MaxPromptTokens > 0 && r.When.MaxPromptTokens < r.When.MinPromptTokens {
		c.say(place+"/when/max_prompt_tokens", "is below min_prompt_tokens")
	}
	c.action(place+"/then", r.Then)
}

func (c *checker) action(place string, a wasabiridge.Action) {
	if a.Refuse != "" {
		if a.Pool != "" {
			c.say(place+"/pool", "a rule that refuses has no pool")
		}
		return
	}
	if !c.pools[a.Pool] {
		c.say(place+"/pool", "there is no pool %q", a.Pool)
	}
	if a.Fallback != "" && !c.pools[a.Fallback] {
		c.say(place+"/fallback", "there is no pool %q", a.Fallback)
	}
	if a.Objective != wasabiridge.ObjectiveFirstToken && a.Objective != wasabiridge.ObjectiveRecompute {
		c.say(place+"/objective", "must be %q or %q", wasabiridge.ObjectiveFirstToken, wasabiridge.ObjectiveRecompute)
	}
	if a.NonIdempotent && (a.Retry || a.Hedge || a.Resume) {
		c.say(place+"/non_idempotent", "excludes retry, hedge and resume")
	}
	if a.QueueLimit < 0 {
		c.say(place+"/queue_limit", "must not be negative")
	}
	if a.Deadline < 0 {
		c.say(place+"/deadline_ms", "must not be negative")
	}
	if a.RecomputeWeight < 0 {
		c.say(place+"/recompute_weight", "must not be negative")
	}
}

func (c *checker) target(place string, t wasabiridge.Target) {
	switch t.Measure {
	case "hit_rate", "ttft_p50", "ttft_p95", "ttft_p99", "recomputed_share", "refused_share", "doubled", "cut":
	default:
		c.say(place+"/measure", "there is no measure %q", t.Measure)
	}
	if t.Account != "" && !c.accounts[t.Account] {
		c.say(place+"/account", "there is no client account %q", t.Account)
	}
	if t.AtMost == nil && t.AtLeast == nil {
		c.say(place, "needs at_most or at_least")
	}
}
