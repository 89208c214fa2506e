package wasabimeasure

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
)

// Figures are the counters and statistics of a set of requests. The TTFT fields
// are percentiles of the time to first token of answered requests, in
// milliseconds from arrival.
type Figures struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Good counts answered requests whose first token arrived by their deadline.
	Good    int `json:"good"`
	Refused int `json:"refused"`
	// Interrupted counts truncated answers and requests whose outcome is unknown to the
	// caller.
	Interrupted int `json:"cut"`
	Retries     int `json:"retries"`
	Hedges      int `json:"hedges"`
	// HitRate is the fraction of prompt tokens that were cached, counted on
	// servers with a cache only.
	HitRate float64            `json:"hit_rate"`
	TTFT50  wasabiridge.Millis `json:"ttft_p50_ms"`
	TTFT95  wasabiridge.Millis `json:"ttft_p95_ms"`
	TTFT99  wasabiridge.Millis `json:"ttft_p99_ms"`
	// WastedTokens counts prompt tokens that were computed although a running
	// engine of the pool had them cached, or for a hedge that lost.
	WastedTokens int `json:"wasted_tokens"`
	// ComputedTokens counts prompt tokens that were not cached.
	ComputedTokens int `json:"computed_tokens"`
	PromptTokens   int `json:"prompt_tokens"`
	Attempts       int `json:"attempts"`

	ttft   []wasabiridge.Millis
	cached int
}

// tally holds the statistics of a run.
type tally struct {
	all           Figures
	streams       map[string]*Figures
	accounts      map[string]*Figures
	reasons       map[wasabiridge.RefuseReason]int
	decisionTimes []time.Duration
}

// updateFigures applies count to the totals and to the figures of the stream and
// the account of a request. Requests that arrived during the warm-up are not
// counted.
func (sim *simulation) updateFigures(state *requestState, count func(f *Figures)) {
	if state.request.Arrived < sim.o.Workload.WarmUp {
		return
	}
	count(&sim.tally.all)
	count(figuresOf(&sim.tally.streams, state.stream.Name))
	count(figuresOf(&sim.tally.accounts, string(state.request.Account)))
}

func figuresOf(m *map[string]*Figures, name string) *Figures {
	if *m == nil {
		*m = make(map[string]*Figures)
	}
	if (*m)[name] == nil {
		(*m)[name] = &Figures{}
	}
	return (*m)[name]
}

func (sim *simulation) countDispatch(a *attempt) {
	sim.updateFigures(a.state, func(f *Figures) {
		f.Attempts++
		switch {
		case a.dispatch.Hedge:
			f.Hedges++
		case a.state.attempts > 0:
			f.Retries++
		}
	})
	a.state.attempts++
}

// countStart counts the prompt tokens that an attempt computes, and how many of
// these another engine of the pool has cached.
func (sim *simulation) countStart(a *attempt, out wasabifake.Output) {
	if a.server.pool.CacheBlocks == 0 {
		return
	}
	best := out.Usage.CachedTokens
	for _, s := range sim.servers {
		if s.pool.ID == a.server.pool.ID {
			best = max(best, s.CachedTokens(out.Job.Chain))
		}
	}
	a.computed = out.Usage.PromptTokens - out.Usage.CachedTokens
	a.wasted = best - out.Usage.CachedTokens
	sim.updateFigures(a.state, func(f *Figures) {
		f.PromptTokens += out.Usage.PromptTokens
		f.cached += out.Usage.CachedTokens
		f.ComputedTokens += a.computed
		f.WastedTokens += a.wasted
	})
}

// countLoser counts the tokens that a cancelled hedge computed as wasted.
func (sim *simulation) countLoser(a *attempt) {
	if a.state.winner != 0 && a.state.winner != a.dispatch.Attempt {
		sim.updateFigures(a.state, func(f *Figures) { f.WastedTokens += a.computed - a.wasted })
	}
}

func (sim *simulation) countAnswer(state *requestState) {
	sim.updateFigures(state, func(f *Figures) {
		f.Answered++
		f.ttft = append(f.ttft, state.firstToken-state.request.Arrived)
		if state.firstToken <= state.request.Deadline {
			f.Good++
		}
	})
}

func (sim *simulation) countRefusal(state *requestState, r wasabiridge.Refuse) {
	sim.updateFigures(state, func(f *Figures) {
		f.Refused++
		if r.Disposition != wasabiridge.NotRun {
			f.Interrupted++
		}
	})
	if sim.tally.reasons == nil {
		sim.tally.reasons = make(map[wasabiridge.RefuseReason]int)
	}
	if state.request.Arrived >= sim.o.Workload.WarmUp {
		sim.tally.reasons[r.Reason]++
	}
}

// summarize computes the percentiles and the hit rate.
func (f *Figures) summarize() {
	slices.Sort(f.ttft)
	f.TTFT50, f.TTFT95, f.TTFT99 = quantile(f.ttft, 0.5), quantile(f.ttft, 0.95), quantile(f.ttft, 0.99)
	f.HitRate = share(f.cached, f.PromptTokens)
}

func share(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return math.Round(1e4*float64(part)/float64(total)) / 1e4
}

// quantile returns the smallest of the sorted values such that at least the
// fraction q of them does not exceed it, or 0 if there are none.
func quantile(sorted []wasabiridge.Millis, q float64) wasabiridge.Millis {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}

// NamedFigures holds the figures of one stream or account, with its name.
type NamedFigures struct {
	Name string `json:"name"`
	Figures
}

func named(m map[string]*Figures) []NamedFigures {
	var all []NamedFigures
	for name, f := range m {
		f.summarize()
		all = append(all, NamedFigures{name, *f})
	}
	sort.Slice(all, func(a, b int) bool { return all[a].Name < all[b].Name })
	return all
}

// FiguresWithout returns the combined figures of all accounts but the named one.
// Retries, hedges, cut answers and token counts are left at zero.
func (r Report) FiguresWithout(name string) Figures {
	var f Figures
	for _, a := range r.Accounts {
		if a.Name == name {
			continue
		}
		f.Requests += a.Requests
		f.Answered += a.Answered
		f.Good += a.Good
		f.Refused += a.Refused
		f.ttft = append(f.ttft, a.ttft...)
	}
	f.summarize()
	return f
}
