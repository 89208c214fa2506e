package wasabirelay

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabiridge/wasabiridge"
)

// Outcomes of requests, as they appear in logs and metrics.
const (
	OutcomeAnswered   = "answered"
	OutcomeRefused    = "refused"
	OutcomeBroken     = "broken"
	OutcomeCut        = "cut"
	OutcomeCallerGone = "caller_gone"
)

const (
	// maxMillis is the upper bound of the histograms, in milliseconds, and
	// significantDigits their precision in decimal digits.
	maxMillis         = 60000
	significantDigits = 2
)

// Counts holds counters of the request outcomes since the start, with histograms of
// the durations. It is safe for concurrent use.
type Counts struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
	causes map[string]uint64
}

// Summary is the summary of one histogram: the number of values and their quantiles in
// milliseconds. Name is an outcome, or first_byte_stream or first_byte_plain.
type Summary struct {
	Name          string
	Total         int64
	P50, P95, P99 int64
}

func newCounts() *Counts {
	return &Counts{byName: map[string]*hdrhistogram.Histogram{}, causes: map[string]uint64{}}
}

// add counts a request that has ended. The cause becomes a metric label, so it must be
// one of a small set of texts; it may be empty.
func (c *Counts) add(outcome, cause string, took wasabiridge.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(outcome, took)
	if cause != "" {
		c.causes[outcome+"/"+cause]++
	}
}

// addFirstByte records the time to the first byte of an answer.
func (c *Counts) addFirstByte(stream bool, took wasabiridge.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stream {
		c.observe("first_byte_stream", took)
	} else {
		c.observe("first_byte_plain", took)
	}
}

// addMove counts an attempt to move an answer, by its outcome.
func (c *Counts) addMove(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.causes["move/"+outcome]++
}

// addUnproven counts a response without a length that ended after its engine was asked to
// move the run, so that its end proves nothing. Kept says that its KV cache is known.
func (c *Counts) addUnproven(kept bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kept {
		c.causes["unproven/kept"]++
	} else {
		c.causes["unproven/lost"]++
	}
}

// addForward counts a request that was passed on to another instance, by its outcome.
func (c *Counts) addForward(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.causes["forward/"+outcome]++
}

// addContinuation counts a stream that was continued, by who continued it and whether the
// server has the same software as the one that began it.
func (c *Counts) addContinuation(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.causes["continued/"+kind]++
}

// addEnd counts the end of an attempt whose server had begun to respond, by the framing of
// the response and the result.
func (c *Counts) addEnd(framing, result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.causes["end/"+framing+" "+result]++
}

// addMalformed counts a stream in which a server sent an event that belongs to no run, by what
// was wrong with it and the outcome of the request.
func (c *Counts) addMalformed(cause, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.causes["event/"+cause+" "+outcome]++
}

func (c *Counts) observe(name string, took wasabiridge.Millis) {
	h := c.byName[name]
	if h == nil {
		h = hdrhistogram.New(1, maxMillis, significantDigits)
		c.byName[name] = h
	}
	// Values outside the range are clamped to it.
	_ = h.RecordValue(min(max(int64(took), 1), maxMillis))
}

// Summaries returns the summaries of all histograms, in no particular order.
func (c *Counts) Summaries() []Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Summary, 0, len(c.byName))
	for name, h := range c.byName {
		out = append(out, Summary{Name: name, Total: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99)})
	}
	return out
}

// Causes returns the number of requests by "outcome/cause", of moves by "move/outcome", of
// requests that were passed on to another instance by "forward/outcome", of streams that
// were continued by "continued/kind", of responses of servers by "end/framing result", of
// streams with an event that belongs to no run by "event/cause outcome", and of responses whose end proves nothing after a move by "unproven/kept" and "unproven/lost".
func (c *Counts) Causes() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]uint64, len(c.causes))
	for cause, n := range c.causes {
		out[cause] = n
	}
	return out
}
