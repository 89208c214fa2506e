package wasabioutcome

import (
	"cmp"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabiridge/wasabiridge"
)

// OtherAccount is the account of the series that counts requests beyond
// Options.MaxSeries.
const OtherAccount wasabiridge.ClientAccountID = "~other"

// Range and precision of the histograms. Two significant digits keep a
// percentile within 1% of the true value.
const (
	maxFirstTokenMillis = int64(wasabiridge.Hour)
	maxBetweenMicros    = 600_000_000
	significantDigits   = 2
)

// Key identifies a series within a window.
type Key struct {
	Account wasabiridge.ClientAccountID `json:"account"`
	Rule    wasabiridge.RuleID          `json:"rule"`
	Model   wasabiridge.ModelID         `json:"model"`
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Model, b.Model))
}

// Counters are the sums of a series.
type Counters struct {
	Requests      uint64 `json:"requests"`
	Completed     uint64 `json:"completed"`
	PromptTokens  uint64 `json:"prompt_tokens"`
	CachedTokens  uint64 `json:"cached_tokens"`
	WastedTokens  uint64 `json:"wasted_tokens"`
	OutputTokens  uint64 `json:"output_tokens"`
	RefusedNotRun uint64 `json:"refused_not_run"`
	RefusedMaybe  uint64 `json:"refused_maybe_run"`
	RefusedAfter  uint64 `json:"refused_ran"`
	Doubled       uint64 `json:"doubled"`
	Cut           uint64 `json:"cut"`
}

// add counts one outcome. Completed counts requests that ran, were not refused
// and whose stream was not cut.
func (c *Counters) add(o wasabiridge.Outcome) {
	c.Requests++
	c.PromptTokens += atLeastZero(o.PromptTokens)
	c.CachedTokens += atLeastZero(o.CachedTokens)
	c.WastedTokens += atLeastZero(o.WastedTokens)
	c.OutputTokens += atLeastZero(o.OutputTokens)
	if o.Truncated {
		c.Cut++
	}
	if o.RanTwice {
		c.Doubled++
	}
	if o.Refused != "" {
		c.refuse(o.Disposition)
		return
	}
	if o.Disposition == wasabiridge.Ran && !o.Truncated {
		c.Completed++
	}
}

func (c *Counters) refuse(d wasabiridge.Disposition) {
	switch d {
	case wasabiridge.NotRun:
		c.RefusedNotRun++
	case wasabiridge.MaybeRun:
		c.RefusedMaybe++
	default:
		c.RefusedAfter++
	}
}

func atLeastZero(n int) uint64 { return uint64(max(n, 0)) }

func (c *Counters) merge(o Counters) {
	c.Requests += o.Requests
	c.Completed += o.Completed
	c.PromptTokens += o.PromptTokens
	c.CachedTokens += o.CachedTokens
	c.WastedTokens += o.WastedTokens
	c.OutputTokens += o.OutputTokens
	c.RefusedNotRun += o.RefusedNotRun
	c.RefusedMaybe += o.RefusedMaybe
	c.RefusedAfter += o.RefusedAfter
	c.Doubled += o.Doubled
	c.Cut += o.Cut
}

// series holds the counters of one key and its histograms: the time to first
// token in milliseconds and the mean time between tokens in microseconds.
type series struct {
	counters   Counters
	firstToken *hdrhistogram.PackedHistogram
	between    *hdrhistogram.PackedHistogram
}

func newSeries() *series {
	return &series{
		firstToken: hdrhistogram.NewPacked(1, maxFirstTokenMillis, significantDigits),
		between:    hdrhistogram.NewPacked(1, maxBetweenMicros, significantDigits),
	}
}

func (s *series) add(o wasabiridge.Outcome) error {
	s.counters.add(o)
	if o.FirstToken > 0 {
		if err := s.firstToken.RecordValue(min(int64(o.FirstToken), maxFirstTokenMillis)); err != nil {
			return wasabiridge.ErrInvalid.Wrap(err, "outcome: record time to first token")
		}
	}
	if o.BetweenMicros > 0 {
		if err := s.between.RecordValue(min(o.BetweenMicros, maxBetweenMicros)); err != nil {
			return wasabiridge.ErrInvalid.Wrap(err, "outcome: record time between tokens")
		}
	}
	return nil
}

func (s *series) merge(o *series) {
	s.counters.merge(o.counters)
	s.firstToken.Merge(o.firstToken)
	s.between.Merge(o.between)
}

// figures returns the figures of a series that a report shows.
func (s *series) figures() wasabiridge.OutcomeFigures {
	c := s.counters
	refused := c.RefusedNotRun + c.RefusedMaybe + c.RefusedAfter
	return wasabiridge.OutcomeFigures{
		Requests: c.Requests, Completed: c.Completed,
		TTFTP50Millis:  s.firstToken.ValueAtPercentile(50),
		TTFTP95Millis:  s.firstToken.ValueAtPercentile(95),
		TTFTP99Millis:  s.firstToken.ValueAtPercentile(99),
		BetweenP95:     s.between.ValueAtPercentile(95),
		HitRate:        share(c.CachedTokens, c.PromptTokens),
		Recomputed:     share(c.WastedTokens, c.PromptTokens),
		PromptTokens:   c.PromptTokens,
		CachedTokens:   c.CachedTokens,
		WastedTokens:   c.WastedTokens,
		OutputTokens:   c.OutputTokens,
		RefusedNotRun:  c.RefusedNotRun,
		RefusedMaybe:   c.RefusedMaybe,
		RefusedAfter:   c.RefusedAfter,
		RefusedShare:   share(refused, c.Requests),
		Doubled:        c.Doubled,
		Cut:            c.Cut,
		TTFTMeasured:   uint64(s.firstToken.TotalCount()),
		TokensMeasured: uint64(s.between.TotalCount()),
	}
}

func share(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
