package wasabirollout

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxChance is the chance that a good version is taken for a bad one at a single look. A
	// trial has about fifteen independent looks at each of two measures of a few rules.
	maxChance = 1e-5
	// minAnswers is the least number of answers of the new version that a verdict needs.
	minAnswers = 8
	// minServers is the number of servers of the new version from which a verdict has to hold
	// without any one of them: the fault of one server is not that of its version.
	minServers = 3
)

// tally are answers and those of them that were bad by one measure.
type tally struct{ total, bad uint64 }

// Evidence collects what instances count under a rollout. The counts of each instance only
// rise, so messages may be lost, doubled and reordered. The zero value is empty. It is not safe
// for concurrent use.
type Evidence struct {
	answers map[evidenceKey]wasabiridge.SoftwareAnswers
}

type evidenceKey struct {
	from    wasabiridge.InstanceID
	rule    wasabiridge.RuleID
	backend wasabiridge.BackendServerID
}

// Add takes the counts of an instance.
func (e *Evidence) Add(from wasabiridge.InstanceID, list []wasabiridge.SoftwareAnswers) {
	if e.answers == nil {
		e.answers = map[evidenceKey]wasabiridge.SoftwareAnswers{}
	}
	for _, a := range list {
		key := evidenceKey{from, a.Rule, a.Backend}
		known := e.answers[key]
		a.Total, a.Failed, a.Slow = max(a.Total, known.Total), max(a.Failed, known.Failed), max(a.Slow, known.Slow)
		e.answers[key] = a
	}
}

// Verdict is what evidence says of a new version.
type Verdict struct {
	Bad bool
	// Measure is "failures" or "times", and Rule the rule whose answers decided.
	Measure string
	Rule    wasabiridge.RuleID
	// Answers and BadAnswers are those of the new version, OldAnswers and OldBad those of the
	// old ones that they were compared with.
	Answers, BadAnswers, OldAnswers, OldBad uint64
	// Chance is the chance of as many bad answers if the versions are equally good.
	Chance float64
}

// Verdict compares the answers of the new version with those of the old ones to the same rules.
// Without evidence against it the version counts as good.
func (e *Evidence) Verdict() Verdict {
	rules := map[wasabiridge.RuleID]bool{}
	for key := range e.answers {
		rules[key.rule] = true
	}
	for _, rule := range slices.Sorted(maps.Keys(rules)) {
		for _, measure := range [...]string{measureFailures, measureTimes} {
			if v := e.judge(rule, measure); v.Bad {
				return v
			}
		}
	}
	return Verdict{}
}

// The measures of a verdict.
const (
	measureFailures = "failures"
	measureTimes    = "times"
)

// judge compares the answers to the requests of a rule by one measure.
func (e *Evidence) judge(rule wasabiridge.RuleID, measure string) Verdict {
	servers := map[wasabiridge.BackendServerID]tally{}
	var old, all tally
	for key, a := range e.answers {
		if key.rule != rule {
			continue
		}
		c := tally{total: a.Total, bad: a.Failed}
		if measure == measureTimes {
			c.bad = a.Slow
		}
		if key.backend == "" {
			old = tally{old.total + c.total, old.bad + c.bad}
			continue
		}
		s := servers[key.backend]
		servers[key.backend] = tally{s.total + c.total, s.bad + c.bad}
		all = tally{all.total + c.total, all.bad + c.bad}
	}
	if len(servers) >= minServers {
		worst := slices.MaxFunc(slices.Sorted(maps.Keys(servers)), func(a, b wasabiridge.BackendServerID) int {
			return cmp.Compare(servers[a].bad, servers[b].bad)
		})
		all = tally{all.total - servers[worst].total, all.bad - servers[worst].bad}
	}
	v := Verdict{Measure: measure, Rule: rule, Answers: all.total, BadAnswers: all.bad, OldAnswers: old.total, OldBad: old.bad, Chance: 1}
	if all.total < minAnswers || old.total < minAnswers {
		return v
	}
	v.Chance = chance(all, old)
	v.Bad = v.Chance < maxChance
	return v
}

// chance returns the chance that, of all answers of both, at least as many bad ones are among
// those of the new version if it is no worse than the old ones: Fisher's exact test.
func chance(added, old tally) float64 {
	total, bad := added.total+old.total, added.bad+old.bad
	sum := 0.0
	for k := added.bad; k <= min(bad, added.total); k++ {
		if bad-k > old.total {
			continue
		}
		sum += math.Exp(logChoose(added.total, k) + logChoose(old.total, bad-k) - logChoose(total, bad))
	}
	return min(sum, 1)
}

func logChoose(n, k uint64) float64 {
	a, _ := math.Lgamma(float64(n) + 1)
	b, _ := math.Lgamma(float64(k) + 1)
	c, _ := math.Lgamma(float64(n-k) + 1)
	return a - b - c
}
