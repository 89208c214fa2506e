package wasabirelay

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabiridge/wasabiridge"
)

// Outcomes of requests, as logs and metrics name them.
const (
	OutcomeAnswered = "answered"
	OutcomeRefused  = "refused"
	OutcomeBroken   = "broken"
	OutcomeCut      = "cut"
	OutcomeGone     = "caller_gone"
)

const (
	// longest is the longest time that is told apart, in milliseconds, and
	// digits how exactly.
	longest = 60000
	digits  = 2
)

// Counts are the outcomes of requests since the start, with the times they
// took. It is safe for concurrent use.
type Counts struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
	causes map[string]uint64
}

// Count is one outcome: how many, and the times in milliseconds.
type Count struct {
	Name          string
	Total         int64
	P50, P95, P99 int64
}

func newCounts() *Counts {
	return &Counts{byName: map[string]*hdrhistogram.Histogram{}, causes: map[string]uint64{}}
}

// add counts a request that ended. The cause is one of a few words.
func (c *Counts) add(outcome, cause string, took wasabiridge.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(outcome, took)
	if cause != "" {
		c.causes[outcome+"/"+cause]++
	}
}

// first notes the time to the first byte of an answer.
func (c *Counts) first(stream bool, took wasabiridge.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stream {
		c.observe("first_byte_stream", took)
	} else {
		c.observe("first_byte_plain", took)
	}
}

// move counts a move of an answer by its outcome.
func (c *Counts) move(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.causes["move/"+outcome]++
}

func (c *Counts) observe(name string, took wasabiridge.Millis) {
	h := c.byName[name]
	if h == nil {
		h = hdrhistogram.New(1, longest, digits)
		c.byName[name] = h
	}
	// A value beyond the range counts as the longest.
	_ = h.RecordValue(min(max(int64(took), 1), longest))
}

// Times returns all counts.
func (c *Counts) Times() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Count, 0, len(c.byName))
	for name, h := range c.byName {
		out = append(out, Count{Name: name, Total: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99)})
	}
	return out
}

// Causes returns how often an outcome had a cause, by outcome/cause.
func (c *Counts) Causes() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.causes))
	for cause, n := range c.causes {
		out[cause] = n
	}
	return out
}
