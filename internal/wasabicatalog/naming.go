package wasabicatalog

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// Named is a version of a model that operators named, and when.
type Named struct {
	Model   wasabiridge.ModelID
	Weights wasabiridge.WeightsVersion
	At      wasabiridge.Millis
	// Witnessed says that some instance heard of the version within moments.
	// Otherwise At is when this instance first read of it after its start.
	Witnessed bool
}

const (
	// namingsKept bounds the remembered versions.
	namingsKept = 64
	// namingLife is how long other instances are told when a version was
	// named.
	namingLife = 30 * wasabiridge.Second
	// namingDoubt bounds the time that may lie between the naming of a version and
	// its being heard of. Proofs that are half as old are renewed by every instance
	// itself; the rest is for readings that fail.
	namingDoubt = 2600 * wasabiridge.Millis(1)
)

// namedSince is since when a version counts as named that is heard of now. It was
// not yet known to the proof before, and may be as old as that.
//
// The failure it guards against: with the time at which it was heard of, older
// weights answered longer than they may, by as much as the news was late.
func namedSince(now, proven wasabiridge.Millis) wasabiridge.Millis {
	return max(proven, now-namingDoubt)
}

// name notes versions that were not heard of before. One that is known keeps its
// time: a later reading says nothing of when it was named.
func (m *Machine) name(now wasabiridge.Millis, witnessed bool) {
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

// isNamed reports whether a version is known.
func (m *Machine) isNamed(n Named) bool {
	return slices.ContainsFunc(m.namings, func(known Named) bool { return known.Model == n.Model && known.Weights == n.Weights })
}

// addNaming notes a version, or a better time for one that is known. It reports
// whether that is news.
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
	if len(m.namings) == namingsKept {
		m.namings = m.namings[1:]
	}
	m.namings = append(m.namings, n)
	return true
}

// takeNamings takes when another instance heard of versions. An instance that
// has just started would otherwise take all of them for new, and know nothing of
// those before the newest. What it hears must count at once, and not only with
// the next change of the configuration.
func (m *Machine) takeNamings(e PeerAnswered) {
	news := false
	for _, n := range e.Answer.Namings {
		if n.Witnessed && m.addNaming(Named{Model: n.Model, Weights: n.Weights, At: e.Sent - n.Age, Witnessed: true}) {
			news = true
		}
	}
	if news {
		m.emit(Changed{})
	}
}

// Namings returns the versions of weights that were named.
func (m *Machine) Namings() []Named { return slices.Clone(m.namings) }
