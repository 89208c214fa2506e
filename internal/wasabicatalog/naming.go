package wasabicatalog

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// TargetVersion is a version of a model that operators want served, and when they set it.
type TargetVersion struct {
	Model   wasabiridge.ModelID
	Weights wasabiridge.WeightsVersion
	At      wasabiridge.Millis
	// Observed reports that some instance saw the version within moments of its being
	// set. Otherwise At is when this instance first read it after its start.
	Observed bool
}

const (
	// maxTargetVersions limits the recorded versions.
	maxTargetVersions = 64
	// targetVersionRetention is how long a recorded version is sent to other instances.
	targetVersionRetention = 30 * wasabiridge.Second
	// maxTargetDelay limits the time assumed between the setting of a version and its
	// first being seen. Each instance renews content that is half as old; the other
	// half allows for failed reads.
	maxTargetDelay = 2600 * wasabiridge.Millis(1)
)

// estimateSetTime returns the time since which a version that is first seen now counts
// as set. The content before, confirmed at confirmedAt, did not contain it, so it may
// have been set right after.
//
// The failure it guards against: if versions counted from when they were first seen,
// older weights would answer longer than allowed, by the delay of the update.
func estimateSetTime(now, confirmedAt wasabiridge.Millis) wasabiridge.Millis {
	return max(confirmedAt, now-maxTargetDelay)
}

// recordTargetVersions records wanted versions that were not seen before. A version
// that is already recorded keeps its time: a later read says nothing about when it was
// set.
func (m *Machine) recordTargetVersions(now wasabiridge.Millis, observed bool) {
	models := make([]wasabiridge.ModelID, 0, len(m.snapshot.Weights))
	for model := range m.snapshot.Weights {
		models = append(models, model)
	}
	slices.Sort(models)
	for _, model := range models {
		if n := (TargetVersion{Model: model, Weights: m.snapshot.Weights[model], At: now, Observed: observed}); !m.isTarget(n) {
			m.addTargetVersion(n)
			m.emit(TargetRecorded{Target: n, Revision: m.snapshot.Revision})
		}
	}
}

// compareTargets reports where a snapshot of the store names an older version of weights than
// the known one.
func (m *Machine) compareTargets(s wasabiridge.ConfigSnapshot) {
	older := map[wasabiridge.ModelID]wasabiridge.WeightsVersion{}
	for model, known := range m.snapshot.Weights {
		read, named := s.Weights[model]
		if !named || read >= known {
			continue
		}
		older[model] = read
		if m.olderTargets[model] != read {
			m.emit(TargetOlder{Model: model, Read: read, Known: known, Revision: s.Revision})
		}
	}
	m.olderTargets = older
}

// isTarget reports whether a version is recorded.
func (m *Machine) isTarget(n TargetVersion) bool {
	return slices.ContainsFunc(m.targetVersions, func(known TargetVersion) bool { return known.Model == n.Model && known.Weights == n.Weights })
}

// addTargetVersion records a version, or a more reliable time for a recorded one. It
// reports whether anything changed.
func (m *Machine) addTargetVersion(n TargetVersion) bool {
	for i := range m.targetVersions {
		known := &m.targetVersions[i]
		if known.Model != n.Model || known.Weights != n.Weights {
			continue
		}
		better := n.Observed && !known.Observed
		if better {
			*known = n
		}
		return better
	}
	if len(m.targetVersions) == maxTargetVersions {
		m.targetVersions = m.targetVersions[1:]
	}
	m.targetVersions = append(m.targetVersions, n)
	return true
}

// mergeTargetVersions records the times at which another instance saw versions. Without
// them an instance that has just started would assume that all versions are new, and
// would not know those before the newest. They take effect at once and not only with
// the next change of the configuration.
func (m *Machine) mergeTargetVersions(e PeerResponded) {
	changed := false
	for _, n := range e.Answer.TargetVersions {
		target := TargetVersion{Model: n.Model, Weights: n.Weights, At: e.Sent - n.Age, Observed: true}
		known := m.isTarget(target)
		if !n.Observed || !m.addTargetVersion(target) {
			continue
		}
		changed = true
		if !known {
			m.emit(TargetRecorded{Target: target, Revision: m.snapshot.Revision, FromInstance: true})
		}
	}
	if changed {
		m.emit(Changed{})
	}
}

// TargetVersions returns the wanted versions of weights.
func (m *Machine) TargetVersions() []TargetVersion { return slices.Clone(m.targetVersions) }
