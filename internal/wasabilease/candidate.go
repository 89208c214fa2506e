package wasabilease

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// IsCandidate reports whether an instance is among the first n of the members
// in the order of a hash of the lease's name. Few candidates per lease keep the
// reads of the table small, whatever the number of instances. Members that
// disagree about each other only make more or fewer candidates; the lease
// itself does not depend on it.
func IsCandidate(lease string, self wasabiridge.InstanceID, members []wasabiridge.InstanceID, n int) bool {
	own, before := rank(lease, self), 0
	for _, m := range members {
		if m != self && rank(lease, m) < own {
			before++
		}
	}
	return before < n
}

func rank(lease string, id wasabiridge.InstanceID) uint64 {
	return xxhash.Sum64String(lease + "\x00" + string(id))
}
