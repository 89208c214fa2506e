package wasabilease

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// IsCandidate reports whether self is among the first n when self and the
// members are ordered by a hash of the lease's name and their own name.
// With few candidates per lease, the reads of the table stay few, whatever the
// number of instances. Members with different membership views only cause more
// or fewer candidates; the lease itself does not depend on it.
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
