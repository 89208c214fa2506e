package wasabiridge

import "context"

// ReachedInstance is an instance that responded to a query of the time line.
type ReachedInstance struct {
	Instance InstanceID `json:"instance"`
	// Dropped counts the events that may have matched the query and that the instance
	// has already discarded.
	Dropped uint64 `json:"dropped"`
}

// UnreachedInstance is an instance that did not respond, with the cause.
type UnreachedInstance struct {
	Instance InstanceID `json:"instance"`
	Cause    string     `json:"cause"`
}

// TimelineReport is the merged time line of all instances that responded.
type TimelineReport struct {
	Events    []TimelineEvent     `json:"events"`
	Reached   []ReachedInstance   `json:"reached"`
	Unreached []UnreachedInstance `json:"unreached,omitempty"`
	// Truncated is the number of older events that were left out because of the limit
	// of the query.
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
	// Account restricts the report to one client account. Empty means all.
	Account ClientAccountID
}

// OutcomeReader creates the report of a quarter. Implementations are safe for
// concurrent use.
type OutcomeReader interface {
	// ReadOutcomes returns ErrInvalid for a malformed quarter, and ErrUnavailable when
	// the object store does not respond.
	ReadOutcomes(ctx context.Context, q OutcomeQuery) (OutcomeReport, error)
}

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	Instance    InstanceID       `json:"instance"`
	Zone        AvailabilityZone `json:"zone"`
	Region      Region           `json:"region,omitempty"`
	Incarnation Incarnation      `json:"incarnation"`
	Config      ConfigVersion    `json:"config"`
	// Started is when the process started to serve.
	Started Millis `json:"started_ms"`
	Leaving bool   `json:"leaving"`
	// OpenRequests counts requests that are being served now.
	OpenRequests int `json:"open_requests"`
	// Store is the state of the platform's store: StoreReachable, StoreUnreachable, or
	// empty when it is not known.
	Store   string         `json:"store,omitempty"`
	Members []MemberStatus `json:"members,omitempty"`
}

// Values of InstanceStatus.Store.
const (
	StoreReachable   = "reachable"
	StoreUnreachable = "unreachable"
)

// MemberStatus is what an instance knows of another instance.
type MemberStatus struct {
	Instance    InstanceID       `json:"instance"`
	Zone        AvailabilityZone `json:"zone"`
	Incarnation Incarnation      `json:"incarnation"`
	Config      ConfigVersion    `json:"config"`
	Suspect     bool             `json:"suspect"`
	Leaving     bool             `json:"leaving"`
}

// StatusReader reports the state of an instance and of its backend servers.
// Implementations are safe for concurrent use.
type StatusReader interface {
	// Status returns the state of this instance and of the members that it knows.
	Status() InstanceStatus
	// Backends returns the state of the backend servers as seen by this instance.
	Backends() []BackendStatus
}

// Drainer shuts an instance down gracefully: the instance is no longer offered to
// callers, finishes its open requests and exits. Implementations are safe for
// concurrent use, and a second call has no effect.
type Drainer interface {
	Drain(ctx context.Context) error
}

// OutcomeReport compares the outcomes of a quarter with its targets.
type OutcomeReport struct {
	Quarter string          `json:"quarter"`
	Account ClientAccountID `json:"account,omitempty"`
	// Made is when the report was created.
	Made     Millis          `json:"made_ms"`
	Targets  []TargetResult  `json:"targets"`
	Total    OutcomeFigures  `json:"total"`
	Series   []OutcomeSeries `json:"series"`
	Days     []OutcomeDay    `json:"days"`
	Coverage OutcomeCoverage `json:"coverage"`
}

// TargetResult compares a figure with its target.
type TargetResult struct {
	Target Target `json:"target"`
	// Figure is nil when there are no measurements.
	Figure *float64 `json:"figure"`
	// Verdict is "met", "not_met" or "no_data".
	Verdict string `json:"verdict"`
}

// OutcomeFigures are sums and percentiles over a set of requests. Shares are between 0
// and 1; the share of an empty set is 0.
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

// OutcomeCoverage is how much of the quarter the data of the report covers.
type OutcomeCoverage struct {
	// Share is the covered part of the time in which instances are known to have run,
	// between 0 and 1.
	Share float64 `json:"share"`
	// Objects is the number of objects that were read from the object store.
	Objects int `json:"objects"`
	// UnreadableObjects is the number of objects that could not be read; Unreadable
	// lists the first of them.
	UnreadableObjects int      `json:"unreadable_objects,omitempty"`
	Unreadable        []string `json:"unreadable,omitempty"`
	// MissingDays are days of the quarter so far without any object.
	MissingDays []string `json:"missing_days,omitempty"`
	// MissingInstances are instances that other instances saw and that stored no
	// object.
	MissingInstances []InstanceID `json:"missing_instances,omitempty"`
	// GapCount is the number of periods in which an instance ran without storing
	// outcomes; Gaps lists the first of them.
	GapCount int          `json:"gap_count,omitempty"`
	Gaps     []OutcomeGap `json:"gaps,omitempty"`
	// LostOutcomes counts outcomes that an instance could not record.
	LostOutcomes uint64 `json:"lost_outcomes,omitempty"`
	// Folded counts requests that were recorded under the account "~other" because an
	// instance had no room for another series.
	Folded uint64 `json:"folded,omitempty"`
	// DroppedDays counts daily windows that an instance discarded during an outage.
	DroppedDays uint64 `json:"dropped_days,omitempty"`
}

// OutcomeGap is a period in which an instance ran and that no object covers.
type OutcomeGap struct {
	Instance InstanceID `json:"instance"`
	From     Millis     `json:"from_ms"`
	To       Millis     `json:"to_ms"`
}
