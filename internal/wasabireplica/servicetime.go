package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
)

const (
	// serviceSmoothing is the weight of one answer in a learned service time. The first
	// answers weigh more, so that the time is known soon. Later ones weigh little: a moment
	// in which this process or its machine stands still must not make all requests seem
	// larger.
	serviceSmoothing = 0.005
	// Once there are minSamples answers, one counts with at most maxServiceFactor times the
	// learned time.
	maxServiceFactor = 4
	// maxServiceRules bounds the rules whose service times are learned.
	maxServiceRules = 256
)

// serviceTimes are how long the answers of a pool occupy a slot, learned from those that
// found a free one. The times differ by rule; for one that has no answers yet, the mean of
// all applies.
type serviceTimes struct {
	all    movingMean
	byRule map[wasabiridge.RuleID]movingMean
}

// movingMean is a moving average. The zero value has no samples.
type movingMean struct {
	value    float64
	samples  int
	lastSeen wasabiridge.Millis
}

func newServiceTimes() *serviceTimes {
	return &serviceTimes{byRule: map[wasabiridge.RuleID]movingMean{}}
}

// of returns the service time of a rule in milliseconds, or zero if none is known.
func (s *serviceTimes) of(rule wasabiridge.RuleID) float64 {
	if m, ok := s.byRule[rule]; ok {
		return m.value
	}
	return s.all.value
}

// observe records the service time of an answer in milliseconds.
func (s *serviceTimes) observe(now wasabiridge.Millis, rule wasabiridge.RuleID, ms float64) {
	s.all = s.all.with(now, ms)
	if rule == "" {
		return
	}
	if _, ok := s.byRule[rule]; !ok && len(s.byRule) >= maxServiceRules {
		s.dropOldest()
	}
	s.byRule[rule] = s.byRule[rule].with(now, ms)
}

// dropOldest forgets the rule that was last used the longest ago.
func (s *serviceTimes) dropOldest() {
	var oldest wasabiridge.RuleID
	found := false
	for rule, m := range s.byRule {
		before := s.byRule[oldest]
		if !found || m.lastSeen < before.lastSeen || m.lastSeen == before.lastSeen && rule < oldest {
			oldest, found = rule, true
		}
	}
	delete(s.byRule, oldest)
}

// with returns the average with one more sample.
func (m movingMean) with(now wasabiridge.Millis, sample float64) movingMean {
	if m.samples >= minSamples {
		sample = min(sample, maxServiceFactor*m.value)
	}
	m.samples++
	m.lastSeen = now
	m.value += max(serviceSmoothing, 1/float64(m.samples)) * (sample - m.value)
	return m
}

// observeService learns from a complete answer how long it occupied a slot. That is the
// time to the first byte at plain servers, where the rest depends on the caller, and the
// time from the first token on at engines, where the prompt counts separately.
func (pl *pool) observeService(now wasabiridge.Millis, a *attempt) {
	if !a.freeSlot {
		return
	}
	ms := float64(now - a.sent)
	switch {
	case a.prompt.engine && !a.firstByteSeen:
		return
	case a.prompt.engine:
		ms = float64(now - a.firstByteAt)
	case a.firstByteSeen:
		ms = float64(a.firstByteAt - a.sent)
	}
	pl.service.observe(now, a.rule, ms/a.slowness)
}
