package wasabiupgrade

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabiridge/wasabiridge"
)

// timesMost is the longest time that is told apart, in milliseconds, and timesDigits
// how exactly.
const (
	timesMost   = 60000
	timesDigits = 2
)

// Times are how long the phases of upgrades took, in milliseconds. The zero value is
// empty. It is safe for concurrent use.
type Times struct {
	mu             sync.Mutex
	rested, loaded *hdrhistogram.Histogram
}

// Phase is one phase of the upgrades that have ended.
type Phase struct {
	Name     string
	Total    int64
	P50, P95 int64
}

func (t *Times) add(e Upgraded) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rested == nil {
		t.rested, t.loaded = hdrhistogram.New(1, timesMost, timesDigits), hdrhistogram.New(1, timesMost, timesDigits)
	}
	record(t.rested, e.Rested)
	record(t.loaded, e.Loaded)
}

// record takes a value beyond the range as the longest.
func record(h *hdrhistogram.Histogram, took wasabiridge.Millis) {
	_ = h.RecordValue(min(max(int64(took), 1), timesMost))
}

// Phases returns all phases. None is returned before the first upgrade has ended.
func (t *Times) Phases() []Phase {
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
