package wasabiupgrade

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabiridge/wasabiridge"
)

// maxMillis is the upper bound of the histograms, in milliseconds, and significantDigits their
// precision in significant decimal digits.
const (
	maxMillis         = 60000
	significantDigits = 2
)

// Durations holds histograms of the durations of upgrade phases, in milliseconds. The
// zero value is empty and ready to use. It is safe for concurrent use.
type Durations struct {
	mu             sync.Mutex
	rested, loaded *hdrhistogram.Histogram
}

// Phase is the summary of one phase over all completed upgrades, with quantiles of the
// duration in milliseconds. Name is "rested" or "loaded"; see Upgraded.
type Phase struct {
	Name     string
	Total    int64
	P50, P95 int64
}

func (t *Durations) add(e Upgraded) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rested == nil {
		t.rested, t.loaded = hdrhistogram.New(1, maxMillis, significantDigits), hdrhistogram.New(1, maxMillis, significantDigits)
	}
	record(t.rested, e.Backoff)
	record(t.loaded, e.LoadTime)
}

// record records a duration. Values outside the range are clamped to it.
func record(h *hdrhistogram.Histogram, took wasabiridge.Millis) {
	_ = h.RecordValue(min(max(int64(took), 1), maxMillis))
}

// Phases returns the summaries of all phases, or nil if no upgrade has completed yet.
func (t *Durations) Phases() []Phase {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rested == nil {
		return nil
	}
	phase := func(name string, h *hdrhistogram.Histogram) Phase {
		return Phase{Name: name, Total: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95)}
	}
	return []Phase{phase("rested", t.rested), phase("loaded", t.loaded)}
}
