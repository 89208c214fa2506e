package wasabiridge

import "context"

// ReachedInstance names an instance that answered a query of the time line.
type ReachedInstance struct {
	Instance InstanceID `json:"instance"`
	// Dropped counts events that the query could have asked for and that the
	// instance no longer has.
	Dropped uint64 `json:"dropped"`
}

// UnreachedInstance names an instance that did not answer, and why.
type UnreachedInstance struct {
	Instance InstanceID `json:"instance"`
	Cause    string     `json:"cause"`
}

// TimelineReport is the merged time line of all instances that answered.
type TimelineReport struct {
	Events    []TimelineEvent     `json:"events"`
	Reached   []ReachedInstance   `json:"reached"`
	Unreached []UnreachedInstance `json:"unreached,omitempty"`
	// Truncated counts older events that were left out for the limit.
	Truncated int `json:"truncated,omitempty"`
}

// TimelineReader answers queries over the time lines of all instances.
// Implementations are safe for concurrent use.
type TimelineReader interface {
	ReadTimeline(ctx context.Context, q TimelineQuery) (TimelineReport, error)
}

// OutcomeQuery selects the outcomes of a quarter.
type OutcomeQuery struct {
	// Quarter is written as "2026Q4".
	Quarter string
	// Account limits the report to one client account. Empty means all.
	Account ClientAccountID
}

// OutcomeReader makes the report of a quarter. Implementations are safe for
// concurrent use.
type OutcomeReader interface {
	// ReadOutcomes reports ErrInvalid for a quarter that cannot be read, and
	// ErrUnavailable when the store does not answer.
	ReadOutcomes(ctx context.Context, q OutcomeQuery) (OutcomeReport, error)
}

// InstanceStatus is a glance at one instance.
type InstanceStatus struct {
	Instance    InstanceID       `json:"instance"`
	Zone        AvailabilityZone `json:"zone"`
	Region      Region           `json:"region,omitempty"`
	Incarnation Incarnation      `json:"incarnation"`
	Config      ConfigVersion    `json:"config"`
	// Started is when the process began to serve.
	Started Millis `json:"started_ms"`
	Leaving bool   `json:"leaving"`
	// OpenRequests counts requests that are being served now.
	OpenRequests int `json:"open_requests"`
	// Store tells whether the platform's store answers: StoreReachable,
	// StoreUnreachable, or empty when that is not known.
	Store   string         `json:"store,omitempty"`
	Members []MemberStatus `json:"members,omitempty"`
}

// Values of InstanceStatus.Store.
const (
	StoreReachable   = "reachable"
	StoreUnreachable = "unreachable"
)

// MemberStatus is what an instance knows of another one.
type MemberStatus struct {
	Instance    InstanceID       `json:"instance"`
	Zone        AvailabilityZone `json:"zone"`
	Incarnation Incarnation      `json:"incarnation"`
	Config      ConfigVersion    `json:"config"`
	Suspect     bool             `json:"suspect"`
	Leaving     bool             `json:"leaving"`
}

// StatusReader gives a glance at an instance and its backend servers.
// Implementations are safe for concurrent use.
type StatusReader interface {
	// Status describes this instance and the members that it knows.
	Status() InstanceStatus
	// Backends describes the backend servers as this instance sees them.
	Backends() []BackendStatus
}

// Drainer makes an instance leave: it takes itself out of the answers to
// callers, finishes what it has and ends. Implementations are safe for
// concurrent use, and a second call changes nothing.
type Drainer interface {
	Drain(ctx context.Context) error
}

// OutcomeReport shows the outcomes of a quarter against its targets.
type OutcomeReport struct {
	Quarter string          `json:"quarter"`
	Account ClientAccountID `json:"account,omitempty"`
	// Made is when the report was made.
	Made     Millis          `json:"made_ms"`
	Targets  []TargetResult  `json:"targets"`
	Total    OutcomeFigures  `json:"total"`
	Series   []OutcomeSeries `json:"series"`
	Days     []OutcomeDay    `json:"days"`
	Coverage OutcomeCoverage `json:"coverage"`
}

