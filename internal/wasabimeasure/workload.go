package wasabimeasure

import (
	"bytes"
	"embed"
	"encoding/json"
	"os"

	"github.com/tailscale/hujson"

	"github.com/wasabiridge/wasabiridge"
)

// Workload describes backend servers and the requests that they receive. The
// comments of the built-in workloads, liftwell.json and selam.json in this
// directory, document the format.
type Workload struct {
	Name  string                         `json:"name"`
	Zones []wasabiridge.AvailabilityZone `json:"zones"`
	// Duration is the time during which requests arrive. Requests that arrive
	// during the first WarmUp are not counted.
	Duration wasabiridge.Millis `json:"duration_ms"`
	WarmUp   wasabiridge.Millis `json:"warm_up_ms"`
	// Capacity is the arrival rate at load 1, in requests per second.
	Capacity float64 `json:"capacity_per_second"`
	Bursts   Bursts  `json:"bursts"`
	// CacheEventDelay and LoadReportLag are the delays after which instances
	// receive the cache events and load reports of an engine. LoadReportEvery
	// is the interval between load reports.
	CacheEventDelay wasabiridge.Millis `json:"cache_event_delay_ms"`
	LoadReportLag   wasabiridge.Millis `json:"load_report_lag_ms"`
	LoadReportEvery wasabiridge.Millis `json:"load_report_every_ms"`
	Accounts        []AccountSpec      `json:"accounts"`
	Pools           []PoolSpec         `json:"pools"`
	Streams         []StreamSpec       `json:"streams"`
}

// Bursts multiply the arrival rate by Factor for Length, once in each interval
// Every. The rate outside of bursts is lowered, so that the mean stays the same.
// If Factor or Every is zero, there are no bursts.
type Bursts struct {
	Factor float64            `json:"factor"`
	Length wasabiridge.Millis `json:"length_ms"`
	Every  wasabiridge.Millis `json:"every_ms"`
}

// AccountSpec describes a client account. Traffic is its weight in the arrivals,
// relative to the other accounts; Share is its fair share of the capacity.
type AccountSpec struct {
	ID      wasabiridge.ClientAccountID `json:"id"`
	Traffic float64                     `json:"traffic"`
	Share   float64                     `json:"share"`
}

// PoolSpec describes the replicas of a pool.
type PoolSpec struct {
	ID          wasabiridge.PoolID      `json:"id"`
	Kind        wasabiridge.BackendKind `json:"kind"`
	Replicas    int                     `json:"replicas"`
	BlockTokens int                     `json:"block_tokens"`
	CacheBlocks int                     `json:"cache_blocks"`
	Slots       int                     `json:"slots"`
	QueueLimit  int                     `json:"queue_limit"`
	// Prefill is the time to compute one block of a prompt, Decode the time to
	// generate one output token.
	Prefill wasabiridge.Millis `json:"prefill_ms"`
	Decode  wasabiridge.Millis `json:"decode_ms"`
}

// Level is one level of nested prefixes.
type Level struct {
	Name string `json:"name"`
	// Count is the number of prefixes below each prefix of the level above.
	// Zero means that each request has its own.
	Count int `json:"count"`
	// Blocks is the length of a prefix of this level in blocks.
	Blocks int `json:"blocks"`
	// Skew is the exponent of the Zipf distribution of prefixes. Zero is the
	// uniform distribution.
	Skew float64 `json:"skew"`
}

// StreamSpec describes one kind of request.
type StreamSpec struct {
	Name string `json:"name"`
	// Traffic is the weight of the stream in the arrivals, relative to the other
	// streams.
	Traffic float64 `json:"traffic"`
	Levels  []Level `json:"levels"`
	// UniqueTokens is the length of the unshared end of each prompt. It is never
	// cached and should be less than a block.
	UniqueTokens int `json:"tail_tokens"`
	OutputTokens int `json:"output_tokens"`
	// Action is the action of the rule that matches the stream.
	Action wasabiridge.Action `json:"action"`
}

//go:embed liftwell.json selam.json
var builtIn embed.FS

// Load returns the built-in workload with the given name, or reads the file with
// that path. The error is ErrNotFound if there is neither.
func Load(name string) (Workload, error) {
	var text []byte
	var err error
	if text, err = builtIn.ReadFile(name + ".json"); err == nil {
		return Parse(text)
	}
	if text, err = os.ReadFile(name); err != nil {
		return Workload{}, wasabiridge.ErrNotFound.Wrap(err, "measure: workload %q", name)
	}
	return Parse(text)
}

// Parse reads a workload from JSON with comments. The error is ErrInvalid if it
// is malformed, has unknown fields or values out of range.
func Parse(text []byte) (Workload, error) {
	var w Workload
	var std []byte
	var err error
	if std, err = hujson.Standardize(text); err != nil {
		return Workload{}, wasabiridge.ErrInvalid.Wrap(err, "measure: workload is not JSON with comments")
	}
	d := json.NewDecoder(bytes.NewReader(std))
	d.DisallowUnknownFields()
	if err = d.Decode(&w); err != nil {
		return Workload{}, wasabiridge.ErrInvalid.Wrap(err, "measure: decode workload")
	}
	return w, w.check()
}

func (w Workload) check() error {
	if w.Capacity <= 0 || w.Duration <= w.WarmUp || w.LoadReportEvery <= 0 {
		return wasabiridge.ErrInvalid.New("measure: capacity_per_second, load_report_every_ms, and duration_ms beyond warm_up_ms must be set")
	}
	if len(w.Zones) == 0 || len(w.Accounts) == 0 || len(w.Pools) == 0 || len(w.Streams) == 0 {
		return wasabiridge.ErrInvalid.New("measure: zones, accounts, pools and streams must not be empty")
	}
	for _, s := range w.Streams {
		if _, ok := w.Config().Pool(s.Action.Pool); !ok {
			return wasabiridge.ErrInvalid.New("measure: stream %q: unknown pool %q", s.Name, s.Action.Pool)
		}
	}
	return nil
}

// WithSurge returns a copy of the workload in which one account sends its traffic
// times over. The capacity is raised accordingly, so that the arrival rates of
// the other accounts stay the same.
func (w Workload) WithSurge(account wasabiridge.ClientAccountID, times float64) Workload {
	accounts := append([]AccountSpec(nil), w.Accounts...)
	before, after := 0.0, 0.0
	for i, a := range accounts {
		before += a.Traffic
		if a.ID == account {
			accounts[i].Traffic *= times
		}
		after += accounts[i].Traffic
	}
	w.Accounts = accounts
	w.Capacity *= after / before
	return w
}

// Config returns the router configuration for the pools, accounts and streams of
// the workload.
func (w Workload) Config() wasabiridge.Config {
	c := wasabiridge.Config{Version: 1}
	for _, p := range w.Pools {
		c.Pools = append(c.Pools, p.pool(w.Zones))
	}
	for _, a := range w.Accounts {
		account := wasabiridge.ClientAccount{ID: a.ID, Share: a.Share}
		for _, p := range w.Pools {
			account.Pools = append(account.Pools, p.ID)
		}
		c.Accounts = append(c.Accounts, account)
	}
	for _, s := range w.Streams {
		c.Rules = append(c.Rules, wasabiridge.Rule{
			ID: wasabiridge.RuleID(s.Name), When: wasabiridge.Condition{Path: "/" + s.Name}, Then: s.Action,
		})
	}
	return c
}
