package wasabiquota_test

import "github.com/wasabiridge/wasabiridge"

// fixed is a design for comparison: each instance has an equal, fixed share of every limit.
type fixed struct {
	fleet   *fleet
	buckets map[wasabiridge.ClientAccountID]*bucket
}

// bucket is the token bucket of an account at one instance.
type bucket struct {
	limit wasabiridge.AccountLimit
	level float64
	at    wasabiridge.Millis
}

func (s *bucket) refill(now wasabiridge.Millis, share float64) {
	s.level = min(s.level+float64(now-s.at)/1000*s.limit.Rate*share, s.limit.Burst*share)
	s.at = now
}

// admit takes a request out if the bucket has room for it, by the same rule for large
// requests as wasabiquota.
func (s *bucket) admit(cost, share float64) bool {
	if s.level < min(cost, s.limit.Burst*share/2) {
		return false
	}
	s.level -= cost
	return true
}

func newFixed(f *fleet, _ int) limiter {
	return &fixed{fleet: f, buckets: map[wasabiridge.ClientAccountID]*bucket{}}
}

func (w *fixed) setLimits(now wasabiridge.Millis, accounts []wasabiridge.ClientAccount) {
	for _, a := range accounts {
		if s := w.buckets[a.ID]; s != nil {
			s.limit = *a.Limit
			continue
		}
		w.buckets[a.ID] = &bucket{limit: *a.Limit, at: now}
	}
}

func (w *fixed) decide(now wasabiridge.Millis, r wasabiridge.Request, done func(wasabiridge.Millis, bool)) {
	s, share := w.buckets[r.Account], 1/float64(len(w.fleet.instances))
	s.refill(now, share)
	done(now, s.admit(float64(r.Chain.Tokens), share))
}

func (w *fixed) tick(wasabiridge.Millis)                           {}
func (w *fixed) receive(wasabiridge.Millis, int, any) (answer any) { return nil }
func (w *fixed) receiveAnswer(wasabiridge.Millis, int, any)        {}
