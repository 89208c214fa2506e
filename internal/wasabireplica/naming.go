package wasabireplica

import (
	"cmp"
	"slices"

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
//
// The failure it guards against: an instance that has just started reads the
// newest version from the platform, and hears of the ones before it from others
// a moment later. If it forgot those, a replica two versions behind would count
// as replaced only since the newest one.
func (n namings) name(m wasabiridge.ModelID, next naming) {
	list := n[m]
	i, known := slices.BinarySearchFunc(list, next.weights, func(x naming, v wasabiridge.WeightsVersion) int {
		return cmp.Compare(x.weights, v)
	})
	if known {
		list[i].at = next.at
		return
	}
	list = slices.Insert(list, i, next)
	n[m] = list[max(0, len(list)-namedMost):]
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
