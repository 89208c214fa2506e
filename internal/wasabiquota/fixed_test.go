package wasabiquota_test

import "github.com/wasabiridge/wasabiridge"

// fixed is a design that was not chosen: each instance has an equal part of every limit.
type fixed struct {
	fleet  *fleet
	levels map[wasabiridge.ClientAccountID]*share
}

// share is a bucket of one instance.
type share struct {
	limit wasabiridge.AccountLimit
	level float64
	at    wasabiridge.Millis
}

func (s *share) refill(now wasabiridge.Millis, part float64) {
	s.level = min(s.level+float64(now-s.at)/1000*s.limit.Rate*part, s.limit.Burst*part)
	s.at = now
}

// takes takes a request out if the bucket has room for it, as the product does.
func (s *share) takes(cost, part float64) bool {
	if s.level < min(cost, s.limit.Burst*part/2) {
		return false
	}
	s.level -= cost
	return true
}

func newFixed(f *fleet, _ int) way {
	return &fixed{fleet: f, levels: map[wasabiridge.ClientAccountID]*share{}}
}

func (w *fixed) limits(now wasabiridge.Millis, accounts []wasabiridge.ClientAccount) {
	for _, a := range accounts {
		if s := w.levels[a.ID]; s != nil {
			s.limit = *a.Limit
			continue
		}
		w.levels[a.ID] = &share{limit: *a.Limit, at: now}
	}
}

func (w *fixed) offer(now wasabiridge.Millis, r wasabiridge.Request, done func(wasabiridge.Millis, bool)) {
	s, part := w.levels[r.Account], 1/float64(len(w.fleet.nodes))
	s.refill(now, part)
	done(now, s.takes(float64(r.Chain.Tokens), part))
}

func (w *fixed) tick(wasabiridge.Millis)                        {}
func (w *fixed) take(wasabiridge.Millis, int, any) (answer any) { return nil }
func (w *fixed) answer(wasabiridge.Millis, int, any)            {}
