package wasabicatalog

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// Named is a version of a model that operators want served, and when they set it.
type Named struct {
	Model   wasabiridge.ModelID
	Weights wasabiridge.WeightsVersion
	At      wasabiridge.Millis
	// Witnessed reports that some instance saw the version within moments of its being
	// set. Otherwise At is when this instance first read it after its start.
	Witnessed bool
}

const (
	// maxNamings limits the recorded versions.
	maxNamings = 64
	// namingRetention is how long a recorded version is sent to other instances.
	namingRetention = 30 * wasabiridge.Second
	// maxNamingDelay limits the time assumed between the setting of a version and its
	// first being seen. Each instance renews content that is half as old; the other
	// half allows for failed reads.
	maxNamingDelay = 2600 * wasabiridge.Millis(1)
)

// estimateSetTime returns the time since which a version that is first seen now counts
// as set. The content before, confirmed at confirmedAt, did not contain it, so it may
// have been set right after.
//
// The failure it guards against: if versions counted from when they were first seen,
// older weights would answer longer than allowed, by the delay of the update.
func estimateSetTime(now, confirmedAt wasabiridge.Millis) wasabiridge.Millis {
	return max(confirmedAt, now-maxNamingDelay)
}

// recordNamings records wanted versions that were not seen before. A version that is
// already recorded keeps its time: a later read says nothing about when it was set.
func (m *Machine) recordNamings(now wasabiridge.Millis, witnessed bool) {
	models := make([]wasabiridge.ModelID, 0, len(m.snapshot.Weights))
	for model := range m.snapshot.Weights {
		models = append(models, model)
	}
	slices.Sort(models)
	for _, model := range models {
		if n := (Named{Model: model, Weights: m.snapshot.Weights[model], At: now, Witnessed: witnessed}); !m.isNamed(n) {
			m.addNaming(n)
		}
	}
}

// isNamed reports whether a version is recorded.
func (m *Machine) isNamed(n Named) bool {
	return slices.ContainsFunc(m.namings, func(known Named) bool { return known.Model == n.Model && known.Weights == n.Weights })
}

// addNaming records a version, or a more reliable time for a recorded one. It reports
// whether anything changed.
func (m *Machine) addNaming(n Named) bool {
	for i := range m.namings {
		known := &m.namings[i]
		if known.Model != n.Model || known.Weights != n.Weights {
			continue
		}
		better := n.Witnessed && !known.Witnessed
		if better {
			*known = n
		}
		return better
	}
	if len(m.namings) == maxNamings {
		m.namings = m.namings[1:]
	}
	m.namings = append(m.namings, n)
	return true
}

// mergeNamings records the times at which another instance saw versions. Without them
// an instance that has just started would assume that all versions are new, and would
// not know those before the newest. They take effect at once and not only with the next
// change of the configuration.
func (m *Machine) mergeNamings(e PeerAnswered) {
	changed := false
	for _, n := range e.Answer.TargetVersions {
		if n.Observed && m.addNaming(Named{Model: n.Model, Weights: n.Weights, At: e.Sent - n.Age, Witnessed: true}) {
			changed = true
		}
	}
	if changed {
		m.emit(Changed{})
	}
}

// Namings returns the wanted versions of weights.
func (m *Machine) Namings() []Named { return slices.Clone(m.namings) }
