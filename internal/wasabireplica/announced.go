package wasabireplica

import (
	"cmp"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// maxAnnouncedVersions bounds the versions that are kept per model.
const maxAnnouncedVersions = 64

// announcedVersion is a version of the weights and the time of its announcement by an
// operator.
type announcedVersion struct {
	weights wasabiridge.WeightsVersion
	at      wasabiridge.Millis
}

// announcedVersions are the announced versions by model, in ascending order.
type announcedVersions map[wasabiridge.ModelID][]announcedVersion

// add records a version. The time of a version that is known already is replaced.
//
// All versions are kept, not only the newest, because an instance that has just started
// polls the newest version from the platform and receives the earlier ones from other
// instances a moment later. Without them, a replica two versions behind would count as
// superseded only since the newest announcement.
func (a announcedVersions) add(m wasabiridge.ModelID, next announcedVersion) {
	list := a[m]
	i, known := slices.BinarySearchFunc(list, next.weights, func(x announcedVersion, v wasabiridge.WeightsVersion) int {
		return cmp.Compare(x.weights, v)
	})
	if known {
		list[i].at = next.at
		return
	}
	list = slices.Insert(list, i, next)
	a[m] = list[max(0, len(list)-maxAnnouncedVersions):]
}

// supersededFor returns how long ago the first version newer than v was announced. It
// reports false when there is none.
func (a announcedVersions) supersededFor(now wasabiridge.Millis, m wasabiridge.ModelID, v wasabiridge.WeightsVersion) (wasabiridge.Millis, bool) {
	for _, x := range a[m] {
		if x.weights > v {
			return now - x.at, true
		}
	}
	return 0, false
}