// TargetResult compares one target with its figure.
type TargetResult struct {
	Target Target `json:"target"`
	// Figure is nil when nothing was measured.
	Figure *float64 `json:"figure"`
	// Verdict is "met", "not_met" or "no_data".
	Verdict string `json:"verdict"`
}

// OutcomeFigures are sums and percentiles over a set of requests. Shares are
// between 0 and 1; a share of nothing is 0.
type OutcomeFigures struct {
	Requests       uint64  `json:"requests"`
	Completed      uint64  `json:"completed"`
	TTFTP50Millis  int64   `json:"ttft_p50_ms"`
	TTFTP95Millis  int64   `json:"ttft_p95_ms"`
	TTFTP99Millis  int64   `json:"ttft_p99_ms"`
	BetweenP95     int64   `json:"between_p95_us"`
	HitRate        float64 `json:"hit_rate"`
	Recomputed     float64 `json:"recomputed_share"`
	PromptTokens   uint64  `json:"prompt_tokens"`
	CachedTokens   uint64  `json:"cached_tokens"`
	WastedTokens   uint64  `json:"wasted_tokens"`
	OutputTokens   uint64  `json:"output_tokens"`
	RefusedNotRun  uint64  `json:"refused_not_run"`
	RefusedMaybe   uint64  `json:"refused_maybe_run"`
	RefusedAfter   uint64  `json:"refused_ran"`
	RefusedShare   float64 `json:"refused_share"`
	Doubled        uint64  `json:"doubled"`
	Cut            uint64  `json:"cut"`
	TTFTMeasured   uint64  `json:"ttft_measured"`
	TokensMeasured uint64  `json:"between_measured"`
}

// OutcomeSeries holds the figures of one client account, rule and model.
type OutcomeSeries struct {
	Account ClientAccountID `json:"account"`
	Rule    RuleID          `json:"rule"`
	Model   ModelID         `json:"model"`
	Figures OutcomeFigures  `json:"figures"`
}

// OutcomeDay holds the figures of one day in UTC.
type OutcomeDay struct {
	// Day is written as "2026-12-02".
	Day     string         `json:"day"`
	Figures OutcomeFigures `json:"figures"`
}

// OutcomeCoverage says how much of the quarter the report knows.
type OutcomeCoverage struct {
	// Share is the covered part of the time in which instances are known to
	// have been alive, between 0 and 1.
	Share float64 `json:"share"`
	// Objects counts what was read.
	Objects int `json:"objects"`
	// UnreadableObjects counts what could not be read; Unreadable names the
	// first of them.
	UnreadableObjects int      `json:"unreadable_objects,omitempty"`
	Unreadable        []string `json:"unreadable,omitempty"`
	// MissingDays are days of the quarter so far without any object.
	MissingDays []string `json:"missing_days,omitempty"`
	// MissingInstances were seen by others and left no object.
	MissingInstances []InstanceID `json:"missing_instances,omitempty"`
	// GapCount counts spans in which an instance ran and nothing of it is
	// known; Gaps names the first of them.
	GapCount int          `json:"gap_count,omitempty"`
	Gaps     []OutcomeGap `json:"gaps,omitempty"`
	// LostOutcomes counts outcomes that an instance could not take.
	LostOutcomes uint64 `json:"lost_outcomes,omitempty"`
	// Folded counts requests that were counted under the account "~other"
	// because an instance had no room for a series of their own.
	Folded uint64 `json:"folded,omitempty"`
	// DroppedDays counts windows that an instance gave up during an outage.
	DroppedDays uint64 `json:"dropped_days,omitempty"`
}

// OutcomeGap is a span of an instance that no object covers.
type OutcomeGap struct {
	Instance InstanceID `json:"instance"`
	From     Millis     `json:"from_ms"`
	To       Millis     `json:"to_ms"`
}
