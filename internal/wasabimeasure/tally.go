package wasabimeasure

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
)

// Figures are what is counted of some requests. Times are milliseconds from
// arrival to the first token of answered requests.
type Figures struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Good counts requests whose first token came before their deadline.
	Good    int `json:"good"`
	Refused int `json:"refused"`
	// Cut counts answers that broke off and requests whose outcome the caller
	// cannot know.
	Cut     int `json:"cut"`
	Retries int `json:"retries"`
	Hedges  int `json:"hedges"`
	// HitRate is the part of the prompts' tokens that was cached, at servers
	// that have a cache.
	HitRate float64            `json:"hit_rate"`
	TTFT50  wasabiridge.Millis `json:"ttft_p50_ms"`
	TTFT95  wasabiridge.Millis `json:"ttft_p95_ms"`
	TTFT99  wasabiridge.Millis `json:"ttft_p99_ms"`
	// WastedTokens were computed though a live engine of the pool held them,
	// or for a hedge that lost.
	WastedTokens int `json:"wasted_tokens"`
	// ComputedTokens counts prompt tokens that were not cached.
	ComputedTokens int `json:"computed_tokens"`
	PromptTokens   int `json:"prompt_tokens"`
	Attempts       int `json:"attempts"`

	ttft   []wasabiridge.Millis
	cached int
}

// tally counts what becomes of requests.
type tally struct {
	all      Figures
	streams  map[string]*Figures
	accounts map[string]*Figures
	reasons  map[wasabiridge.RefuseReason]int
	costs    []time.Duration
}

// each counts a request in all the figures that it belongs to. Requests of
// the warm-up are not counted.
func (w *world) each(l *life, count func(f *Figures)) {
	if l.request.Arrived < w.o.Workload.WarmUp {
		return
	}
	count(&w.tally.all)
	count(figuresOf(&w.tally.streams, l.stream.Name))
	count(figuresOf(&w.tally.accounts, string(l.request.Account)))
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

func (w *world) countDispatch(a *attempt) {
	w.each(a.life, func(f *Figures) {
		f.Attempts++
		switch {
		case a.dispatch.Hedge:
			f.Hedges++
		case a.life.attempts > 0:
			f.Retries++
		}
	})
	a.life.attempts++
}

// countStart counts what is computed again, and what of it another live
// engine of the pool still holds.
func (w *world) countStart(a *attempt, out wasabifake.Output) {
	if a.server.pool.CacheBlocks == 0 {
		return
	}
	best := out.Usage.CachedTokens
	for _, s := range w.servers {
		if s.pool.ID == a.server.pool.ID {
			best = max(best, s.CachedTokens(out.Job.Chain))
		}
	}
	a.computed = out.Usage.PromptTokens - out.Usage.CachedTokens
	a.wasted = best - out.Usage.CachedTokens
	w.each(a.life, func(f *Figures) {
		f.PromptTokens += out.Usage.PromptTokens
		f.cached += out.Usage.CachedTokens
		f.ComputedTokens += a.computed
		f.WastedTokens += a.wasted
	})
}

// countLoser counts the work of an attempt that lost against another.
func (w *world) countLoser(a *attempt) {
	if a.life.winner != 0 && a.life.winner != a.dispatch.Attempt {
		w.each(a.life, func(f *Figures) { f.WastedTokens += a.computed - a.wasted })
	}
}

func (w *world) countAnswer(l *life) {
	w.each(l, func(f *Figures) {
		f.Answered++
		f.ttft = append(f.ttft, l.firstToken-l.request.Arrived)
		if l.firstToken <= l.request.Deadline {
			f.Good++
		}
	})
}

func (w *world) countRefusal(l *life, r wasabiridge.Refuse) {
	w.each(l, func(f *Figures) {
		f.Refused++
		if r.Disposition != wasabiridge.NotRun {
			f.Cut++
		}
	})
	if w.tally.reasons == nil {
		w.tally.reasons = make(map[wasabiridge.RefuseReason]int)
	}
	if l.request.Arrived >= w.o.Workload.WarmUp {
		w.tally.reasons[r.Reason]++
	}
}

// settle works the figures out.
func (f *Figures) settle() {
	slices.Sort(f.ttft)
	f.TTFT50, f.TTFT95, f.TTFT99 = quantile(f.ttft, 0.5), quantile(f.ttft, 0.95), quantile(f.ttft, 0.99)
	f.HitRate = share(f.cached, f.PromptTokens)
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return math.Round(1e4*float64(part)/float64(whole)) / 1e4
}

// quantile returns the value at or below which the part q of the sorted
// values lies.
func quantile(sorted []wasabiridge.Millis, q float64) wasabiridge.Millis {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}

// Named are figures of a stream or an account.
type Named struct {
	Name string `json:"name"`
	Figures
}

func named(m map[string]*Figures) []Named {
	var all []Named
	for name, f := range m {
		f.settle()
		all = append(all, Named{name, *f})
	}
	sort.Slice(all, func(a, b int) bool { return all[a].Name < all[b].Name })
	return all
}

// OthersOf returns the figures of all accounts but one. It counts no retries
// and no tokens.
func (r Report) OthersOf(name string) Figures {
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
	f.settle()
	return f
}
