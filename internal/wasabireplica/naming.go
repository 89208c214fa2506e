package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
)

// namedMost bounds the remembered versions of one model.
const namedMost = 64

// naming is a version of a model that operators want, and since when.
type naming struct {
	weights wasabiridge.WeightsVersion
	at      wasabiridge.Millis
}

// namings are the versions that operators named, by model, the newest last.
type namings map[wasabiridge.ModelID][]naming

// name notes a version. A better time for a known version replaces its time.
func (n namings) name(m wasabiridge.ModelID, next naming) {
	list := n[m]
	for i := range list {
		if list[i].weights == next.weights {
			list[i].at = next.at
			return
		}
	}
	if len(list) > 0 && next.weights < list[len(list)-1].weights {
		return
	}
	if len(list) == namedMost {
		list = list[1:]
	}
	n[m] = append(list, next)
}

// overdue returns how long ago the first version was named that is newer than
// the given one. It reports false when that is the newest.
func (n namings) overdue(now wasabiridge.Millis, m wasabiridge.ModelID, v wasabiridge.WeightsVersion) (wasabiridge.Millis, bool) {
	for _, x := range n[m] {
		if x.weights > v {
			return now - x.at, true
		}
	}
	return 0, false
}
